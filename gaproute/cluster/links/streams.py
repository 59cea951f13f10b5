"""Connections through the wire: accepted for any pair of seats, opened at the far end, held until both ends
close.

The kernel shakes hands for the wire before it is asked, so a far end that refuses is passed on as an
accepted connection that is reset, unless the seat was told as one that `refuses` (`refuser.py`). What
leads to a seat without an address, or through a cut, does not open (`syn_filter.py`); what the filter let
through before it heard of that stays silent until it can.
"""

import select
import socket

from gaproute.cluster.addresses import between, of
from gaproute.cluster.links import syn_filter
from gaproute.cluster.links.conditions import HELD
from gaproute.cluster.links.refuser import ConnectionRefuser
from gaproute.cluster.links.stream_end import AT_ONCE, StreamEnd
from gaproute.loop import Listener, connect
from gaproute.loop.addresses import address

WITHIN = 130_000_000_000  # ns: as long as Linux tries to connect; then the caller's end is reset
GIVEN_UP = select.EPOLLRDHUP  # and errors, which epoll always tells


class StreamRelay:
    """One connection of seat `a` to seat `b`: the StreamEnd `near` the caller and the StreamEnd `far`."""

    __slots__ = ("streams", "number", "a", "b", "near", "far", "carried")

    def __init__(self, streams, number, near, far, a, b):
        self.streams, self.number, self.a, self.b, self.carried = streams, number, a, b, 0
        self.near, self.far = StreamEnd(self, near, a, b), StreamEnd(self, far, b, a)
        self.near.other, self.far.other = self.far, self.near

    def reset(self):
        """Both ends see a reset at once."""
        self.near.close(reset=True)
        self.far.close(reset=True)

    def changed(self):
        self.near.changed()
        self.far.changed()

    def over(self):
        self.near.forget()
        self.far.forget()
        self.streams.over(self)
        self.streams.loop.soon(self._untie)  # whoever is at work on an end still needs the other

    def _untie(self):
        """Nothing of it goes round in a circle, so that no collection of garbage is needed."""
        if self.near is not None:
            self.near.other = self.far.other = self.near = self.far = None


class StreamRelays:
    """Accepts on the listening `sock`. `tap(what, a, b, bytes)` for each connection that opens or ends."""

    def __init__(self, loop, weather, lateness, sock, tap):
        self.loop, self.weather, self.lateness, self.tap = loop, weather, lateness, tap
        self.relays, self.count = {}, 0  # by number
        self.hanging = {}  # those that cannot open: (socket, a, b)
        self.opened = self.refused = self.given_up = self.stray = self.pieces = self.carried = 0
        self.listener = Listener(loop, (socket.AF_INET, None), self._accepted, inherited=sock)
        self.gate = None  # its instructions, as last attached
        self.refusals = ConnectionRefuser(loop, weather, sock.getsockname()[1])
        self.changed()

    def _accepted(self, sock):
        try:
            a, b = of(sock.getsockname()[0])
        except ValueError:
            self.stray += 1
            _reset(sock)
            return
        self.count += 1
        self._open(self.count, sock, a, b)

    def _open(self, number, sock, a, b):
        """Its handshake takes the way there and the way back, then the far end sees the connection."""
        seat = self.weather.seats.get(b)
        now = due = self.loop.now()
        if seat is None or seat.tcp is None or not self.weather.opens(a, b):
            due = HELD
        elif self.weather.faults:
            due = self.weather.stream(b, a, 0, self.weather.stream(a, b, 0, now, 0), 0)
        if due is HELD:
            self.hanging[number] = sock, a, b
            self.loop.watch(sock.fileno(), GIVEN_UP, lambda events: self._gave_up(number))
        elif due > now:
            self.loop.at(due, self._connect, number, sock, a, b, seat.tcp)
        else:
            self._connect(number, sock, a, b, seat.tcp)

    def _gave_up(self, number):
        """The caller left before its connection had opened: the far end never hears of it."""
        sock = self.hanging.pop(number)[0]
        self.loop.unwatch(sock.fileno())
        sock.close()
        self.given_up += 1

    def _connect(self, number, sock, a, b, where):
        def done(far, error):
            if error is None:
                self.opened += 1
                self._introduce(far, a, b)
                self.relays[number] = StreamRelay(self, number, sock, far, a, b)
                self.tap("opened", a, b, 0)
            else:
                self.refused += 1
                self.tap("refused", a, b, 0)
                _reset(sock)

        connect(self.loop, address(where), WITHIN, done, source=between(b, a))

    def _introduce(self, far, a, b):
        """A host that is to know who orders is told first; a new connection's buffer has room for that."""
        seat, caller = self.weather.seats.get(b), self.weather.seats.get(a)
        if seat is not None and seat.whose and caller is not None:
            try:
                far.send(b'{"type":"whose","gateway":"%b"}\n' % caller.name.encode())
            except OSError:  # it has closed already, which its relay will see
                pass

    def over(self, relay):
        if self.relays.pop(relay.number, None) is not None:
            self.carried += relay.carried
            self.tap("ended", relay.a, relay.b, relay.carried)

    def changed(self):
        """The weather has changed, or a seat."""
        instructions = syn_filter.program(self.weather, self.refusals.can) or [
            (syn_filter.END, 0, 0, syn_filter.PASS)
        ]
        if instructions != self.gate:
            syn_filter.attach(self.listener.sock, instructions)
            self.gate = instructions
        self.refusals.changed()
        for number, (sock, a, b) in list(self.hanging.items()):
            seat = self.weather.seats.get(b)
            if seat is not None and seat.tcp is not None and self.weather.opens(a, b):
                del self.hanging[number]
                self.loop.unwatch(sock.fileno())
                self._open(number, sock, a, b)
        for relay in list(self.relays.values()):
            if relay.near.queue or relay.far.queue:
                relay.changed()

    def reset(self, fault):
        """The fault of this id has begun: breaks those standing connections that it resets."""
        for relay in list(self.relays.values()):
            if self.weather.resets(fault, relay.a, relay.b):
                relay.reset()

    def close(self):
        self.listener.close()
        self.refusals.close()
        for sock, _, _ in self.hanging.values():
            self.loop.unwatch(sock.fileno())
            sock.close()
        self.hanging = {}
        for relay in list(self.relays.values()):
            relay.reset()


def _reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
    sock.close()
