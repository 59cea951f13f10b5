"""Clients that call by JSON-RPC: requests become calls, finals become answers, bodies pass untouched.

| final answer | what the client reads |
| --- | --- |
| delivered | a result with the host's body |
| declined | an error with the code for 'trying again is harmless', with how long to stay away |
| scrapped | any other error |

A message that cannot be read is told so and its connection closed; one that is no request, or a request with
something wrong in it, gets an error, and the connection goes on.
"""

import socket

from gaproute.connections import AcceptedConnections
from gaproute.decisions.admission.admission import FULL_RETRY_PAUSE
from gaproute.fronts.jsonrpc import messages
from gaproute.fronts.jsonrpc.link import LATE, Link
from gaproute.fronts.jsonrpc.messages import Fault
from gaproute.interface.call import Call, Ending
from gaproute.loop import Listener
from gaproute.loop.listening import ACCEPT_RETRY_PAUSE

MILLI, SECOND = 1_000_000, 1_000_000_000
OPEN = 32  # requests of one connection at a time, by the protocol
SWEEP = 100 * MILLI  # between looks for quiet, slow and deaf ones: one wake-up for all of them
FIRST_WORD = 2 * SECOND  # for a new connection to send something: a useless one is to be closed within 3 s
WEIGHT = 24 << 20  # bytes of all clients together, untaken answers and messages that have not come in
#                          whole: an eighth of the memory of a usual gateway; the heaviest client goes then


class Front:
    """One listening address. `core` takes the tasks; `tracks` are the names in the terms' order."""

    counted = True

    def __init__(self, loop, where, core, names, tracks, ready, way_back):
        self.loop, self.core, self.ready, self.way_back = loop, core, ready, way_back
        self.tracks = {
            name: (place, track.hard_limit)
            for place, (name, track) in enumerate(zip(names, tracks, strict=True))
        }
        self.links = {}  # those at work, as an ordered set
        self.refused = lambda code, text: None  # what came wrong, for the log
        self.parked = self.turned_away = self.faults = self.deaf = 0
        self.marks = {}  # a task's mark, while it is open: its connection
        self.stopping = False  # connections close once nothing is owed on them
        self.emptied = None  # call() when the last connection has closed, where somebody waits for that
        self.drainer = None  # timer, where the kernel's queue could not be emptied at a stop
        self.family = where[0]
        self.connections = AcceptedConnections.of(loop)
        self.listener = Listener(loop, where, None, on_ready=self._ready)  # first: it may fail
        self.address = self.listener.address
        self.number = self.connections.add_owner(self)
        self.sweeper = loop.after(SWEEP, self._sweep)

    def _ready(self):
        self.connections.enqueue_listener(self.listener, self)

    def accept_connection(self, sock, address):
        """A connection was accepted: it is parked, or closed where admission has no room."""
        place = self.connections.admit(address[0], True)
        if place is None:
            self.turned_away += 1
            sock.close()
            return
        self.parked += 1
        self.connections.park(
            sock.detach(),
            self.number,
            idle_until=self.loop.now() + FIRST_WORD,
            address_id=place,
            request_count=0,
            registered=False,
        )

    def resume_connection(self, fd, data, place, tasks):
        """A parked connection spoke."""
        self.parked -= 1
        link = Link(self, socket.socket(self.family, socket.SOCK_STREAM, 0, fd), place, tasks)
        self.links[link] = None
        link.bytes(data)

    def connection_closed(self):
        """A parked connection was closed."""
        self.parked -= 1
        self.tell()

    @property
    def held(self):
        """Connections, at work and parked; one more while some may wait to be taken in at a stop."""
        return len(self.links) + self.parked + (self.drainer is not None)

    def tell(self):
        if self.emptied is not None and not self.held:
            self.emptied()

    def _sweep(self):
        self.sweeper = self.loop.after(SWEEP, self._sweep)  # first: an error must not end the looks
        now = self.loop.now()
        for link in list(self.links):
            self.loop.guard(link.look, now)
        self.lighten()

    def lighten(self):
        """Guards memory against thousands that send slowly or take no answers, each within its own bounds;
        harms the heaviest of them before its time, and first those to whom no answer is owed."""
        now = self.loop.now()
        weights = [(not link.owes(now), link.weight(), place, link) for place, link in enumerate(self.links)]
        over = sum([weight for _, weight, _, _ in weights]) - WEIGHT
        for _, weight, _, link in sorted(weights, reverse=True) if over > 0 else ():
            if over > 0:
                over -= weight
                self.deaf += 1
                link.end()

    # Requests

    def take(self, link, body):
        number, method, params = messages.envelope(body)
        if method == "ping":
            if number is not None:
                link.write(messages.pong(number, self.ready()))
        elif method == "abort":
            link.withdraw(messages.withdrawn(params))
        else:
            self.task(link, number, method, params)

    def task(self, link, number, method, params):
        if number is None:
            raise Fault(messages.NO_REQUEST, "a request needs an id")
        if method not in self.tracks:
            raise Fault(messages.NO_METHOD, "no such method", number if number not in link.open else None)
        if number in link.open:
            raise Fault(messages.NO_REQUEST, "a request with this id is open")
        track, longest = self.tracks[method]
        asked = messages.request(number, method, params, longest)
        if asked.mark in self.marks:
            raise Fault(messages.NO_PARAMS, "a request with this i is open", number)
        if len(link.open) >= OPEN:
            raise Fault(messages.REFUSED, f"{OPEN} requests are open on this connection", number)
        if self.stopping:
            raise Fault(messages.REFUSED, "the gateway stops", number)
        call = Call(
            asked.function,
            "",
            (),
            asked.body,
            asked.mark,
            method,
            asked.receipt,
            client_present=lambda: link.present(number, asked.mark),
        )
        self.marks[asked.mark] = link
        came = self.loop.now() - link.waited
        wait = min(asked.wait, longest)
        link.tasks += 1
        link.owed_until = max(link.owed_until, came + wait + LATE)
        link.open[number] = None
        link.open[number] = (
            self.core.submit(
                call,
                track,
                0,
                asked.lanes,
                asked.load_time,
                came,
                wait - self.way_back,
                lambda final: self.final(link, asked, final),
            ),
            asked.mark,
        )

    def final(self, link, asked, final):
        held = link.open.get(asked.number)
        if held is None or held[0] != final.request:  # its client left while this was on its way; another
            return  # request may bear its id by now
        del link.open[asked.number], self.marks[asked.mark]
        if final.ending is Ending.DELIVERED:
            link.write(messages.result(asked.number, final.answer.body))
        elif final.ending is Ending.REJECTED:
            link.write(messages.error(asked.number, messages.REFUSED, final.reason, final.retry_after))
        else:
            link.write(messages.error(asked.number, messages.FAILED, final.reason))
        link.settled()

    def left(self, key, mark):
        self.marks.pop(mark, None)
        self.core.client_left(key)

    # Stop

    def shut(self):
        """Accepts no more. What waits in the kernel's queue is taken in first, as it would be reset; those
        who rest make room for it. Tried again while there is no room, or accepting fails."""
        self.drainer = None
        while (room := self.connections.has_capacity()) and (came := self.listener.accept()) is not None:
            self.accept_connection(*came)
        if not room:
            self.drainer = self.loop.after(FULL_RETRY_PAUSE, self.shut)
        elif not self.listener.backlog_empty:
            self.drainer = self.loop.after(ACCEPT_RETRY_PAUSE, self.shut)
        else:
            self.listener.close()
            self.tell()

    def stop(self):
        """Closes every connection once nothing is open on it and no half message has come. What has come
        until then is answered first, and what it asks is declined."""
        if self.stopping:
            return
        self.stopping = True
        self._cancel_drain()
        self.connections.close_owned(self.number)
        self._take_in()
        for link in list(self.links):
            link.settled()

    def _take_in(self):
        """The kernel's queue is emptied, room or not, then the address given up; tried again while accepting
        fails."""
        self.drainer = None
        if not self.listener.accept_all(self.accept_connection):
            self.drainer = self.loop.after(ACCEPT_RETRY_PAUSE, self._take_in)
            return
        self.listener.close()
        self.connections.close_owned(self.number)
        self.tell()

    def _cancel_drain(self):
        if self.drainer is not None:
            self.drainer.cancel()
            self.drainer = None

    def close(self):
        self.stop()
        self._cancel_drain()
        self.listener.close()
        self.sweeper.cancel()
        self.connections.close_owned(self.number, include_queued=True)
        for link in list(self.links):
            if link.closing:
                link.stream.finish_close()  # its last words are with the kernel
            else:
                link.end()
