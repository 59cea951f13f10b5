"""The requests that go out to hosts, in the published forms: KServe v2 REST and its model repository
extension."""

from collections.abc import Iterable
from functools import lru_cache
from urllib.parse import quote

import msgspec

from gaproute.hosts import orca
from gaproute.interface.call import Call

Field = tuple[bytes, bytes]

PATHS_CACHED = 4096


def _encode(method: bytes, path: bytes, host: bytes, fields: Iterable[Field], body: bytes | None) -> bytes:
    lines = [b"%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path, host)]
    lines += [b"%s: %s\r\n" % field for field in fields]
    if body is not None:
        lines.append(b"Content-Length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    return b"".join(lines) + (body or b"")


@lru_cache(PATHS_CACHED)
def model_path(function: str) -> bytes:
    """The path of a model, for `lamp/2` that of version 2 of model lamp; names are quoted."""
    model, _, version = function.partition("/")
    text = f"/v2/models/{quote(model, '')}"
    if version:
        text += f"/versions/{quote(version, '')}"
    return text.encode()


def encode_infer(call: Call, request: str, host: bytes) -> bytes:
    """The client's body and fields as they came, for the host with that `Host` field.

    `Gaproute-Task` is the id by which hosts recognize a repeat: the same by whichever gateways a call comes.
    """
    fields = call.fields + ((b"Gaproute-Task", (call.origin or request).encode()), orca.REQUEST_FIELD)
    return _encode(b"POST", model_path(call.function) + b"/infer", host, fields, call.body)


def encode_load(function: str, copies: int, host: bytes, gateway: bytes) -> bytes:
    """An order to have so many instances loaded; 0 only queries how many are."""
    model, _, version = function.partition("/")
    parameters: dict[str, str | int] = {"copies": copies}
    if version:
        parameters["version"] = version
    return _encode(
        b"POST",
        f"/v2/repository/models/{quote(model, '')}/load".encode(),
        host,
        ((b"Content-Type", b"application/json"), (b"Gaproute-Gateway", gateway)),
        msgspec.json.encode({"parameters": parameters}),
    )


def decode_load(body: bytes) -> int:
    """The number of instances that are loaded, by the answer to a load order; 0 where it does not say."""
    try:
        answer = msgspec.json.decode(body, type=dict)
    except msgspec.MsgspecError:
        return 0
    copies = answer.get("copies")
    return copies if isinstance(copies, int) and not isinstance(copies, bool) and copies >= 0 else 0


def encode_ready(host: bytes) -> bytes:
    """A request for the host's readiness, whose answer also brings its load report."""
    return _encode(b"GET", b"/v2/health/ready", host, (orca.REQUEST_FIELD,), None)
