"""The server side of HTTP/1.1: listens, wakes and parks connections, hands whole requests to a handler."""

import socket
from collections import deque

from gaproute.connections import AcceptedConnections
from gaproute.http1.connection import ServerLink
from gaproute.http1.deadlines import SWEEP
from gaproute.http1.limits import LIMITS
from gaproute.http1.message import Fault
from gaproute.http1.rendering import render
from gaproute.loop import Listener
from gaproute.loop.listening import ACCEPT_RETRY_PAUSE
from gaproute.loop.streams import READ_SIZE


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
        self.drainer = None  # timer, where the kernel's queue could not be emptied at a stop
        self.last_request = None  # after a stop with grace: when the last request must have come in whole
        self.turned_away = self.faults = 0
        self.family = where[0]
        self.connections = AcceptedConnections.of(loop)
        self.shared = inherited is not None  # others accept from the same queue
        # first: it may fail
        self.listener = Listener(loop, where, None, on_ready=self._ready, inherited=inherited)
        self.address = self.listener.address
        self.number = self.connections.add_owner(self)

    @property
    def held(self):
        """Connections, at work and parked; one more while some may wait to be taken in at a stop."""
        return len(self.links) + self.parked + (self.drainer is not None)

    def _ready(self):
        self.connections.enqueue_listener(self.listener, self)

    def accept_connection(self, sock, address):
        """A connection was accepted: it is parked, or answered and closed where admission has no room."""
        place = None
        if self.held < self.limits.connections:
            place = self.connections.admit(address[0] if self.family != socket.AF_UNIX else "", self.counted)
        if place is None:
            self.turned_away += 1
            self._turn_away(sock)
            return
        self.parked += 1
        now = self.loop.now()
        self.connections.park(
            sock.detach(),
            self.number,
            idle_until=self.idle_end(now),
            address_id=place,
            request_count=0,
            registered=False,
        )

    def _turn_away(self, sock):
        """Answers what a connection that finds no room may ask, and closes it. What lies there is read first:
        a socket closed with bytes unread is reset, which can destroy the answer."""
        headers, body = self.explain(Fault(503, "there is no room for one more connection"))
        try:
            sock.send(render(503, headers, body, True))
            sock.shutdown(socket.SHUT_WR)
            sock.recv(READ_SIZE)
        except OSError:
            pass  # nothing to be read, or its client has left
        sock.close()

    def idle_end(self, now):
        """When a connection that is idle from `now` on is closed."""
        return self.connections.admission.idle_deadline(now, self.limits.idle_time, self.limits.spread)

    def resume_connection(self, fd, data, place, tasks):
        """A parked connection spoke."""
        self.parked -= 1
        sock = socket.socket(self.family, socket.SOCK_STREAM, 0, fd)
        link = ServerLink(self, sock, place, tasks)
        self.links.add(link)
        link.bytes(data)

    def rest(self, link):
        """Queues a quiet connection for parking at its deadline."""
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

    def connection_closed(self):
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
        self.stopping = True
        if grace is not None:
            self.last_request = self.loop.now() + grace
        self._take_in()
        for link in list(self.links):
            link.stop()

    def _take_in(self):
        """What waits in the kernel's queue comes in, as the kernel would reset it, then the address is given
        up; tried again while accepting fails."""
        self.drainer = None
        if self.shared or self.listener.accept_all(self.accept_connection):
            self.listener.close()
        else:
            self.drainer = self.loop.after(ACCEPT_RETRY_PAUSE, self._take_in)
        self.connections.close_owned(self.number, first_request_by=self.last_request)
        self.check_emptied()

    def close(self):
        """Stops and ends every connection at once, without waiting for answers still owed."""
        self.stop()
        if self.drainer is not None:
            self.drainer.cancel()
            self.drainer = None
        self.listener.close()
        self.connections.close_owned(self.number, include_queued=True)
        if self.sweep is not None:
            self.sweep.cancel()
        for link in list(self.links):
            if link.stream.closing:
                link.stream.finish_close()  # its last words are with the kernel
            else:
                link.stream.abort()
            link.gone()
