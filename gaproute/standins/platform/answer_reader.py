"""The bytes of a gateway's answers as JSON-RPC messages."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from gaproute.errors import GaprouteError

HEAD_END = b"\r\n\r\n"
MAX_QUOTED = 60  # bytes of a wrong head that an error quotes

_decode = msgspec.json.Decoder().decode


class MalformedAnswerError(GaprouteError):
    """What came from a gateway is no JSON-RPC message."""


def encode_message(message: Mapping[str, object]) -> bytes:
    """The bytes of a message."""
    body = msgspec.json.encode(message)
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


class AnswerReader:
    """Bytes in, messages out."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[object]:
        """The messages that are complete now. Errors: MalformedAnswerError."""
        self._buffer += data
        messages: list[object] = []
        while True:
            head, end, rest = self._buffer.partition(HEAD_END)
            if not end:
                return messages
            size = _body_size(head)
            if len(rest) < size:
                return messages
            messages.append(_decode_body(rest[:size]))
            self._buffer = rest[size:]


def _body_size(head: bytes) -> int:
    name, _, size = head.partition(b":")
    if name.lower() != b"content-length":
        raise MalformedAnswerError(
            f"reading an answer: a head of {head[:MAX_QUOTED]!r}, expected Content-Length"
        )
    try:
        return int(size)
    except ValueError:
        raise MalformedAnswerError(
            f"reading an answer: a length of {size[:MAX_QUOTED]!r}, expected a number"
        ) from None


def _decode_body(body: bytes) -> object:
    try:
        return _decode(body)
    except msgspec.DecodeError as error:
        raise MalformedAnswerError(f"reading an answer: a body that is no JSON: {error}") from error
