"""Relays the connections of all links: accepts them, opens them at the far end, carries bytes both ways.

The kernel shakes hands for the emulator before it is asked, so a far end that refuses is passed on as an
accepted connection that is reset, unless its slot `refuses` (`refuser.py`). What leads to a slot without an
address, or through a cut, does not open (`syn_filter.py`); what the filter let through before it was
changed stays silent until it can open.
"""

from __future__ import annotations

import select
import socket
from dataclasses import dataclass
from typing import NamedTuple

from gaproute.cluster.addresses import Link, LinkAddressError, link_address, link_of_address
from gaproute.cluster.links import packet_filter, syn_filter
from gaproute.cluster.links.connection_tap import ConnectionEvent, ConnectionTap
from gaproute.cluster.links.context import EmulatorContext
from gaproute.cluster.links.refuser import ConnectionRefuser
from gaproute.cluster.links.stream_end import close_with_reset
from gaproute.cluster.links.stream_relay import StreamRelay
from gaproute.loop import Listener, connect
from gaproute.loop.addresses import Address, parse_address

CONNECT_TIMEOUT = 130_000_000_000  # ns: as long as Linux tries; then the caller's end is reset
CALLER_LEFT = select.EPOLLRDHUP  # and errors, which epoll always reports


class PendingConnection(NamedTuple):
    """A caller's connection that has not been opened at the far end."""

    number: int
    sock: socket.socket
    link: Link


@dataclass(slots=True)
class StreamCounts:
    """Connections by what became of them; bytes and pieces of those that have ended."""

    accepted: int = 0
    opened: int = 0
    refused: int = 0  # by the far end
    given_up: int = 0  # by the caller, before they opened
    unmatched: int = 0  # to an address between no two slots
    pieces: int = 0
    bytes: int = 0


class StreamRelays:
    """Accepts on the listening `sock`; notes connections that open or end in `tap`."""

    def __init__(self, context: EmulatorContext, sock: socket.socket, tap: ConnectionTap) -> None:
        self.context, self.loop, self.conditions, self.tap = context, context.loop, context.conditions, tap
        self.counts = StreamCounts()
        self.relays: dict[int, StreamRelay] = {}  # by number
        self.pending: dict[int, PendingConnection] = {}  # by number: those that cannot open now
        self.listener = Listener(context.loop, Address(socket.AF_INET, ""), self._accepted, inherited=sock)
        self.filter: list[packet_filter.Instruction] = []  # as last attached
        self.refuser = ConnectionRefuser(context.loop, context.conditions, sock.getsockname()[1])
        self.conditions_changed()

    # Connections

    def _accepted(self, sock: socket.socket) -> None:
        try:
            link = link_of_address(sock.getsockname()[0])
        except LinkAddressError:
            self.counts.unmatched += 1
            close_with_reset(sock)
            return
        self.counts.accepted += 1
        self._open(PendingConnection(self.counts.accepted, sock, link))

    def _can_open(self, link: Link) -> bool:
        slot = self.conditions.slots.get(link.destination)
        return slot is not None and slot.stream_address is not None and self.conditions.can_connect(link)

    def _open(self, pending: PendingConnection) -> None:
        """Opens the connection at the far end after the round trip of its handshake."""
        now = self.loop.now()
        due: int | None = None
        if self._can_open(pending.link):
            due = self.conditions.handshake_due(pending.link, now) if self.conditions.faults else now
        if due is None:
            self.pending[pending.number] = pending
            self.loop.watch(pending.sock.fileno(), CALLER_LEFT, lambda events: self._give_up(pending))
        elif due > now:
            target = self._stream_address(pending.link)
            self.loop.call_at(due, self._connect, pending, target)
        else:
            self._connect(pending, self._stream_address(pending.link))

    def _stream_address(self, link: Link) -> str:
        slot = self.conditions.slots[link.destination]
        return slot.stream_address or ""

    def _give_up(self, pending: PendingConnection) -> None:
        """Drops a connection whose caller left before it had opened; the far end never sees it."""
        del self.pending[pending.number]
        self.loop.unwatch(pending.sock.fileno())
        pending.sock.close()
        self.counts.given_up += 1

    def _connect(self, pending: PendingConnection, target: str) -> None:
        link = pending.link

        def done(far: socket.socket | None, error: OSError | None) -> None:
            if far is None:
                self.counts.refused += 1
                self.tap.note(ConnectionEvent.REFUSED, link)
                close_with_reset(pending.sock)
            else:
                self._connected(pending, far)

        source = link_address(link.destination, link.source)
        connect(self.loop, parse_address(target), CONNECT_TIMEOUT, done, source=source)

    def _connected(self, pending: PendingConnection, far: socket.socket) -> None:
        self.counts.opened += 1
        self._announce_caller(far, pending.link)
        self.relays[pending.number] = StreamRelay(
            self.context,
            pending.number,
            pending.link,
            near=pending.sock,
            far=far,
            on_finished=self._finished,
        )
        self.tap.note(ConnectionEvent.OPENED, pending.link)

    def _announce_caller(self, far: socket.socket, link: Link) -> None:
        """Sends the caller's name first, if the slot wants it; a new connection's buffer has room."""
        callee, caller = self.conditions.slots.get(link.destination), self.conditions.slots.get(link.source)
        if callee is not None and callee.announce_caller and caller is not None:
            try:  # noqa: SIM105 - the error is explained here
                far.send(b'{"type":"whose","gateway":"%b"}\n' % caller.name.encode())
            except OSError:  # it has closed already, which its relay will see
                pass

    def _finished(self, relay: StreamRelay) -> None:
        if self.relays.pop(relay.number, None) is not None:
            self.counts.bytes += relay.carried_bytes
            self.counts.pieces += relay.pieces
            self.tap.note(ConnectionEvent.ENDED, relay.link, relay.carried_bytes)

    # Changes

    def conditions_changed(self) -> None:
        """Follows a change of faults or slots."""
        self._update_filter()
        self.refuser.conditions_changed()
        for pending in list(self.pending.values()):
            if self._can_open(pending.link):
                del self.pending[pending.number]
                self.loop.unwatch(pending.sock.fileno())
                self._open(pending)
        for relay in list(self.relays.values()):
            if relay.in_transit:
                relay.conditions_changed()

    def _update_filter(self) -> None:
        instructions = syn_filter.build(self.conditions, except_refusing=self.refuser.permitted) or [
            packet_filter.ACCEPT_ALL
        ]
        if instructions != self.filter:
            packet_filter.attach(self.listener.sock, instructions)
            self.filter = instructions

    def reset_by(self, fault_id: str) -> None:
        """Resets the standing connections that a fault, which has just begun, concerns."""
        for relay in list(self.relays.values()):
            if self.conditions.resets(fault_id, relay.link):
                relay.reset()

    @property
    def carried_bytes(self) -> int:
        """Bytes read so far, of standing connections as well."""
        return self.counts.bytes + sum(relay.carried_bytes for relay in self.relays.values())

    @property
    def pieces(self) -> int:
        """Pieces read so far, of standing connections as well."""
        return self.counts.pieces + sum(relay.pieces for relay in self.relays.values())

    def close(self) -> None:
        """Closes all sockets; standing connections are reset."""
        self.listener.close()
        self.refuser.close()
        for pending in self.pending.values():
            self.loop.unwatch(pending.sock.fileno())
            pending.sock.close()
        self.pending = {}
        for relay in list(self.relays.values()):
            relay.reset()
