"""Gateways that probe each other on a simulated clock and network: no sockets, no waiting."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from gaproute.decisions.chance import RandomGenerator
from gaproute.peers.membership_wire import encode
from gaproute.shared.membership import Membership, MembershipMessage, MemberState
from gaproute.units import MILLI

DELAY = 5 * MILLI  # of a message
STOPPED_RETRY = 10 * MILLI  # after which an event of a stopped gateway is tried again


@dataclass(frozen=True, slots=True)
class Delivery:
    """A message arrives."""

    message: MembershipMessage


@dataclass(frozen=True, slots=True)
class Tick:
    """A timer of that run of a gateway is due."""

    member: Membership


@dataclass(frozen=True, slots=True)
class NetworkEvent:
    """What happens at a gateway."""

    name: str
    what: Delivery | Tick


class MembershipNetwork:
    """`size` gateways g0, g1 and so on, each knowing the others; a message takes `DELAY`."""

    def __init__(self, size: int, seed: int = 1, known: Iterable[int] | None = None) -> None:
        """`known`: numbers of the gateways that each knows at first; by default all."""
        self.now = 0
        self.sizes: list[int] = []  # of the messages sent, bytes
        self.is_lost: Callable[[str, str], bool] = lambda sender, receiver: False
        self.down: set[str] = set()  # gateways that are dead
        self.stopped: set[str] = set()  # gateways that are paused
        self.nodes: dict[str, Membership] = {}
        # Plain tuples, which the heap compares fast: when, the event's number, the event.
        self._events: list[tuple[int, int, NetworkEvent]] = []
        self._event_count = 0
        peers = {f"g{number}": f"g{number}" for number in (range(size) if known is None else known)}
        for number in range(size):
            self.start(f"g{number}", seed * 100 + number, dict(peers))

    def start(self, name: str, seed: int, peers: dict[str, str]) -> None:
        """Starts a gateway; `peers`: addresses by name."""
        self.start_member(Membership(name, name, RandomGenerator(seed), self.now), peers)

    def start_member(self, member: Membership, peers: dict[str, str]) -> None:
        """Starts a gateway that was made already, in the place of one of the same name."""
        self.nodes[member.name] = member
        member.set_configured_members(self.now, peers)
        self.down.discard(member.name)
        self._plan(member.due, member.name, Tick(member))

    def deliver(self, receiver: str, message: MembershipMessage) -> None:
        """The message arrives after `DELAY`."""
        self._plan(self.now + DELAY, receiver, Delivery(message))

    def send(self, sender: str, messages: Iterable[tuple[str, MembershipMessage]]) -> None:
        """Sends messages (receiver, message), of which some are lost."""
        for receiver, message in messages:
            self.sizes.append(len(encode(message)))
            if not self.is_lost(sender, receiver):
                self.deliver(receiver, message)

    def run(self, span: int) -> None:
        """So many ns go by."""
        end = self.now + span
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            self._handle(event)
        self.now = end

    def _plan(self, at: int, name: str, what: Delivery | Tick) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at, self._event_count, NetworkEvent(name, what)))

    def _handle(self, event: NetworkEvent) -> None:
        name, what = event.name, event.what
        node = self.nodes.get(name)
        if name in self.down or node is None or isinstance(what, Tick) and what.member is not node:
            return
        if name in self.stopped:
            self._plan(self.now + STOPPED_RETRY, name, what)
        elif isinstance(what, Delivery):
            self.send(name, node.receive(self.now, what.message))
        else:
            self.send(name, node.tick(self.now))
            self._plan(max(node.due, self.now + MILLI), name, Tick(node))

    def states_of(self, member: str) -> set[MemberState]:
        """The states in which the others hold it."""
        return {
            node.members[member].state
            for name, node in self.nodes.items()
            if name not in self.down and name != member and member in node.members
        }
