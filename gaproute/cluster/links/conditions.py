"""Decides what the faults that are on do to a message on a link, without I/O.

The time is passed with each question, in ns; random numbers come from `LinkRandom`. A due time of None means
that the message is held back until a fault ends.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from gaproute.cluster.addresses import MAX_SLOT, MIN_SLOT, Link
from gaproute.cluster.links.errors import LinkCommandError
from gaproute.cluster.links.faults import FaultSpec, LinkFault, LinkFaultKind, LinkTraffic
from gaproute.cluster.links.link_random import LinkRandom
from gaproute.cluster.links.rate_queues import RateQueues
from gaproute.cluster.links.slots import Slot
from gaproute.shared.randomness import RandomSource
from gaproute.units import MILLI

RETRANSMISSION_TIMEOUT = 200 * MILLI  # TCP's least time before it sends lost bytes again
MAX_LOSSES = 6  # in a row, 12.6 s in all: a share of 1 must end some time
SHARE_STEPS = 1 << 32  # in which a share is drawn


class Effect(StrEnum):
    """What was done to messages, as it is counted; the values are keys of a run's verdict."""

    LOST = "lost"
    DOUBLED = "doubled"
    REORDERED = "reordered"
    DELAYED = "delayed"
    CUT = "cut"
    HELD = "held"
    FULL = "full"  # lost as the queue of a limited rate was full


class FaultsOnLink(NamedTuple):
    """The faults that lie on a link's streams and on its datagrams, in the order in which they began."""

    streams: tuple[LinkFault, ...]
    datagrams: tuple[LinkFault, ...]


@dataclass(slots=True)
class DatagramFate:
    """What faults have made of one datagram so far: when it is due, in ns, and how often."""

    due: int
    copies: int = 1
    in_order: bool = True  # behind the link's last datagram


class NetworkConditions:
    """The process slots and the faults that are on. `make_source(seed)` makes a generator of chance."""

    def __init__(self, seed: int, make_source: Callable[[int], RandomSource]) -> None:
        self.slots: dict[int, Slot] = {}
        # By id, in the order in which they began: as described, and over the slots that there are now.
        self.specs: dict[str, FaultSpec] = {}
        self.faults: dict[str, LinkFault] = {}
        self.counts = dict.fromkeys(Effect, 0)  # messages
        self.rate_queues = RateQueues()
        # When the last datagram of a link is due, while that lies ahead: the next stays behind it.
        self.last_datagram_due: dict[Link, int] = {}
        self._random = LinkRandom(seed, make_source)
        self._faults_by_link: dict[Link, FaultsOnLink] = {}  # cached until a slot or fault changes

    # Commands

    def place_slots(self, slots: Mapping[int, Slot]) -> None:
        """Adds slots, or changes them. Errors: `LinkCommandError`; nothing has changed then."""
        for number in slots:
            if not MIN_SLOT <= number <= MAX_SLOT:
                raise LinkCommandError(
                    f"no process slot has number {number}: they are {MIN_SLOT} to {MAX_SLOT}"
                )
        placed = self.slots | dict(slots)
        self.faults = {
            fault_id: LinkFault.resolve(fault_id, spec, placed) for fault_id, spec in self.specs.items()
        }
        self.slots = placed
        self._faults_by_link = {}

    def begin_fault(self, fault_id: str, spec: FaultSpec) -> None:
        """Begins a fault. Errors: `LinkCommandError`; nothing has changed then."""
        self.faults[fault_id] = LinkFault.resolve(fault_id, spec, self.slots)
        self.specs[fault_id] = spec
        self._faults_by_link = {}

    def end_fault(self, fault_id: str) -> None:
        """Ends a fault. Errors: `LinkCommandError` for one that is not on."""
        if self.specs.pop(fault_id, None) is None:
            raise LinkCommandError(f"no fault {fault_id!r} is on")
        del self.faults[fault_id]
        self.rate_queues.forget(fault_id)
        self._faults_by_link = {}

    # Questions

    def faults_on(self, link: Link) -> FaultsOnLink:
        """The faults that lie on a link now."""
        found = self._faults_by_link.get(link)
        if found is None:
            touching = [fault for fault in self.faults.values() if fault.touches(link)]
            found = self._faults_by_link[link] = FaultsOnLink(
                tuple(fault for fault in touching if fault.on_streams),
                tuple(fault for fault in touching if fault.on_datagrams),
            )
        return found

    def blocks_streams(self, link: Link) -> bool:
        """Whether the bytes of streams over the link are held back for now."""
        return any(fault.blocks for fault in self.faults_on(link).streams)

    def can_connect(self, link: Link) -> bool:
        """Whether a connection from the link's source can open: its handshake goes both ways."""
        return not self.blocks_streams(link) and not self.blocks_streams(link.reverse)

    def resets(self, fault_id: str, link: Link) -> bool:
        """Whether the fault, which has just begun, resets a standing connection over the link."""
        fault = self.faults[fault_id]
        return (
            fault.spec.kind is LinkFaultKind.RESET
            and fault.on_streams
            and (fault.touches(link) or fault.touches(link.reverse))
            and self._hits(fault, link, LinkTraffic.STREAMS)
        )

    def handshake_due(self, link: Link, now: int) -> int | None:
        """When a connection that the caller begins now is open, after a round trip; None while held back."""
        there = self.stream_due(link, 0, now=now, not_before=0)
        return None if there is None else self.stream_due(link.reverse, 0, now=there, not_before=0)

    def stream_due(self, link: Link, size: int, *, now: int, not_before: int) -> int | None:
        """When `size` bytes read now are due at the other end; None while held back.

        `not_before` is when the bytes before them are due.
        """
        due = now
        for fault in self.faults_on(link).streams:
            if fault.blocks:
                self.counts[Effect.HELD] += 1
                return None
            if fault.spec.kind is LinkFaultKind.DELAY and self._hits(fault, link, LinkTraffic.STREAMS):
                due += self._delay(fault, link, LinkTraffic.STREAMS, size=size, now=now) or 0
                self.counts[Effect.DELAYED] += 1
            elif fault.spec.kind is LinkFaultKind.LOSE:
                due += self._retransmission_delay(fault, link)
        return max(due, not_before)

    def datagram_dues(self, link: Link, size: int, now: int) -> tuple[int, ...] | None:
        """When each copy of a datagram that arrives now is due; empty if it is lost, None while held back."""
        fate = DatagramFate(now)
        for fault in self.faults_on(link).datagrams:
            if fault.spec.kind is LinkFaultKind.HOLD:
                self.counts[Effect.HELD] += 1
                return None
            if fault.spec.kind is LinkFaultKind.RESET or not self._hits(fault, link, LinkTraffic.DATAGRAMS):
                continue
            effect = self._alter(fate, fault, link, size=size, now=now)
            self.counts[effect] += 1
            if effect in (Effect.CUT, Effect.LOST, Effect.FULL):
                return ()
        if fate.in_order:
            self._keep_order(fate, link, now)
        return (fate.due,) * fate.copies

    # What one fault does

    def _alter(self, fate: DatagramFate, fault: LinkFault, link: Link, *, size: int, now: int) -> Effect:
        kind = fault.spec.kind
        if kind is LinkFaultKind.CUT:
            return Effect.CUT
        if kind is LinkFaultKind.LOSE:
            return Effect.LOST
        if kind is LinkFaultKind.DOUBLE:
            fate.copies += 1
            return Effect.DOUBLED
        delay = self._delay(fault, link, LinkTraffic.DATAGRAMS, size=size, now=now)
        if delay is None:
            return Effect.FULL
        fate.due += delay
        if kind is LinkFaultKind.REORDER:
            fate.in_order = False
            return Effect.REORDERED
        return Effect.DELAYED

    def _keep_order(self, fate: DatagramFate, link: Link, now: int) -> None:
        fate.due = max(fate.due, self.last_datagram_due.get(link, 0))
        if fate.due > now:
            self.last_datagram_due[link] = fate.due
        else:
            self.last_datagram_due.pop(link, None)

    def _retransmission_delay(self, fault: LinkFault, link: Link) -> int:
        """The delay, ns, of bytes that TCP retransmits until they are not lost; the timeout doubles."""
        delay, timeout, losses = 0, RETRANSMISSION_TIMEOUT, 0
        while losses < MAX_LOSSES and self._hits(fault, link, LinkTraffic.STREAMS):
            delay, timeout, losses = delay + timeout, 2 * timeout, losses + 1
        self.counts[Effect.LOST] += losses
        return delay

    def _hits(self, fault: LinkFault, link: Link, traffic: LinkTraffic) -> bool:
        """Whether the fault touches this message, drawn by its share."""
        share = fault.spec.share
        if share >= 1:
            return True
        return self._random.source(link, traffic).below(SHARE_STEPS) < share * SHARE_STEPS

    def _delay(
        self, fault: LinkFault, link: Link, traffic: LinkTraffic, *, size: int, now: int
    ) -> int | None:
        """The delay, in ns, of one message; None if a datagram finds the queue of a limited rate full."""
        delay = fault.spec.base_delay
        if fault.spec.jitter:
            delay += self._random.source(link, traffic).below(fault.spec.jitter)
        if fault.spec.rate:
            wait = self.rate_queues.enqueue(fault, link, traffic, size=size, now=now)
            if wait is None:
                return None
            delay += wait
        return delay
