"""The requests that go out to hosts, in the published forms: KServe v2 REST and its model repository
extension."""

from functools import lru_cache
from urllib.parse import quote

import msgspec

from gaproute.hosts import orca


def _request(method, path, host, fields, body):
    lines = [b"%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path, host)]
    lines += [b"%s: %s\r\n" % field for field in fields]
    if body is not None:
        lines.append(b"Content-Length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    return b"".join(lines) + (body or b"")


@lru_cache(4096)
def model_path(function):
    """`lamp/2` as the path of version 2 of model lamp, in bytes; names are quoted."""
    model, _, version = function.partition("/")
    text = f"/v2/models/{quote(model, '')}" + (f"/versions/{quote(version, '')}" if version else "")
    return text.encode()


def encode_infer(call, task, host):
    """The client's body and fields as they came; `Gaproute-Task` is the mark by which a repeat is known: the
    same by whichever gateways a call comes."""
    fields = call.fields + ((b"Gaproute-Task", (call.origin or task).encode()), orca.REQUEST_FIELD)
    return _request(b"POST", model_path(call.function) + b"/infer", host, fields, call.body)


def encode_load(function, copies, host, gateway):
    """An order to hold so many copies; 0 only asks."""
    model, _, version = function.partition("/")
    parameters = {"copies": copies} | ({"version": version} if version else {})
    return _request(
        b"POST",
        f"/v2/repository/models/{quote(model, '')}/load".encode(),
        host,
        ((b"Content-Type", b"application/json"), (b"Gaproute-Gateway", gateway)),
        msgspec.json.encode({"parameters": parameters}),
    )


def decode_load(body):
    """Copies that stand, from an answer to `load`; 0 where it does not tell."""
    try:
        told = msgspec.json.decode(body, type=dict)
    except msgspec.MsgspecError:
        return 0
    copies = told.get("copies")
    return copies if isinstance(copies, int) and not isinstance(copies, bool) and copies >= 0 else 0


def encode_ready(host):
    return _request(b"GET", b"/v2/health/ready", host, (orca.REQUEST_FIELD,), None)
