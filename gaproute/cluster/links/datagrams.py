"""Datagrams through the wire: one socket for all pairs; the address called tells which pair it is."""

import socket
from collections import deque

from gaproute.cluster.addresses import between, pair
from gaproute.cluster.links.conditions import HELD
from gaproute.loop.addresses import address
from gaproute.loop.descriptors import READ

LONGEST = 65535  # bytes of a message: UDP's own limit
READS = 64  # messages taken in one turn, so that streams get their share of it
SENDS = 256  # messages of a burst sent in one turn
KEPT = 16384  # messages kept back at once: what comes beyond is lost
UNDER_WAY = 65536  # messages delayed at once, of all pairs: three seconds of a busy wire; more are lost
SPAN = 1 << 25  # their bytes, and of the socket's buffer
PKTINFO = 8  # IP_PKTINFO of Linux, which this Python does not name: the address that was called
OVERRUN = 40  # SO_RXQ_OVFL of Linux: messages that found the buffer full, told beside the next
FORCED = 33  # SO_RCVBUFFORCE: as SO_RCVBUF, but beyond the machine's limit for who may
SIDE = 96  # bytes for what the kernel tells beside a message


class DatagramRelay:
    """Reads and sends on the bound socket `sock`."""

    def __init__(self, loop, weather, lateness, sock):
        self.loop, self.weather, self.lateness, self.sock = loop, weather, lateness, sock
        sock.setsockopt(socket.IPPROTO_IP, PKTINFO, 1)
        sock.setsockopt(socket.SOL_SOCKET, OVERRUN, 1)
        try:
            sock.setsockopt(socket.SOL_SOCKET, FORCED, SPAN)
        except PermissionError:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SPAN)
        self.routes = {}  # address called, as a number: (a, b, where to, what is beside, the pair's bits)
        self.kept, self.kept_bytes = deque(), 0  # by a hold: (a, b, data, route)
        self.bursting = False
        self.messages = self.carried = self.stray = self.overrun = self.unsent = self.spilt = 0
        self.under_way = 0  # delayed ones, each with its timer
        loop.watch(sock.fileno(), READ, self._ready)

    def _ready(self, events):
        for _ in range(READS):
            try:
                data, beside, _, _ = self.sock.recvmsg(LONGEST, SIDE)
            except OSError:  # nothing more
                return
            called = 0
            for level, kind, value in beside:
                if level == socket.IPPROTO_IP and kind == PKTINFO:
                    called = int.from_bytes(value[8:12], "big")
                elif kind == OVERRUN:
                    self.overrun = int.from_bytes(value, "little")
            route = self.routes.get(called) or self._route(called)
            if route is not None:
                self._heard(data, route)

    def _route(self, called):
        try:
            a, b = pair(called)
        except ValueError:
            self.stray += 1
            return None
        seat = self.weather.seats.get(b)
        if seat is None or seat.udp is None:
            self.stray += 1
            return None
        back = socket.inet_aton(between(b, a))
        beside = [(socket.IPPROTO_IP, PKTINFO, bytes(4) + back + bytes(4))]
        route = self.routes[called] = a, b, address(seat.udp)[1], beside, called & 0xFFFFFF
        return route

    def _heard(self, data, route):
        a, b = route[0], route[1]
        self.messages += 1
        self.carried += len(data)
        weather = self.weather
        if route[4] not in weather.last and not (weather.faults and weather.over(a, b)[1]):
            self._send(data, route)
            return
        now = self.loop.now()
        dues = weather.datagram(a, b, len(data), now)
        if dues is HELD:
            if len(self.kept) < KEPT and self.kept_bytes + len(data) <= SPAN:
                self.kept.append((a, b, data))
                self.kept_bytes += len(data)
            else:
                self.spilt += 1
            return
        for due in dues:
            if due <= now:
                self._send(data, route)
            elif self.under_way < UNDER_WAY:
                self.under_way += 1
                self.loop.at(due, self._due, due, data, route)
            else:
                self.spilt += 1

    def _due(self, due, data, route):
        self.under_way -= 1
        self.lateness.left(due, self.loop.now())
        self._send(data, route)

    def _send(self, data, route):
        try:
            self.sock.sendmsg((data,), route[3], 0, route[2])
        except OSError:
            self.unsent += 1

    def changed(self):
        """The weather has changed, or a seat: what is no longer held goes out in one burst, in its order;
        what comes after it may overtake the rest of a long one."""
        self.routes = {}
        if self.kept and not self.bursting:
            self.bursting = True
            self.loop.soon(self._burst, len(self.kept))

    def _burst(self, left):
        """A burst in slices, so that streams are not late for it; what is held still stays."""
        for _ in range(min(left, SENDS)):
            a, b, data = self.kept.popleft()
            if any(one.kind == "hold" for _, one in self.weather.over(a, b)[1]):
                self.kept.append((a, b, data))
                continue
            self.kept_bytes -= len(data)
            called = int.from_bytes(socket.inet_aton(between(a, b)), "big")
            route = self.routes.get(called) or self._route(called)
            if route is not None:
                self._send(data, route)
        if left > SENDS:
            self.loop.soon(self._burst, left - SENDS)
        else:
            self.bursting = False

    def close(self):
        self.loop.unwatch(self.sock.fileno())
        self.sock.close()
