"""Decodes bytes to messages; does no I/O. The parser is httptools (llhttp, strict mode).

httptools was chosen over h11 by `benchmarks/parsers.py`: it needs 6 us for a typical request, h11 about 100.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

import httptools

from gaproute.http1.errors import HttpError
from gaproute.http1.message import Request, Response

MAX_TARGET_BYTES = 8192  # longer ones cannot name a model
HEADER_OVERHEAD_BYTES = 4  # bytes of a header line beside its name and its value

CONTENT_LENGTH, TRANSFER_ENCODING = b"content-length", b"transfer-encoding"

Parser = httptools.HttpRequestParser | httptools.HttpResponseParser
MessageType = TypeVar("MessageType", Request, Response)


class MessageReader(Generic[MessageType]):
    """Reads the messages of one connection within limits of head and body, in bytes.

    The methods whose names begin with `on_` are called by the parser.
    """

    UNSUPPORTED_CODING_STATUS: int  # status for a transfer coding other than chunked

    def __init__(self, parser: Parser, head_limit: int, body_limit: int) -> None:
        self.parser: Parser = parser
        self.head_limit, self.body_limit = head_limit, body_limit
        self.message: MessageType | None = None  # the one being read
        self.headers: dict[bytes, bytes] = {}  # of `message`
        self.in_head = False
        self.head_bytes = 0  # bytes received while a head was incomplete
        self.section_bytes = 0  # bytes of the head's fields, then of the body
        self.length_field_count = 0  # fields of the head that give the length of the body
        self.body_parts: list[bytes] = []  # of the body
        self.completed: list[MessageType] = []
        # Whether the head of a request asks for a response 100 before its body is sent
        self.wants_continue = False
        # Set in a callback, as the parser replaces errors that are raised there
        self.error: HttpError | None = None

    @property
    def mid_message(self) -> bool:
        """Whether a message has arrived in part."""
        return self.message is not None

    def feed(self, data: bytes) -> list[MessageType]:
        """The messages that these bytes complete.

        Errors: HttpError, after which no further bytes may be fed; complete messages before it are in
        `completed`.
        """
        if self.in_head or self.message is None:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            raise self.error or error from None
        except httptools.HttpParserUpgrade:
            raise HttpError(400, "an upgrade of the protocol is not offered") from None
        except httptools.HttpParserError as error:
            raise HttpError(400, f"not HTTP/1.1: {error}") from None
        if self.in_head and self.head_bytes > self.head_limit:
            raise HttpError(431, f"the head is over {self.head_limit} bytes")
        completed, self.completed = self.completed, []
        return completed

    def take_completed(self) -> list[MessageType]:
        """The messages that were complete before an error."""
        completed, self.completed = self.completed, []
        return completed

    def _fail(self, status: int, text: str) -> None:
        self.error = HttpError(status, text)
        raise self.error

    def _begin(self, message: MessageType) -> None:
        self.message, self.headers = message, message.headers
        self.in_head, self.section_bytes, self.length_field_count, self.body_parts = True, 0, 0, []
        self.wants_continue = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called for a field of the head or of the trailer."""
        name = name.lower()
        self.section_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if self.section_bytes > self.head_limit:
            self._fail(431, f"the head is over {self.head_limit} bytes")
        if name == CONTENT_LENGTH:
            self._check_length(value)
        elif name == TRANSFER_ENCODING and value.strip().lower() != b"chunked":
            self._fail(self.UNSUPPORTED_CODING_STATUS, "a transfer coding other than chunked")
        headers = self.headers
        headers[name] = headers[name] + b", " + value if name in headers else value

    def _check_length(self, value: bytes) -> None:
        self.length_field_count += 1
        if self.length_field_count > 1:
            self._fail(400, "two lengths")
        if not value.isdigit() or int(value) > self.body_limit:
            self._fail(413, f"the body is over {self.body_limit} bytes")

    def on_headers_complete(self) -> None:
        """Called when the head is complete."""
        assert self.message is not None
        self.in_head, self.head_bytes, self.section_bytes = False, 0, 0
        self.message.keep_alive = self.parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Called for a part of the body."""
        self.wants_continue = False
        self.section_bytes += len(body)
        if self.section_bytes > self.body_limit:
            self._fail(413, f"the body is over {self.body_limit} bytes")
        self.body_parts.append(body)

    def on_message_complete(self) -> None:
        """Called when the message is complete."""
        message, self.message, self.wants_continue = self.message, None, False
        assert message is not None
        message.body = b"".join(self.body_parts) if len(self.body_parts) != 1 else self.body_parts[0]
        self.body_parts = []
        self.completed.append(message)


class RequestReader(MessageReader[Request]):
    """Reads requests. `arrival_time()`: when the bytes that are being read arrived, ns."""

    UNSUPPORTED_CODING_STATUS = 501
    parser: httptools.HttpRequestParser

    def __init__(self, arrival_time: Callable[[], int], head_limit: int, body_limit: int) -> None:
        super().__init__(httptools.HttpRequestParser(self), head_limit, body_limit)
        self.arrival_time = arrival_time

    def on_message_begin(self) -> None:
        """Called for the first byte of a request."""
        self._begin(Request(self.arrival_time()))

    def on_url(self, url: bytes) -> None:
        """Called for a part of the request's target."""
        request = self.message
        assert request is not None
        request.target += url
        if len(request.target) > MAX_TARGET_BYTES:
            self._fail(414, f"the target is over {MAX_TARGET_BYTES} bytes")

    def on_headers_complete(self) -> None:
        """Called when the head is complete; checks what a request must and must not have."""
        super().on_headers_complete()
        request = self.message
        assert request is not None
        request.method = self.parser.get_method()
        headers = self.headers
        if self.length_field_count and TRANSFER_ENCODING in headers:
            self._fail(400, "a length and chunks at once")
        if b"host" not in headers and self.parser.get_http_version() == "1.1":
            self._fail(400, "no Host")
        self.wants_continue = headers.get(b"expect", b"").lower() == b"100-continue"


class ResponseReader(MessageReader[Response]):
    """Reads responses."""

    UNSUPPORTED_CODING_STATUS = 502
    parser: httptools.HttpResponseParser

    def __init__(self, head_limit: int, body_limit: int) -> None:
        super().__init__(httptools.HttpResponseParser(self), head_limit, body_limit)

    def on_message_begin(self) -> None:
        """Called for the first byte of a response."""
        self._begin(Response())

    def on_headers_complete(self) -> None:
        """Called when the head is complete."""
        super().on_headers_complete()
        assert self.message is not None
        self.message.status = self.parser.get_status_code()
