"""Bytes in, whole messages out; never touches a socket. Parsing is httptools' (llhttp, strict mode).

httptools was picked over h11 by `benchmarks/parsers.py`: a typical request costs it 6 us, h11 about 100.
"""

import httptools

NAME_LIMIT = 8192  # bytes of a target; longer ones are no name of a model
HOP = {
    b"connection",
    b"keep-alive",
    b"transfer-encoding",
    b"content-length",
    b"host",
    b"expect",
    b"te",
    b"trailer",
    b"upgrade",
    b"proxy-connection",
}


class HttpError(Exception):
    """What the other side sent breaks the protocol or a limit: `status` and `text` to answer it with."""

    def __init__(self, status, text):
        super().__init__(text)
        self.status, self.text = status, text


class Request:
    """One request as it came. Header names are lower case; a name that came twice is joined by a comma."""

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "arrived_at",
        "keep_alive",
        "connection",
        "on_client_left",
        "client_closed",
    )

    def __init__(self, arrived_at):
        self.arrived_at = arrived_at  # when its first byte came, by the loop's clock
        self.method, self.target, self.headers, self.body = b"", b"", {}, b""
        self.keep_alive = True
        self.connection = None
        self.on_client_left = None  # call() when the client leaves before the answer
        self.client_closed = False  # its client had closed its side when it was read


class Response:
    __slots__ = ("status", "headers", "body", "keep_alive")

    def __init__(self):
        self.status, self.headers, self.body, self.keep_alive = 0, {}, b"", True


class Reader:
    """Reads requests (`requests=True`) or responses. `feed` returns the messages that the bytes completed."""

    def __init__(self, requests, clock, head_limit, body_limit):
        self.requests, self.clock = requests, clock
        self.head_limit, self.body_limit = head_limit, body_limit
        self.parser = (httptools.HttpRequestParser if requests else httptools.HttpResponseParser)(self)
        self.message = None  # the one being read
        self.in_head, self.head, self.size, self.parts, self.done = False, 0, 0, [], []
        self.wants_continue = False  # its head asks for a 100 before it sends its body
        self.framed = False
        self.fault = None

    @property
    def mid_message(self):
        return self.message is not None

    def feed(self, data):
        """Errors: `HttpError`, after which nothing more may be fed; what was whole before it is in `done`."""
        if self.in_head or self.message is None:
            self.head += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            raise self.fault or error from None
        except httptools.HttpParserUpgrade:
            raise HttpError(400, "an upgrade of the protocol is not offered") from None
        except httptools.HttpParserError as error:
            raise HttpError(400, f"not HTTP/1.1: {error}") from None
        if self.in_head and self.head > self.head_limit:
            raise HttpError(431, f"the head is over {self.head_limit} bytes")
        done, self.done = self.done, []
        return done

    def _refuse(self, status, text):
        self.fault = HttpError(status, text)
        raise self.fault

    # What the parser calls

    def on_message_begin(self):
        self.message = Request(self.clock()) if self.requests else Response()
        self.in_head, self.size, self.parts, self.framed, self.wants_continue = True, 0, [], False, False
        self.lengths = 0

    def on_url(self, url):
        self.message.target += url
        if len(self.message.target) > NAME_LIMIT:
            self._refuse(414, f"the target is over {NAME_LIMIT} bytes")

    def on_header(self, name, value):
        name = name.lower()
        self.size += len(name) + len(value) + 4
        if self.size > self.head_limit:
            self._refuse(431, f"the head is over {self.head_limit} bytes")
        if name == b"content-length":
            self.lengths += 1
            self.framed = True
            if self.lengths > 1:
                self._refuse(400, "two lengths")
            if not value.isdigit() or int(value) > self.body_limit:
                self._refuse(413, f"the body is over {self.body_limit} bytes")
        elif name == b"transfer-encoding":
            self.framed = True
            if value.strip().lower() != b"chunked":
                self._refuse(501 if self.requests else 502, "a transfer coding other than chunked")
        headers = self.message.headers
        headers[name] = headers[name] + b", " + value if name in headers else value

    def on_headers_complete(self):
        message, self.in_head, self.head, self.size = self.message, False, 0, 0
        message.keep_alive = self.parser.should_keep_alive()
        if self.requests:
            message.method = self.parser.get_method()
            if self.lengths and b"transfer-encoding" in message.headers:
                self._refuse(400, "a length and chunks at once")
            if message.headers.get(b"host") is None and self.parser.get_http_version() == "1.1":
                self._refuse(400, "no Host")
            self.wants_continue = message.headers.get(b"expect", b"").lower() == b"100-continue"
        else:
            message.status = self.parser.get_status_code()

    def on_body(self, body):
        self.wants_continue = False
        self.size += len(body)
        if self.size > self.body_limit:
            self._refuse(413, f"the body is over {self.body_limit} bytes")
        self.parts.append(body)

    def on_message_complete(self):
        message, self.message, self.wants_continue = self.message, None, False
        message.body = b"".join(self.parts) if len(self.parts) != 1 else self.parts[0]
        self.parts = []
        self.done.append(message)
