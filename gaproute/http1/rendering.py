"""Encodes responses, with the reason phrases of RFC 9110."""

from collections.abc import Iterable
from typing import NamedTuple

Header = tuple[bytes, bytes]  # name, value


class ErrorAnswer(NamedTuple):
    """The headers and the body of the answer to an invalid message or a rejected connection."""

    headers: tuple[Header, ...]
    body: bytes


REASON_PHRASES = {
    100: "Continue",
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    414: "URI Too Long",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
DEFAULT_REASON_PHRASE = "Other"


def render(status: int, headers: Iterable[Header], body: bytes, *, close: bool) -> bytes:
    """Encodes a response; `close`: whether it says that the connection closes."""
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, DEFAULT_REASON_PHRASE).encode())]
    lines += [b"%s: %s\r\n" % header for header in headers]
    lines.append(b"Content-Length: %d\r\n%s\r\n" % (len(body), b"Connection: close\r\n" if close else b""))
    return b"".join(lines) + body
