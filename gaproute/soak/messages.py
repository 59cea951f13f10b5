"""The messages of the soak's clients."""

from __future__ import annotations

import base64
import random

from gaproute.standins.platform.answer_reader import encode_message

LARGEST_ARGUMENT = base64.b64encode(bytes(16 * 1024)).decode()
SMALL_ARGUMENT = base64.b64encode(b"on").decode()
USUAL_EXTRAS = "memory_mb:512;lanes:4;load_ms:640"


def framed(body: bytes) -> bytes:
    """A message with its head."""
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def new_id(chance: random.Random) -> str:
    """16 hex digits, for a request or a function."""
    return f"{chance.getrandbits(64):016x}"


def request(
    number: int,
    method: str,
    request_id: str,
    function: str,
    deadline_ms: int,
    argument: str = SMALL_ARGUMENT,
    **fields: object,
) -> bytes:
    """A request with its head; `fields`: further parameters."""
    parameters = {
        "i": request_id,
        "d": deadline_ms,
        "o": function,
        "arg": argument,
        "extras": USUAL_EXTRAS,
        **fields,
    }
    return encode_message({"jsonrpc": "2.0", "id": number, "method": method, "params": parameters})
