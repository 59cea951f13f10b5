"""The client side of HTTP/1.1: one exchange at a time on a kept connection; says what a failure proves."""

from gaproute.http1.message import Fault, Reader
from gaproute.loop import Stream, connect


class Undelivered(Exception):
    """No full answer came. `handed` is whether the kernel took any byte of the request: if not, it never
    ran. `error`: what the dial or the connection ended with, where it was an error."""

    def __init__(self, handed, connected, text, error=None, *, lapsed=False):
        """`lapsed`: it was not to begin any more, which is no fault of the other side."""
        super().__init__(text)
        self.handed, self.connected, self.error, self.lapsed = handed, connected, error, lapsed

    @property
    def reset(self):
        """Whether the connection was reset, as by a server that closes it with bytes unread."""
        return isinstance(self.error, (ConnectionResetError, BrokenPipeError))


class Link:
    """A kept connection to one server. Idle ones notice when the other side closes."""

    __slots__ = (
        "loop",
        "stream",
        "reader",
        "exchange",
        "mark",
        "used",
        "on_idle_end",
        "served",
        "told_idle",
        "stray",
    )

    def __init__(self, loop, sock, head_limit, body_limit):
        self.loop = loop
        self.reader = Reader(False, loop.clock, head_limit, body_limit)
        self.stream = Stream(loop, sock, self._bytes, self._end)
        self.exchange, self.mark, self.used = None, 0, loop.now()
        self.on_idle_end = None
        self.served, self.stray = 0, False  # stray: an answer came that nobody asked for
        self.told_idle = None  # how long the server said it keeps an idle connection, ns

    @property
    def open(self):
        return self.stream.open

    def send(self, exchange, data):
        """The request begins now, with what is true now, or its exchange fails soon and never ran."""
        self.exchange, self.mark = exchange, self.stream.bytes_sent
        if not self.stream.try_begin(data):
            self.loop.soon(self._fail, "the connection takes no bytes")

    @property
    def handed(self):
        return self.stream.bytes_sent > self.mark

    def _bytes(self, data):
        try:
            done = self.reader.feed(data)
        except Fault as fault:
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
                self.stray = True
                self._fail("an answer that nobody asked for")
                return
            self.used = self.loop.now()
            self.served += 1
            self.told_idle = _told(answer.headers.get(b"keep-alive"))
            if not answer.keep_alive or self.reader.midway or self.stream.bytes_unsent:
                self.stream.close()
            exchange.settle(answer, None)

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
        handed = self.handed
        self.stream.abort()
        if exchange is not None:
            exchange.settle(None, Undelivered(handed, True, text, error))
        elif self.on_idle_end is not None:
            self.on_idle_end(self)

    def drop(self):
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

    __slots__ = ("loop", "data", "done", "link", "on_link", "_give_up", "started", "over", "until", "wanted")

    def __init__(self, loop, data, done, until=None, wanted=None):
        """`data`: the request's bytes, or a call(now) that makes them as they are handed over; `until`: when
        it may begin at the latest, `wanted()`: whether it still may; a connection that stands later is not
        used for it, and it has `lapsed`."""
        self.loop, self.data, self.done, self.until, self.wanted = loop, data, done, until, wanted
        self.link = self._give_up = self.on_link = None
        self.started, self.over = loop.now(), False

    def on(self, link):
        self.link = link
        link.send(self, self.data(self.loop.now()) if callable(self.data) else self.data)
        return self

    def open(self, where, within, head_limit, body_limit, on_link=None):
        """Connects first; `on_link(link)` when that has come about."""

        def connected(sock, error):
            self._give_up = None
            if error is None and self.lapsed:
                sock.close()
                self.settle(None, Undelivered(False, False, "the connection came up too late", lapsed=True))
                return
            if error is not None:
                self.settle(None, Undelivered(False, False, f"no connection: {error}", error))
                return
            link = Link(self.loop, sock, head_limit, body_limit)
            if on_link is not None:
                on_link(link)
            self.on(link)

        self._give_up = connect(self.loop, where, within, connected)
        return self

    @property
    def lapsed(self):
        """Whether it may no longer begin."""
        if self.until is not None and self.loop.now() >= self.until:
            return True
        return self.wanted is not None and not self.wanted()

    @property
    def handed(self):
        """Whether the kernel has taken any byte of the request."""
        return self.link is not None and self.link.handed

    @property
    def delivered(self):
        """Whether the kernel has taken all of the request."""
        return self.link is not None and not self.link.stream.bytes_unsent

    def settle(self, answer, undelivered):
        if not self.over:
            self.over = True
            # a closure that holds this exchange: no cycle is left behind
            done, self.done = self.done, None
            done(answer, undelivered)

    def abandon(self, text):
        """Ends an exchange that still waits for its connection: it fails soon, and never ran."""
        if self._give_up is not None:
            self._give_up()
            self._give_up = None
            self.loop.soon(self.settle, None, Undelivered(False, False, text))

    def drop(self):
        """Gives up: the connection is ended, `done` is not called. Returns whether any byte was handed
        over."""
        handed = self.handed
        self.over, self.done = True, None
        if self._give_up is not None:
            self._give_up()
            self._give_up = None
        elif self.link is not None and self.link.exchange is self:
            self.link.drop()
        return handed
