"""The probes of one gateway: its own one in each period, and those that it sends for others."""

from typing import NamedTuple

from gaproute.shared.membership.message_builder import MessageBuilder, Outgoing
from gaproute.shared.membership.messages import Member, MembershipMessage, MemberState
from gaproute.shared.membership.probe_order import ProbeOrder
from gaproute.shared.membership.table import MemberTable
from gaproute.shared.randomness import RandomSource
from gaproute.units import MILLI, SECOND

# Between probes; each gateway costs 2 small messages in a period, whatever the number of gateways
PERIOD = SECOND
PROBE_TIMEOUT = 300 * MILLI  # for the answer to a probe: many round trips, and some late turns
RETRIES = 2  # of a probe, each PROBE_TIMEOUT after the last
HELPERS = 3  # members asked to probe for this one, so that one lossy path does not make a suspect
MAX_INDIRECT_PROBES = 64  # in progress for others at a time


class Probe(NamedTuple):
    """An own probe that is not answered yet."""

    sequence: int
    target: str


class IndirectProbe(NamedTuple):
    """A probe that is sent for another member; `sequence`: of that member's own probe."""

    requester: str
    sequence: int
    target: str


class Prober:
    """Decides when which member is probed, and which answers are awaited."""

    def __init__(self, table: MemberTable, builder: MessageBuilder, random: RandomSource, now: int) -> None:
        self._table, self._builder, self._random = table, builder, random
        self.order = ProbeOrder(table, random)
        self.indirect_probes: dict[int, IndirectProbe] = {}  # by the sequence number of this gateway's ping
        self.next_period = now + PERIOD
        self._sequence = 0
        self._probe: Probe | None = None
        self._retries = 0  # retries of the present probe so far

    @property
    def due(self) -> int:
        """When a period begins or the probe is retried, ns."""
        return self._retry_at if self._probe and self._retries < RETRIES else self.next_period

    @property
    def unanswered(self) -> Member | None:
        """The member whose answer is awaited, if any."""
        return None if self._probe is None else self._table.members.get(self._probe.target)

    def start_period(self, now: int) -> list[Outgoing]:
        """Probes the next member; an earlier probe ends."""
        self.next_period, self._retries, self._probe = now + PERIOD, 0, None
        target = self.order.next()
        if target is None:
            return []
        self._sequence += 1
        if target.state < MemberState.DEAD:
            self._probe = Probe(self._sequence, target.name)
        return [self._builder.ping(target, self._sequence)]

    def retry(self, now: int) -> list[Outgoing]:
        """Retries the probe, directly and through others, if its answer is late."""
        if self._probe is None or self._retries >= RETRIES or now < self._retry_at:
            return []
        self._retries += 1
        target = self._table.members.get(self._probe.target)
        if target is None:
            return []
        helpers = self._choose_helpers(target)
        return [self._builder.ping(target, self._probe.sequence)] + [
            self._builder.ping_request(helper, self._probe.sequence, target.name) for helper in helpers
        ]

    def abandon(self, now: int) -> None:
        """Ends the probe without a result and begins a new period."""
        self._probe, self.next_period = None, now + PERIOD

    def probe_for(self, requester: Member, message: MembershipMessage) -> list[Outgoing]:
        """Probes the target of another member's request."""
        target = self._table.members.get(message.target)
        if target is None:
            return []
        self._sequence += 1
        self.indirect_probes[self._sequence] = IndirectProbe(requester.name, message.sequence, target.name)
        while len(self.indirect_probes) > MAX_INDIRECT_PROBES:
            del self.indirect_probes[next(iter(self.indirect_probes))]
        return [self._builder.ping(target, self._sequence)]

    def ack_received(self, member: Member, message: MembershipMessage) -> list[Outgoing]:
        """Handles an answer; it is forwarded if the probe was for another member."""
        probe = self._probe
        # The answer comes from the target itself, or from a member that probed the target for this gateway
        answered_targets = (member.name, message.target)
        if probe is not None and probe.sequence == message.sequence and probe.target in answered_targets:
            self._probe = None
        indirect = self.indirect_probes.pop(message.sequence, None)
        if indirect is None or indirect.target != member.name:
            return []
        requester = self._table.members.get(indirect.requester)
        if requester is None:
            return []
        return [self._builder.ack(requester, indirect.sequence, indirect.target)]

    @property
    def _retry_at(self) -> int:
        return self.next_period - PERIOD + PROBE_TIMEOUT * (self._retries + 1)

    def _choose_helpers(self, target: Member) -> list[Member]:
        names = self._table.alive.sample(self._random, HELPERS, excluding=target.name)
        return [self._table.members[name] for name in names]
