"""Encodes the requests to hosts: the KServe v2 REST protocol and its model repository extension."""

from collections.abc import Iterable
from functools import lru_cache
from urllib.parse import quote

import msgspec

from gaproute.hosts import orca
from gaproute.interface.call import Call

HeaderField = tuple[bytes, bytes]

MAX_CACHED_PATHS = 4096


def _encode_request(
    method: bytes, path: bytes, host_field: bytes, fields: Iterable[HeaderField], body: bytes | None
) -> bytes:
    lines = [b"%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path, host_field)]
    lines += [b"%s: %s\r\n" % field for field in fields]
    if body is not None:
        lines.append(b"Content-Length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    return b"".join(lines) + (body or b"")


@lru_cache(MAX_CACHED_PATHS)
def model_path(function: str) -> bytes:
    """The path of a model; `lamp/2` is version 2 of the model `lamp`. Names are percent-encoded."""
    model, _, version = function.partition("/")
    path = f"/v2/models/{quote(model, '')}"
    if version:
        path += f"/versions/{quote(version, '')}"
    return path.encode()


def encode_infer(call: Call, gateway_request_id: str, host_field: bytes) -> bytes:
    """Encodes an inference request with the client's body and header fields unchanged.

    `host_field`: the value of `Host`. `Gaproute-Task` is the id by which hosts recognize a repeat: it is the
    same through whichever gateways the request comes.
    """
    fields = call.fields + (
        (b"Gaproute-Task", (call.origin or gateway_request_id).encode()),
        orca.REPORT_REQUEST_FIELD,
    )
    return _encode_request(b"POST", model_path(call.function) + b"/infer", host_field, fields, call.body)


def encode_load_order(function: str, instance_count: int, host_field: bytes, gateway_name: bytes) -> bytes:
    """Encodes an order to have `instance_count` instances loaded; 0 only asks how many are loaded."""
    model, _, version = function.partition("/")
    parameters: dict[str, str | int] = {"copies": instance_count}
    if version:
        parameters["version"] = version
    return _encode_request(
        b"POST",
        f"/v2/repository/models/{quote(model, '')}/load".encode(),
        host_field,
        ((b"Content-Type", b"application/json"), (b"Gaproute-Gateway", gateway_name)),
        msgspec.json.encode({"parameters": parameters}),
    )


def decode_load_response(body: bytes) -> int:
    """The number of loaded instances in the response to a load order; 0 where the response has none."""
    try:
        response = msgspec.json.decode(body, type=dict)
    except msgspec.MsgspecError:
        return 0
    count = response.get("copies")
    return count if isinstance(count, int) and not isinstance(count, bool) and count >= 0 else 0


def encode_probe(host_field: bytes) -> bytes:
    """Encodes a request for the host's readiness; the response also has its load report."""
    return _encode_request(b"GET", b"/v2/health/ready", host_field, (orca.REPORT_REQUEST_FIELD,), None)
