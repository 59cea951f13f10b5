"""Decodes HTTP/1.1 messages; does no I/O. The parser is httptools (llhttp in strict mode).

It was chosen over h11: it takes 6 us for a typical request and h11 about 100 us (`benchmarks/parsers.py`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

import httptools

from gaproute.http1.errors import HttpError
from gaproute.http1.message import Request, Response

MAX_TARGET_BYTES = 8192  # no path of a model is longer
HEADER_OVERHEAD_BYTES = 4  # of a header line in addition to its name and value

CONTENT_LENGTH, TRANSFER_ENCODING = b"content-length", b"transfer-encoding"

Parser = httptools.HttpRequestParser | httptools.HttpResponseParser
MessageType = TypeVar("MessageType", Request, Response)


class MessageReader(Generic[MessageType]):
    """Decodes the messages of one connection; the head and body limits are in bytes.

    The parser calls the methods whose names begin with `on_`.
    """

    UNSUPPORTED_CODING_STATUS: int  # of the error for a transfer coding other than chunked

    def __init__(self, parser: Parser, head_limit: int, body_limit: int) -> None:
        self.parser: Parser = parser
        self.head_limit, self.body_limit = head_limit, body_limit
        self.message: MessageType | None = None  # the message that is being decoded
        self.headers: dict[bytes, bytes] = {}  # of `message`, by lower-case name
        self.in_head = False
        self.head_bytes = 0  # received since the head began, possibly with bytes behind it
        self.section_bytes = 0  # size of the fields decoded so far; of the body once the head is complete
        self.length_field_count = 0  # number of Content-Length fields in the head
        self.body_parts: list[bytes] = []  # of the current message
        self.completed: list[MessageType] = []
        # Whether the client waits for a response 100 before it sends the body
        self.wants_continue = False
        # The error of a callback, stored because the parser replaces errors that callbacks raise
        self.error: HttpError | None = None

    @property
    def mid_message(self) -> bool:
        """Whether only a part of a message has arrived."""
        return self.message is not None

    def feed(self, data: bytes) -> list[MessageType]:
        """Decodes received bytes; returns the messages that they complete.

        Errors: HttpError, after which nothing may be fed any more; `completed` holds the messages that were
        complete before it.
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
        """Removes and returns the messages that were complete before an error."""
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
        """Called for a field of the head or of the trailer section."""
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
        """Called when the parser has decoded the whole head."""
        assert self.message is not None
        self.in_head, self.head_bytes, self.section_bytes = False, 0, 0
        self.message.keep_alive = self.parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Called with the next part of the body."""
        self.wants_continue = False
        self.section_bytes += len(body)
        if self.section_bytes > self.body_limit:
            self._fail(413, f"the body is over {self.body_limit} bytes")
        self.body_parts.append(body)

    def on_message_complete(self) -> None:
        """Called when the parser has decoded the whole message."""
        message, self.message, self.wants_continue = self.message, None, False
        assert message is not None
        message.body = b"".join(self.body_parts) if len(self.body_parts) != 1 else self.body_parts[0]
        self.body_parts = []
        self.completed.append(message)


class RequestReader(MessageReader[Request]):
    """Decodes requests. `arrival_time()`: when the bytes that are being decoded arrived, ns."""

    UNSUPPORTED_CODING_STATUS = 501
    parser: httptools.HttpRequestParser

    def __init__(self, arrival_time: Callable[[], int], head_limit: int, body_limit: int) -> None:
        super().__init__(httptools.HttpRequestParser(self), head_limit, body_limit)
        self.arrival_time = arrival_time

    def on_message_begin(self) -> None:
        """Called for the first byte of a request."""
        self._begin(Request(self.arrival_time()))

    def on_url(self, url: bytes) -> None:
        """Called with the next part of the request's target."""
        request = self.message
        assert request is not None
        request.target += url
        if len(request.target) > MAX_TARGET_BYTES:
            self._fail(414, f"the target is over {MAX_TARGET_BYTES} bytes")

    def on_headers_complete(self) -> None:
        """Called when the head is complete; checks its fields against the rules for requests."""
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
    """Decodes responses."""

    UNSUPPORTED_CODING_STATUS = 502
    parser: httptools.HttpResponseParser

    def __init__(self, head_limit: int, body_limit: int) -> None:
        super().__init__(httptools.HttpResponseParser(self), head_limit, body_limit)

    def on_message_begin(self) -> None:
        """Called for the first byte of a response."""
        self._begin(Response())

    def on_headers_complete(self) -> None:
        """Called when the parser has decoded the whole head."""
        super().on_headers_complete()
        assert self.message is not None
        self.message.status = self.parser.get_status_code()
