"""Decodes the bytes that a host sends into replies."""

import msgspec

from gaproute.errors import GaprouteError
from gaproute.hosts.jsonlines.messages import Reply, decode_reply

MAX_LINE_BYTES = 128 * 1024  # of one reply: a body of 16 KiB takes 22 KiB in base64, and hosts add little


class MalformedLineError(GaprouteError):
    """A line from a host cannot be decoded, so nothing after it on the connection can be trusted.

    `replies`: the replies that were decoded from the same bytes before that line.
    """

    def __init__(self, reason: str, replies: list[Reply]) -> None:
        super().__init__(reason)
        self.replies = replies


class LineReader:
    """Splits received bytes into lines and decodes them; buffers at most one unfinished line."""

    __slots__ = ("max_line_bytes", "unfinished_parts", "unfinished_bytes")

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        self.max_line_bytes = max_line_bytes
        self.unfinished_parts: list[bytes] = []  # of the unfinished line
        self.unfinished_bytes = 0

    def feed(self, data: bytes) -> list[Reply]:
        """Returns the replies that these bytes complete. Errors: MalformedLineError."""
        replies: list[Reply] = []
        *lines, rest = data.split(b"\n")
        for line in lines:
            if self.unfinished_parts:
                line = b"".join((*self.unfinished_parts, line))
                self.unfinished_parts, self.unfinished_bytes = [], 0
            if len(line) > self.max_line_bytes:
                raise MalformedLineError("the host sent a line above the maximum length", replies)
            try:
                replies.append(decode_reply(line))
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
                raise MalformedLineError(f"line from the host is not a reply: {error}", replies) from None
        if rest:
            self.unfinished_parts.append(rest)
            self.unfinished_bytes += len(rest)
            if self.unfinished_bytes > self.max_line_bytes:
                raise MalformedLineError("the host sent a line above the maximum length", replies)
        return replies
