"""The client side of HTTP/1.1: one exchange at a time on a kept connection; says what a failure proves."""

from gaproute.http1.message import HttpError, Reader
from gaproute.loop import Stream, connect


class NoResponseError(Exception):
    """No full answer came. `any_byte_sent` is whether the kernel took any byte of the request: if not, it
    never ran. `error`: what the dial or the connection ended with, where it was an error."""

    def __init__(self, any_byte_sent, connected, text, error=None, *, lapsed=False):
        """`lapsed`: it was not to begin any more, which is no fault of the other side."""
        super().__init__(text)
        self.any_byte_sent, self.connected, self.error, self.lapsed = any_byte_sent, connected, error, lapsed

    @property
    def reset(self):
        """Whether the connection was reset, as by a server that closes it with bytes unread."""
        return isinstance(self.error, (ConnectionResetError, BrokenPipeError))


class ClientConnection:
    """A kept connection to one server. Idle ones notice when the other side closes."""

    __slots__ = (
        "loop",
        "stream",
        "reader",
        "exchange",
        "mark",
        "last_used",
        "on_idle_end",
        "responses",
        "keep_alive_timeout",
        "unrequested_response",
    )

    def __init__(self, loop, sock, head_limit, body_limit):
        self.loop = loop
        self.reader = Reader(False, loop.clock, head_limit, body_limit)
        self.stream = Stream(loop, sock, self._bytes, self._end)
        self.exchange, self.mark, self.last_used = None, 0, loop.now()
        self.on_idle_end = None
        self.responses = 0
        self.unrequested_response = False  # an answer came that nobody asked for
        self.keep_alive_timeout = None  # how long the server said it keeps an idle connection, ns

    @property
    def open(self):
        return self.stream.open

    def send(self, exchange, data):
        """The request begins now, with what is true now, or its exchange fails soon and never ran."""
        self.exchange, self.mark = exchange, self.stream.handed
        if not self.stream.begin(data):
            self.loop.soon(self._fail, "the connection takes no bytes")

    @property
    def any_byte_sent(self):
        return self.stream.handed > self.mark

    def _bytes(self, data):
        try:
            done = self.reader.feed(data)
        except HttpError as fault:
            self._fail(f"the answer breaks the protocol: {fault.text}")
            return
        for answer in done:
            if answer.status < 200:
                continue
            if not self.reader_framed(answer):
                self._fail("an answer without a length")
                return
            exchange, self.exchange = self.exchange, None
            if exchange is None:
                self.unrequested_response = True
                self._fail("an answer that nobody asked for")
                return
            self.last_used = self.loop.now()
            self.responses += 1
            self.keep_alive_timeout = _told(answer.headers.get(b"keep-alive"))
            if not answer.keep_alive or self.reader.mid_message or self.stream.waiting:
                self.stream.close()
            exchange.finish(answer, None)

    def reader_framed(self, answer):
        return (
            answer.status == 204
            or b"content-length" in answer.headers
            or b"transfer-encoding" in answer.headers
        )

    def _end(self, error):
        self._fail(f"the connection ended: {error or 'closed by the server'}", error)

    def _fail(self, text, error=None):
        exchange, self.exchange = self.exchange, None
        any_byte_sent = self.any_byte_sent
        self.stream.abort()
        if exchange is not None:
            exchange.finish(None, NoResponseError(any_byte_sent, True, text, error))
        elif self.on_idle_end is not None:
            self.on_idle_end(self)

    def abort(self):
        """Ends the connection and whatever is on its way; nothing is called."""
        self.exchange = None
        self.stream.abort()


def _told(value):
    """`Keep-Alive: timeout=5` as nanoseconds, else None."""
    for part in (value or b"").split(b","):
        name, _, figure = part.strip().partition(b"=")
        if name.lower() == b"timeout" and figure.strip().isdigit():
            return int(figure) * 1_000_000_000
    return None


class Exchange:
    """One request on a link that exists or is opened for it; `done(answer, undelivered)` once, never at
    once."""

    __slots__ = (
        "loop",
        "data",
        "done",
        "connection",
        "on_link",
        "_give_up",
        "started_at",
        "finished",
        "start_before",
        "still_wanted",
    )

    def __init__(self, loop, data, done, start_before=None, still_wanted=None):
        """`data`: the request's bytes, or a call(now) that makes them as they are handed over;
        `start_before`: when it may begin at the latest, `still_wanted()`: whether it still may; a connection
        that stands later is not used for it, and it has `lapsed`."""
        self.loop, self.data, self.done, self.start_before, self.still_wanted = (
            loop,
            data,
            done,
            start_before,
            still_wanted,
        )
        self.connection = self._give_up = self.on_link = None
        self.started_at, self.finished = loop.now(), False

    def send_on(self, link):
        self.connection = link
        link.send(self, self.data(self.loop.now()) if callable(self.data) else self.data)
        return self

    def connect(self, where, within, head_limit, body_limit, on_link=None):
        """Connects first; `on_link(link)` when that has come about."""

        def connected(sock, error):
            self._give_up = None
            if error is None and self.lapsed:
                sock.close()
                self.finish(
                    None, NoResponseError(False, False, "the connection came up too late", lapsed=True)
                )
                return
            if error is not None:
                self.finish(None, NoResponseError(False, False, f"no connection: {error}", error))
                return
            link = ClientConnection(self.loop, sock, head_limit, body_limit)
            if on_link is not None:
                on_link(link)
            self.send_on(link)

        self._give_up = connect(self.loop, where, within, connected)
        return self

    @property
    def lapsed(self):
        """Whether it may no longer begin."""
        if self.start_before is not None and self.loop.now() >= self.start_before:
            return True
        return self.still_wanted is not None and not self.still_wanted()

    @property
    def any_byte_sent(self):
        """Whether the kernel has taken any byte of the request."""
        return self.connection is not None and self.connection.any_byte_sent

    @property
    def all_bytes_sent(self):
        """Whether the kernel has taken all of the request."""
        return self.connection is not None and not self.connection.stream.waiting

    def finish(self, answer, undelivered):
        if not self.finished:
            self.finished = True
            # a closure that holds this exchange: no cycle is left behind
            done, self.done = self.done, None
            done(answer, undelivered)

    def fail_if_unsent(self, text):
        """Ends an exchange that still waits for its connection: it fails soon, and never ran."""
        if self._give_up is not None:
            self._give_up()
            self._give_up = None
            self.loop.soon(self.finish, None, NoResponseError(False, False, text))

    def cancel(self):
        """Gives up: the connection is ended, `done` is not called. Returns whether any byte was handed
        over."""
        any_byte_sent = self.any_byte_sent
        self.finished, self.done = True, None
        if self._give_up is not None:
            self._give_up()
            self._give_up = None
        elif self.connection is not None and self.connection.exchange is self:
            self.connection.abort()
        return any_byte_sent
