"""The probes of one gateway: one of its own in each period, and those that it sends for other members."""

from typing import NamedTuple

from gaproute.shared.membership.message_builder import MessageBuilder, Outgoing
from gaproute.shared.membership.messages import Member, MembershipMessage, MemberState
from gaproute.shared.membership.probe_order import ProbeOrder
from gaproute.shared.membership.table import MemberTable
from gaproute.shared.randomness import RandomSource
from gaproute.units import MILLI, SECOND

# Between two probes; in a period each gateway causes 2 small messages, whatever the number of gateways
PROBE_PERIOD = SECOND
PROBE_TIMEOUT = 300 * MILLI  # for an answer; enough for many round trips and some late loop turns
MAX_PROBE_RETRIES = 2  # each PROBE_TIMEOUT after the previous attempt
PROBE_HELPERS = 3  # members requested to probe for this one, so that one lossy path makes no suspect
MAX_INDIRECT_PROBES = 64  # in progress for other members at the same time


class Probe(NamedTuple):
    """A probe of this gateway that is not answered yet."""

    sequence: int
    target: str


class IndirectProbe(NamedTuple):
    """A probe that is sent for another member. `sequence`: of the probe of that member."""

    requester: str
    sequence: int
    target: str


class Prober:
    """Sends and retries probes, and matches answers to probes."""

    def __init__(
        self, table: MemberTable, message_builder: MessageBuilder, random: RandomSource, now: int
    ) -> None:
        self._table, self._message_builder, self._random = table, message_builder, random
        self.probe_order = ProbeOrder(table, random)
        self.indirect_probes: dict[int, IndirectProbe] = {}  # by sequence number of the ping
        self.next_period_at = now + PROBE_PERIOD
        self._last_sequence = 0
        self._current_probe: Probe | None = None
        self._retry_count = 0  # of the current probe

    @property
    def due(self) -> int:
        """The time when the next period begins or the probe is retried, ns."""
        return (
            self._retry_at
            if self._current_probe and self._retry_count < MAX_PROBE_RETRIES
            else self.next_period_at
        )

    @property
    def awaited_member(self) -> Member | None:
        """The member that has not answered the current probe, if any."""
        return None if self._current_probe is None else self._table.members.get(self._current_probe.target)

    def start_period(self, now: int) -> list[Outgoing]:
        """Ends the current probe and probes the next member; returns the messages to send."""
        self.next_period_at, self._retry_count, self._current_probe = now + PROBE_PERIOD, 0, None
        target = self.probe_order.next_member()
        if target is None:
            return []
        self._last_sequence += 1
        if target.state < MemberState.DEAD:
            self._current_probe = Probe(self._last_sequence, target.name)
        return [self._message_builder.ping(target, self._last_sequence)]

    def retry_probe(self, now: int) -> list[Outgoing]:
        """Retries the probe, directly and through other members, if the answer is late."""
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
        """Ends the current probe without a result and delays the next one by a period."""
        self._current_probe, self.next_period_at = None, now + PROBE_PERIOD

    def send_indirect_probe(self, requester: Member, message: MembershipMessage) -> list[Outgoing]:
        """Probes a target for another member that requested it."""
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
        """Handles an answer; forwards it if the probe was sent for another member."""
        probe = self._current_probe
        # The sender is the target itself, or a member that probed the target for this gateway
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
