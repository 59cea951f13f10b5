"""The requests that go out to hosts, in the published forms: KServe v2 REST and its model repository
extension."""

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
    """The path of a model, for `lamp/2` that of version 2 of model lamp; names are quoted."""
    model, _, version = function.partition("/")
    path = f"/v2/models/{quote(model, '')}"
    if version:
        path += f"/versions/{quote(version, '')}"
    return path.encode()


def encode_infer(call: Call, gateway_request_id: str, host_field: bytes) -> bytes:
    """The client's body and fields as they came, for the host with that `Host` field.

    `Gaproute-Task` is the id by which hosts recognize a repeat: the same by whichever gateways a call comes.
    """
    fields = call.fields + (
        (b"Gaproute-Task", (call.origin or gateway_request_id).encode()),
        orca.REPORT_REQUEST_FIELD,
    )
    return _encode_request(b"POST", model_path(call.function) + b"/infer", host_field, fields, call.body)


def encode_load_order(function: str, instance_count: int, host_field: bytes, gateway_name: bytes) -> bytes:
    """An order to have so many instances loaded; 0 only queries how many are."""
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


def decode_load_answer(body: bytes) -> int:
    """The number of instances that are loaded, by the answer to a load order; 0 where it does not say."""
    try:
        answer = msgspec.json.decode(body, type=dict)
    except msgspec.MsgspecError:
        return 0
    count = answer.get("copies")
    return count if isinstance(count, int) and not isinstance(count, bool) and count >= 0 else 0


def encode_probe(host_field: bytes) -> bytes:
    """A request for the host's readiness, whose answer also brings its load report."""
    return _encode_request(b"GET", b"/v2/health/ready", host_field, (orca.REPORT_REQUEST_FIELD,), None)
