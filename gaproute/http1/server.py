"""The server side of HTTP/1.1: whole requests in, answers out in the order of the requests.

A client that closes its side has left: HTTP/1.1 cannot tell a half-closed client from a gone one before
bytes are written to it, and a task that nobody waits for must end at once. What is answered then is still
written, so that one that only closed half gets a clear answer.
"""

import socket
from collections import deque
from typing import NamedTuple

from gaproute.http1.message import Fault, Reader
from gaproute.lobby import Lot
from gaproute.loop import Listener, Stream
from gaproute.loop.streams import HIGH

SECOND = 1_000_000_000
QUIET = SECOND  # after its last answer until a connection is parked: a busy one stays as it is
SWEEP = SECOND // 4  # between looks for quiet ones: one wake-up for all of them, not one each
REASONS = {
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


class Limits(NamedTuple):
    """What one client may take up."""

    head: int = 32768
    body: int = 16 << 20
    pipelined: int = 16  # requests of one connection held at once; more are left unread
    read_time: int = 20 * SECOND  # for one request to come in whole
    idle_time: int = 75 * SECOND  # between requests
    connections: int = 10_000
    spread: float = 0.0  # of the idle time, added by chance
    buffered: int = 256 << 20  # bytes of all requests that have not come in whole


LIMITS = Limits()


def render(status, headers, body, close):
    """An answer's bytes; `headers` are (name, value) pairs of bytes."""
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, "Other").encode())]
    lines += [b"%s: %s\r\n" % pair for pair in headers]
    lines.append(b"Content-Length: %d\r\n%s\r\n" % (len(body), b"Connection: close\r\n" if close else b""))
    return b"".join(lines) + body


class Server:
    """Listens on one address. `handle(request)` for each whole request, to be answered once by `answer`."""

    def __init__(self, loop, where, handle, limits=LIMITS, explain=None, counted=False, inherited=None):
        self.loop, self.handle, self.limits, self.counted = loop, handle, limits, counted
        # headers, body of a refusal
        self.explain = explain or (lambda fault: ((), fault.text.encode() + b"\n"))
        self.links = set()
        self.parked = self.buffered = 0
        self.resting, self.sweep = deque(), None  # (when, link) that may be parked then
        self.stopping, self.emptied = False, None  # call() after a stop, when no connection is left
        self.last_request = None  # after a stop with grace: when the last request must have come in whole
        self.turned_away = self.faults = 0
        self.family = where[0]
        self.lot = Lot.of(loop)
        self.number = self.lot.open(self)
        self.shared = inherited is not None  # others accept from the same queue
        self.listener = Listener(loop, where, None, on_ready=self._ready, inherited=inherited)
        self.address = self.listener.address

    @property
    def held(self):
        """Connections, at work and parked."""
        return len(self.links) + self.parked

    def _ready(self):
        self.lot.arrive(self.listener, self)
        self.loop.waiting = True

    def admits(self, sock, address):
        """A connection was accepted: it is parked, or closed where admission has no room."""
        place = None
        if self.held < self.limits.connections:
            place = self.lot.admit(address[0] if self.family != socket.AF_UNIX else "", self.counted)
        if place is None:
            self.turned_away += 1
            sock.close()
            return
        self.parked += 1
        now = self.loop.now()
        self.lot.park(sock.detach(), self.number, self.idle_end(now), place, 0, False)

    def idle_end(self, now):
        return self.lot.admission.idle_end(now, self.limits.idle_time, self.limits.spread)

    def woken(self, fd, data, place, tasks):
        """A parked connection spoke."""
        self.parked -= 1
        sock = socket.socket(self.family, socket.SOCK_STREAM, 0, fd)
        link = ServerLink(self, sock, place, tasks)
        self.links.add(link)
        link.bytes(data)

    def rest(self, link):
        self.resting.append((link.due, link))
        if self.sweep is None:
            self.sweep = self.loop.after(SWEEP, self._sweep)

    def _sweep(self):
        """Parks those that have been quiet since they came into the line."""
        now = self.loop.now()
        while self.resting and self.resting[0][0] <= now:
            due, link = self.resting.popleft()
            if link.resting and link.due == due:
                link.park()
        self.sweep = self.loop.after(SWEEP, self._sweep) if self.resting else None

    def lighten(self):
        """More is held of unfinished requests than may be: the one that has been coming in longest ends.

        Guards against thousands that each send slowly; it harms one honest slow sender before its time.
        """
        longest = min(
            (link for link in self.links if link.weight),
            key=lambda link: link.reader.message.arrived,
            default=None,
        )
        if longest is not None:
            longest.shed()

    def lost(self):
        """A parked connection was closed."""
        self.parked -= 1
        self.check_emptied()

    def check_emptied(self):
        """After a stop: tells once no connection is left."""
        if self.stopping and self.emptied is not None and not self.held:
            self.emptied()

    def answer(self, request, status, headers, body):
        """The one answer to a request; what comes after the client left for good is dropped."""
        request.link.answer(request, status, headers, body)

    def stop(self, grace=None):
        """Accepts no more; kept connections close after the answers they are owed. What has been sent
        already is still answered, and its connection closed then.

        `grace`: for so long a connection that has brought no request yet may bring it, as no other process
        can take it over, and a request may come in whole. One that has just been answered stays until it has
        been quiet for a while.
        """
        if self.stopping:
            return
        while not self.shared and (came := self.listener.accept()) is not None:
            self.admits(*came)  # else the kernel resets them
        self.stopping = True
        self.listener.close()
        if grace is not None:
            self.last_request = self.loop.now() + grace
        self.lot.close(self.number, first_by=self.last_request)
        for link in list(self.links):
            link.stop()

    def close(self):
        self.stop()
        self.lot.close(self.number, True)
        if self.sweep is not None:
            self.sweep.cancel()
        for link in list(self.links):
            if link.stream.closing:
                link.stream.part()  # its last words are with the kernel
            else:
                link.stream.abort()
            link.gone()


class ServerLink:
    """A connection at work, from its first byte until it has been quiet for a while."""

    __slots__ = (
        "server",
        "stream",
        "reader",
        "queue",
        "timer",
        "due",
        "closing",
        "ended",
        "place",
        "tasks",
        "idle_end",
        "weight",
        "resting",
    )

    def __init__(self, server, sock, place, tasks):
        self.server, self.place, self.tasks, self.idle_end = server, place, tasks, None
        self.resting = False  # in the server's line of those that may soon be parked
        self.weight = 0  # bytes held of a request that has not come in whole
        # After a stop of the process, requests count from when they may have come, not from when they are
        # read.
        loop = server.loop
        self.reader = Reader(True, lambda: loop.now() - loop.behind, server.limits.head, server.limits.body)
        self.queue = []  # [request, rendered answer or None], in the order of the requests
        self.closing = self.ended = False
        self.stream = Stream(server.loop, sock, self.bytes, self._end)
        self.stream.on_half, self.stream.on_room = self._half, self._room
        self.timer = self.due = None

    def bytes(self, data):
        if self.closing:
            return
        try:
            requests = self.reader.feed(data)
        except Fault as fault:
            self._refuse(fault)
            return
        for request in requests:
            self._take(request)
        self._weigh(self.reader.size if self.reader.midway else 0)
        if self.reader.wants_continue:
            self.reader.wants_continue = False
            if not self.queue:  # one that pipelines behind an answer still owed waits for it anyway
                self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self.stream.open:
            self._time()
            if self._crowded():
                self.stream.pause()

    def _weigh(self, weight):
        server = self.server
        server.buffered += weight - self.weight
        self.weight = weight
        if server.buffered > server.limits.buffered:
            server.lighten()

    def _crowded(self):
        """Whether nothing more is read: enough is in hand, or the client does not take its answers."""
        return len(self.queue) >= self.server.limits.pipelined or self.stream.waiting >= HIGH

    def _room(self):
        if not self.stream.reading and not self._crowded() and not self.ended:
            self.stream.resume()
        self._time()

    def _time(self):
        """When the request that is coming in or the client that takes no bytes is at its end, or the quiet
        connection is parked; none while an answer is owed. One timer, moved only when it fires: it is nearly
        always moved before.
        """
        limits, reader = self.server.limits, self.reader
        if reader.midway:
            self.due = reader.message.arrived + limits.read_time
            if self.server.last_request is not None:
                self.due = min(self.due, self.server.last_request)
        elif self.stream.waiting:
            self.due = self.server.loop.now() + limits.read_time
        elif not self.queue and not self.closing:
            now = self.server.loop.now()
            if limits.idle_time > 2 * QUIET:
                if not self.resting or now + QUIET - self.due > SWEEP:
                    self.idle_end, self.due, self.resting = self.server.idle_end(now), now + QUIET, True
                    self.server.rest(self)
                return
            self.idle_end = self.server.idle_end(now)
            self.due = min(now + QUIET, self.idle_end)
        else:
            self.due = None
        self.resting = False
        if self.due is not None and (self.timer is None or self.timer.when > self.due):
            self._arm()

    def _arm(self):
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.server.loop.at(self.due, self._overtime)

    def _overtime(self):
        self.timer = None
        if self.due is None or self.resting:
            return
        if self.due > self.server.loop.now():
            self._arm()
        elif self.stream.waiting:
            self.stream.abort()
            self._end(None)
        elif not self.reader.midway:
            self.park()
        elif self.queue:
            self.closing = True  # the answers still owed go out first
        else:
            self._refuse(Fault(408, "the request did not come in whole in time"))

    def park(self):
        server = self.server
        if server.loop.now() >= self.idle_end or not self.stream.open or server.stopping:
            self._shut()
            return
        self._untime()
        server.links.discard(self)
        server.parked += 1
        server.lot.park(self.stream.release(), server.number, self.idle_end, self.place, self.tasks, True)

    def shed(self):
        self._weigh(0)
        self._refuse(Fault(408, "too much is coming in, and this request takes longest"))

    def _refuse(self, fault):
        """Answers what cannot be read and closes; what was whole before it is answered first."""
        self.server.faults += 1
        for request in self.reader.done:
            self._take(request)
        self.reader.done = []
        headers, body = self.server.explain(fault)
        self.closing = True
        self.queue.append([None, render(fault.status, headers, body, True)])
        self._write()

    def _take(self, request):
        request.link = self
        if self.closing or self.server.loop.behind and self.stream.ended():
            return  # one that came and left while this process stood still is not taken
        self.tasks += 1
        if (
            not request.keep_alive
            or self.server.counted
            and self.server.lot.admission.says_close(self.server.lot.held)
        ):
            self.closing = True
        self.queue.append([request, None])
        self.server.handle(request)

    def answer(self, request, status, headers, body):
        place = next((place for place, entry in enumerate(self.queue) if entry[0] is request), None)
        if place is None:
            return
        entry = self.queue[place]
        if entry[1] is not None:
            raise RuntimeError("a second answer to one request")
        request.left = None
        last = place == len(self.queue) - 1 and (self.closing or self.server.stopping) or self.ended
        if last:
            self.closing = True  # told with the answer: nothing more is taken
        entry[1] = render(status, headers, body, last)
        self._write()

    def _write(self):
        wrote = False
        while self.queue and self.queue[0][1] is not None:
            wrote = True
            self.stream.write(self.queue.pop(0)[1])
        if not self.queue and (self.closing or self.ended or self.server.stopping):
            self._shut()
        elif wrote and self.stream.open:
            self._room()

    def stop(self):
        """Closes a quiet connection; one on which a request lies unread or is coming in is answered first.

        With grace a quiet one is closed when it would be parked: the next request of a busy client, on its
        way already, is answered and the close told with that answer.
        """
        if self.reader.midway:
            self._time()
        elif self.server.last_request is None and not self.queue and self.stream.quiet():
            self._shut()

    def _half(self):
        """The client closed its side: the tasks it waits for end now, with answers for one half closed."""
        self.ended = True
        self._leave()
        if not self.queue:
            self._shut()

    def _end(self, error):
        self.ended = True
        self._leave()
        self.gone()

    def _leave(self):
        self._untime()
        for request, answer in list(self.queue):
            if answer is None and request.left is not None:
                left, request.left = request.left, None
                left()

    def _untime(self):
        self.due, self.resting = None, False
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _shut(self):
        self._untime()
        self.closing = True
        self.stream.close(lambda error: self._lose())  # until its descriptor is given back it counts

    def gone(self):
        self._untime()
        self._lose()

    def _lose(self):
        if self in self.server.links:
            self._weigh(0)
            self.server.links.discard(self)
            self.server.lot.leave(self.place, self.server.counted)
            self.server.check_emptied()
