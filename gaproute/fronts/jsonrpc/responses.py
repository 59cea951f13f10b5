"""Encodes responses to clients as framed messages."""

import msgspec

from gaproute.fronts.jsonrpc.errors import ErrorCode
from gaproute.fronts.jsonrpc.framing import frame

NS_PER_MS = 1_000_000


def encode_result(number: int, body: bytes) -> bytes:
    """The result of a request; `body`: in base64, as the host sent it."""
    return frame(b'{"jsonrpc":"2.0","id":%d,"result":{"arg":"%b"}}' % (number, body))


def encode_pong(number: int, *, ready: bool) -> bytes:
    """The answer to a ping; `ready`: whether the gateway can serve requests."""
    return frame(b'{"jsonrpc":"2.0","id":%d,"result":{"up":%b}}' % (number, b"true" if ready else b"false"))


def encode_error(number: int | None, code: ErrorCode, text: str, retry_after: int = 0) -> bytes:
    """An error response; `retry_after`: how long the client should wait, ns, or 0 to send no time."""
    error: dict[str, object] = {"code": code, "message": text}
    if retry_after:
        error["data"] = {"w": -(-retry_after // NS_PER_MS)}
    return frame(msgspec.json.encode({"jsonrpc": "2.0", "id": number, "error": error}))
