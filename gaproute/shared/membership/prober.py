"""The probes of one gateway: its own one in each period, and those that it sends for others."""

from typing import NamedTuple

from gaproute.shared.membership.message_builder import MessageBuilder, Outgoing
from gaproute.shared.membership.messages import Member, MembershipMessage, MemberState
from gaproute.shared.membership.probe_order import ProbeOrder
from gaproute.shared.membership.table import MemberTable
from gaproute.shared.randomness import RandomSource
from gaproute.units import MILLI, SECOND

# Between probes; each gateway costs 2 small messages in a period, whatever the number of gateways
PROBE_PERIOD = SECOND
PROBE_TIMEOUT = 300 * MILLI  # for the answer to a probe: many round trips, and some late turns
MAX_PROBE_RETRIES = 2  # of a probe, each PROBE_TIMEOUT after the last
PROBE_HELPERS = 3  # members asked to probe for this one, so that one lossy path does not make a suspect
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
        self._table, self._message_builder, self._random = table, builder, random
        self.probe_order = ProbeOrder(table, random)
        self.indirect_probes: dict[int, IndirectProbe] = {}  # by the sequence number of this gateway's ping
        self.next_period_at = now + PROBE_PERIOD
        self._last_sequence = 0
        self._current_probe: Probe | None = None
        self._retry_count = 0  # retries of the present probe so far

    @property
    def due(self) -> int:
        """When a period begins or the probe is retried, ns."""
        return (
            self._retry_at
            if self._current_probe and self._retry_count < MAX_PROBE_RETRIES
            else self.next_period_at
        )

    @property
    def awaited_member(self) -> Member | None:
        """The member whose answer is awaited, if any."""
        return None if self._current_probe is None else self._table.members.get(self._current_probe.target)

    def start_period(self, now: int) -> list[Outgoing]:
        """Probes the next member; an earlier probe ends."""
        self.next_period_at, self._retry_count, self._current_probe = now + PROBE_PERIOD, 0, None
        target = self.probe_order.next_member()
        if target is None:
            return []
        self._last_sequence += 1
        if target.state < MemberState.DEAD:
            self._current_probe = Probe(self._last_sequence, target.name)
        return [self._message_builder.ping(target, self._last_sequence)]

    def retry_probe(self, now: int) -> list[Outgoing]:
        """Retries the probe, directly and through others, if its answer is late."""
        if self._current_probe is None or self._retry_count >= MAX_PROBE_RETRIES or now < self._retry_at:
            return []
        self._retry_count += 1
        target = self._table.members.get(self._current_probe.target)
        if target is None:
            return []
        helpers = self._choose_helpers(target)
        return [self._message_builder.ping(target, self._current_probe.sequence)] + [
            self._message_builder.ping_request(helper, self._current_probe.sequence, target.name)
            for helper in helpers
        ]

    def abandon_probe(self, now: int) -> None:
        """Ends the probe without a result and begins a new period."""
        self._current_probe, self.next_period_at = None, now + PROBE_PERIOD

    def send_indirect_probe(self, requester: Member, message: MembershipMessage) -> list[Outgoing]:
        """Probes the target of another member's request."""
        target = self._table.members.get(message.target)
        if target is None:
            return []
        self._last_sequence += 1
        self.indirect_probes[self._last_sequence] = IndirectProbe(
            requester.name, message.sequence, target.name
        )
        while len(self.indirect_probes) > MAX_INDIRECT_PROBES:
            del self.indirect_probes[next(iter(self.indirect_probes))]
        return [self._message_builder.ping(target, self._last_sequence)]

    def handle_ack(self, member: Member, message: MembershipMessage) -> list[Outgoing]:
        """Handles an answer; it is forwarded if the probe was for another member."""
        probe = self._current_probe
        # The answer comes from the target itself, or from a member that probed the target for this gateway
        answered_targets = (member.name, message.target)
        if probe is not None and probe.sequence == message.sequence and probe.target in answered_targets:
            self._current_probe = None
        indirect = self.indirect_probes.pop(message.sequence, None)
        if indirect is None or indirect.target != member.name:
            return []
        requester = self._table.members.get(indirect.requester)
        if requester is None:
            return []
        return [self._message_builder.ack(requester, indirect.sequence, indirect.target)]

    @property
    def _retry_at(self) -> int:
        return self.next_period_at - PROBE_PERIOD + PROBE_TIMEOUT * (self._retry_count + 1)

    def _choose_helpers(self, target: Member) -> list[Member]:
        names = self._table.alive.sample(self._random, PROBE_HELPERS, excluding=target.name)
        return [self._table.members[name] for name in names]
