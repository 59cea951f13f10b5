"""A link emulator: the parts that carry streams and datagrams, and the commands that change them."""

from __future__ import annotations

import socket

from gaproute.cluster.links.conditions import NetworkConditions
from gaproute.cluster.links.connection_tap import ConnectionTap
from gaproute.cluster.links.context import EmulatorContext
from gaproute.cluster.links.counts import LinkCounts
from gaproute.cluster.links.datagrams import DatagramRelay
from gaproute.cluster.links.invariants import find_violations
from gaproute.cluster.links.lateness import LinkLateness
from gaproute.cluster.links.messages import (
    BeginFault,
    Command,
    EndFault,
    PlaceSlots,
    ReportCounts,
    StartEmulator,
)
from gaproute.cluster.links.streams import StreamRelays
from gaproute.decisions.chance import RandomGenerator
from gaproute.loop import Loop

BACKLOG = 4096  # connections that the kernel opens before the emulator takes them


class LinkEmulator:
    """Carries streams and datagrams between all slots.

    Errors: OSError where the ports cannot be had; `LinkCommandError` for slots that cannot be.
    """

    def __init__(self, loop: Loop, start: StartEmulator) -> None:
        self.loop = loop
        self.conditions = NetworkConditions(start.seed, RandomGenerator)
        self.conditions.place_slots(start.slots)
        self.lateness = LinkLateness(loop)
        self.tap = ConnectionTap(start.tap_path, loop.now)
        context = EmulatorContext(loop, self.conditions, self.lateness)
        listening = open_shared_socket(socket.SOCK_STREAM, start.stream_port)
        self.streams = StreamRelays(context, listening, self.tap)
        self.datagrams = DatagramRelay(context, open_shared_socket(socket.SOCK_DGRAM, start.datagram_port))
        self._changed = False  # slots or faults, which what is under way has yet to follow

    def execute(self, command: Command) -> LinkCounts | None:
        """Carries a command out; returns what to answer, if anything.

        Errors: `LinkCommandError`; nothing has changed then.
        """
        match command:
            case ReportCounts():
                return self.report()
            case PlaceSlots():
                self.conditions.place_slots(command.slots)
            case BeginFault():
                self.conditions.begin_fault(command.fault_id, command.spec)
                self.streams.reset_by(command.fault_id)
            case EndFault():
                self.conditions.end_fault(command.fault_id)
        if not self._changed:  # many commands at once, as when most slots move, cost one look at all
            self._changed = True
            self.loop.call_soon(self.apply_changes)
        return None

    def apply_changes(self) -> None:
        """Applies the slots and faults as they are now to all that is under way."""
        if self._changed:
            self._changed = False
            self.streams.conditions_changed()
            self.datagrams.conditions_changed()

    def find_violations(self) -> list[str]:
        """The invariants that do not hold, as text."""
        return find_violations(self.conditions, self.datagrams, self.streams.relays.values())

    def report(self) -> LinkCounts:
        """The counts until now. The lateness is that since the last report."""
        streams, datagrams = self.streams, self.datagrams
        return LinkCounts(
            bytes=streams.carried_bytes,
            pieces=streams.pieces,
            connections=len(streams.relays),
            opened=streams.counts.opened,
            refused=streams.counts.refused + streams.refuser.count,
            filter_instructions=len(streams.filter),
            pending=len(streams.pending),
            given_up=streams.counts.given_up,
            unmatched=streams.counts.unmatched + datagrams.counts.unmatched,
            messages=datagrams.counts.received,
            message_bytes=datagrams.counts.bytes,
            overrun=datagrams.counts.overrun,
            unsent=datagrams.counts.unsent,
            discarded=datagrams.counts.discarded,
            held=len(datagrams.held),
            effects={effect.value: count for effect, count in self.conditions.counts.items()},
            late_ns=self.lateness.take(),
            late_most_ns=self.lateness.most,
            errors=[repr(error) for error in self.loop.errors],
            violations=self.find_violations(),
        )

    def close(self) -> None:
        """Closes all sockets and the tap's file; standing connections are reset."""
        self.streams.close()
        self.datagrams.close()
        self.tap.close()


def open_shared_socket(kind: socket.SocketKind, port: int) -> socket.socket:
    """A socket for all of 127/8, which only loopback reaches and other emulators share. Errors: OSError."""
    sock = socket.socket(socket.AF_INET, kind | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")
    sock.bind(("0.0.0.0", port))
    if kind == socket.SOCK_STREAM:
        sock.listen(BACKLOG)
    return sock
