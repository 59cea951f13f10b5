"""Relays the datagrams of all links by one socket: the address that was called names the link."""

from __future__ import annotations

import socket
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from gaproute.cluster.addresses import Link, LinkAddressError, link_address, link_of_number
from gaproute.cluster.links.context import EmulatorContext
from gaproute.cluster.links.faults import LinkFaultKind
from gaproute.loop.addresses import SocketAddress, parse_address
from gaproute.loop.descriptors import READ

MAX_DATAGRAM = 65535  # bytes: UDP's own limit
MAX_READS_PER_TURN = 64  # so that streams get their share of a turn
MAX_RELEASED_PER_TURN = 256  # of those that were held
MAX_HELD = 16384  # datagrams held at once: what comes beyond is lost
MAX_DELAYED = 65536  # at once, of all links: three seconds of a busy emulator; more are lost
MAX_HELD_BYTES = 1 << 25  # also the size of the socket's buffer
ANCILLARY_SIZE = 96  # bytes for what the kernel adds to a datagram
# Options of Linux that Python does not name:
IP_PKTINFO = 8  # the address that was called, beside each datagram
SO_RXQ_OVFL = 40  # datagrams that found the buffer full, beside the next one
SO_RCVBUFFORCE = 33  # as SO_RCVBUF, but beyond the machine's limit for who may
PKTINFO_ADDRESS = slice(8, 12)  # of struct in_pktinfo: the address that was called

Ancillary = list[tuple[int, int, bytes]]


def sent_from(packed_address: bytes) -> Ancillary:
    """The ancillary data that makes a datagram leave from this local address (4 bytes)."""
    return [(socket.IPPROTO_IP, IP_PKTINFO, bytes(4) + packed_address + bytes(4))]


class Route(NamedTuple):
    """How the datagrams of a link are forwarded."""

    link: Link
    target: SocketAddress
    ancillary: Ancillary


class HeldDatagram(NamedTuple):
    """A datagram that is held until a fault ends."""

    link: Link
    data: bytes


@dataclass(slots=True)
class DatagramCounts:
    """Datagrams and bytes that came in; and datagrams that were not forwarded, by reason."""

    received: int = 0
    bytes: int = 0
    unmatched: int = 0  # for an address between no two slots
    overrun: int = 0  # dropped by the kernel, as the socket's buffer was full
    unsent: int = 0  # refused by the kernel
    discarded: int = 0  # beyond MAX_HELD or MAX_DELAYED


class DatagramRelay:
    """Reads from the bound socket `sock` and forwards."""

    def __init__(self, context: EmulatorContext, sock: socket.socket) -> None:
        self.loop, self.conditions, self.lateness = context
        self.sock = sock
        self.counts = DatagramCounts()
        self.held: deque[HeldDatagram] = deque()
        self.held_bytes = 0
        self._routes: dict[int, Route] = {}  # by the address that was called
        self._releasing = False
        self._delayed = 0  # each with its timer
        self._configure()
        self.loop.watch(sock.fileno(), READ, self._ready)

    def conditions_changed(self) -> None:
        """Follows a change of faults or slots: what is no longer held goes out in one burst, in its order.

        What comes after it may overtake the rest of a long burst.
        """
        self._routes = {}
        if self.held and not self._releasing:
            self._releasing = True
            self.loop.call_soon(self._release, len(self.held))

    def close(self) -> None:
        """Closes the socket."""
        self.loop.unwatch(self.sock.fileno())
        self.sock.close()

    def _configure(self) -> None:
        self.sock.setsockopt(socket.IPPROTO_IP, IP_PKTINFO, 1)
        self.sock.setsockopt(socket.SOL_SOCKET, SO_RXQ_OVFL, 1)
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, SO_RCVBUFFORCE, MAX_HELD_BYTES)
        except PermissionError:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MAX_HELD_BYTES)

    # In

    def _ready(self, events: int) -> None:
        for _ in range(MAX_READS_PER_TURN):
            try:
                data, ancillary, _, _ = self.sock.recvmsg(MAX_DATAGRAM, ANCILLARY_SIZE)
            except OSError:  # nothing more
                return
            called = self._called_address(ancillary)
            route = self._routes.get(called) or self._find_route(called)
            if route is not None:
                self._receive(data, route)

    def _called_address(self, ancillary: Ancillary) -> int:
        called = 0
        for level, kind, value in ancillary:
            if level == socket.IPPROTO_IP and kind == IP_PKTINFO:
                called = int.from_bytes(value[PKTINFO_ADDRESS], "big")
            elif kind == SO_RXQ_OVFL:
                self.counts.overrun = int.from_bytes(value, "little")
        return called

    def _find_route(self, called: int) -> Route | None:
        """The route of a called address; None, and counted, where it leads to no process."""
        try:
            link = link_of_number(called)
        except LinkAddressError:
            self.counts.unmatched += 1
            return None
        slot = self.conditions.slots.get(link.destination)
        if slot is None or slot.datagram_address is None:
            self.counts.unmatched += 1
            return None
        source = socket.inet_aton(link_address(link.destination, link.source))
        route = Route(link, parse_address(slot.datagram_address).target, sent_from(source))
        self._routes[called] = route
        return route

    def _receive(self, data: bytes, route: Route) -> None:
        self.counts.received += 1
        self.counts.bytes += len(data)
        conditions, link = self.conditions, route.link
        if link not in conditions.last_datagram_due and not (
            conditions.faults and conditions.faults_on(link).datagrams
        ):
            self._send(data, route)
            return
        now = self.loop.now()
        dues = conditions.datagram_dues(link, len(data), now)
        if dues is None:
            self._hold(HeldDatagram(link, data))
            return
        for due in dues:
            if due <= now:
                self._send(data, route)
            elif self._delayed < MAX_DELAYED:
                self._delayed += 1
                self.loop.call_at(due, self._send_delayed, due, data, route)
            else:
                self.counts.discarded += 1

    def _hold(self, datagram: HeldDatagram) -> None:
        if len(self.held) < MAX_HELD and self.held_bytes + len(datagram.data) <= MAX_HELD_BYTES:
            self.held.append(datagram)
            self.held_bytes += len(datagram.data)
        else:
            self.counts.discarded += 1

    # Out

    def _send_delayed(self, due: int, data: bytes, route: Route) -> None:
        self._delayed -= 1
        self.lateness.note_departure(due, self.loop.now())
        self._send(data, route)

    def _send(self, data: bytes, route: Route) -> None:
        try:
            self.sock.sendmsg((data,), route.ancillary, 0, route.target)
        except OSError:
            self.counts.unsent += 1

    def _release(self, left: int) -> None:
        """Releases in slices, so that streams are not late for it; what is held still stays."""
        for _ in range(min(left, MAX_RELEASED_PER_TURN)):
            datagram = self.held.popleft()
            faults = self.conditions.faults_on(datagram.link).datagrams
            if any(fault.spec.kind is LinkFaultKind.HOLD for fault in faults):
                self.held.append(datagram)
                continue
            self.held_bytes -= len(datagram.data)
            self._send_released(datagram)
        if left > MAX_RELEASED_PER_TURN:
            self.loop.call_soon(self._release, left - MAX_RELEASED_PER_TURN)
        else:
            self._releasing = False

    def _send_released(self, datagram: HeldDatagram) -> None:
        called = int.from_bytes(socket.inet_aton(link_address(*datagram.link)), "big")
        route = self._routes.get(called) or self._find_route(called)
        if route is not None:
            self._send(datagram.data, route)
