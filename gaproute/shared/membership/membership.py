"""Decides which gateways are up. There is no I/O: time and random numbers are arguments.

The failure detector is SWIM (Das, Gupta, Motivala 2002). In each period a gateway probes one other member,
directly and then through other members. A member that does not answer becomes suspect, and counts as dead
when the suspicion has lasted for some time. A suspect that is alive refutes the suspicion with a higher
incarnation. Updates are piggybacked on probes. The differences from the paper are:

- A probe is retried twice within its period, directly and through other members. Otherwise, when a fifth of
  the messages are lost, a thousand members would make more suspects than the updates can carry.
- A message with few updates also carries some entries of the member table, each entry in turn.
- A gateway that joins, or finds that a dead member is alive again, requests the complete state from one
  member (`state_transfer`).
- The time in which a gateway itself was stalled does not count for its suspicions.

Only the start of a round of probes and a new configuration read all members. So the cost of a period does not
depend on the number of members. No decision about requests depends on membership.
"""

from collections.abc import Mapping

from gaproute.shared.membership.identity import Identity
from gaproute.shared.membership.message_builder import MessageBuilder, Outgoing
from gaproute.shared.membership.messages import (
    Member,
    MembershipMessage,
    MemberState,
    MemberUpdate,
    MessageKind,
    is_valid_update,
)
from gaproute.shared.membership.prober import PROBE_HELPERS, PROBE_PERIOD, Prober
from gaproute.shared.membership.state_transfer import StateTransfer
from gaproute.shared.membership.table import MemberTable
from gaproute.shared.randomness import RandomSource
from gaproute.units import SECOND

# Periods in which a suspect may refute before it counts as dead, for every doubling of the number of members
SUSPICION_PERIODS_PER_DOUBLING = 3
DEAD_MEMBER_RETENTION = 600 * SECOND  # until a dead member that is not configured is removed


class Membership:
    """The failure detector of one gateway.

    The caller calls `tick` at the time `due`, and `receive` for each message; both return the messages to
    send. `incarnation` should be above that of any earlier start, such as the time in ms since 1970. If it is
    not, the first answers of other members raise it.
    """

    def __init__(self, name: str, address: str, random: RandomSource, now: int, incarnation: int = 1) -> None:
        self.name, self.address = name, address
        self.identity = Identity(name, address, incarnation)
        self._random = random
        self.table = MemberTable()
        self.members = self.table.members
        self.message_builder = MessageBuilder(self.identity, self.table)
        self.prober = Prober(self.table, self.message_builder, random, now)
        self.state_transfer = StateTransfer()
        self.stalled_time = 0  # ns in which this gateway did not run; they do not count for suspicions
        self.suspicion_count = 0

    @property
    def incarnation(self) -> int:
        """The current incarnation of this gateway."""
        return self.identity.incarnation

    @property
    def refutation_count(self) -> int:
        """How often this gateway refuted an update which said that it is not alive."""
        return self.identity.refutation_count

    @property
    def rejected_count(self) -> int:
        """The number of invalid messages and updates, and of unknown members beyond the table's limit."""
        return self.table.rejected_count

    @property
    def due(self) -> int:
        """The time of the next call of `tick`, ns."""
        transfer_due = self.state_transfer.due
        return self.prober.due if transfer_due is None else min(self.prober.due, transfer_due)

    def set_configured_members(self, now: int, addresses: Mapping[str, str]) -> None:
        """Replaces the configured gateways. `addresses`: by name."""
        self.table.set_configured_members(now - self.stalled_time, self.name, addresses)

    def live_count(self) -> int:
        """The number of gateways that are up, with this gateway.

        Suspects count as up, as most suspicions are wrong.
        """
        return 1 + self.table.live_count()

    # Messages

    def receive(self, now: int, message: MembershipMessage) -> list[Outgoing]:
        """Handles a message; returns the answers to it."""
        if not self._is_acceptable_sender(message.sender):
            self.table.rejected_count += 1
            return []
        member = self._apply_updates(now, message)
        if member is None:  # the sender is unknown, and the table is full or the sender leaves
            return []
        match message.kind:
            case MessageKind.PING:
                return [self._build_ack(member, message)]
            case MessageKind.PING_REQUEST:
                return self.prober.send_indirect_probe(member, message)
            case MessageKind.PULL:
                return self._answer_pull(member, message)
            case MessageKind.CHUNK:
                return self._handle_chunk(now, member, message)
            case MessageKind.ACK:
                return self._start_transfer(now, member) + self.prober.handle_ack(member, message)

    def apply_update(self, now: int, update: MemberUpdate) -> None:
        """Handles an update: stores one about another member, and refutes a false one about this gateway."""
        if update.name == self.name and is_valid_update(update):
            self.identity.refute(update)
        else:
            self.table.apply_update(now - self.stalled_time, update)

    def _is_acceptable_sender(self, sender: MemberUpdate) -> bool:
        return (
            sender.name != self.name
            and is_valid_update(sender)
            and sender.state in (MemberState.ALIVE, MemberState.LEFT)
        )

    def _apply_updates(self, now: int, message: MembershipMessage) -> Member | None:
        """Applies the updates of the message; returns the table entry of its sender."""
        known = self.members.get(message.sender.name)
        was_dead = known is not None and known.state >= MemberState.DEAD
        for update in (message.sender, *message.updates):
            self.apply_update(now, update)
        member = self.members.get(message.sender.name)
        if member is not None:
            member.last_heard = now
            if was_dead and member.state is MemberState.ALIVE:
                self.state_transfer.is_wanted = True
        return member

    def _build_ack(self, member: Member, message: MembershipMessage) -> Outgoing:
        stale = _is_stale(member, message.sender)
        answer = self.message_builder.ack(member, message.sequence, message.target, stale=stale)
        return answer._replace(address=_reply_address(member, message.sender))

    def _answer_pull(self, member: Member, message: MembershipMessage) -> list[Outgoing]:
        if not self.state_transfer.admit_chunk_request():
            return []
        chunk = self.message_builder.chunk(message.sequence)
        return [Outgoing(_reply_address(member, message.sender), chunk)]

    def _handle_chunk(self, now: int, member: Member, message: MembershipMessage) -> list[Outgoing]:
        if not self.state_transfer.record_chunk(now, member.name, message.sequence):
            return []
        return [self.message_builder.pull(member, self.state_transfer.position)]

    def _start_transfer(self, now: int, member: Member) -> list[Outgoing]:
        if member.state is not MemberState.ALIVE or not self.state_transfer.should_start(now):
            return []
        self.state_transfer.start(now, member.name)
        return [self.message_builder.pull(member, self.state_transfer.position)]

    # Time

    def tick(self, now: int) -> list[Outgoing]:
        """Does what is due at `now`; returns the messages to send."""
        if now - self.due > PROBE_PERIOD:
            self._resume_after_stall(now)
            return []
        if now < self.due:
            return []
        outgoing = self._retry_pull(now)
        if now >= self.prober.next_period_at:
            return outgoing + self._start_period(now)
        return outgoing + self.prober.retry_probe(now)

    def leave(self) -> list[Outgoing]:
        """The messages that announce to a few members that this gateway shuts down."""
        names = self.table.alive.sample(self._random, PROBE_HELPERS)
        return [self.message_builder.leave(self.members[name]) for name in names]

    def _resume_after_stall(self, now: int) -> None:
        """Ends the current probe after a stall, as its answer may be unread.

        The time of the stall does not count for suspicions, as no suspect could refute during it.
        """
        self.stalled_time += now - self.due
        self.prober.abandon_probe(now)
        self.state_transfer.restart_timeout(now)

    def _retry_pull(self, now: int) -> list[Outgoing]:
        if not self.state_transfer.begin_retry(now):
            return []
        source = self.members.get(self.state_transfer.source_name or "")
        return [] if source is None else [self.message_builder.pull(source, self.state_transfer.position)]

    def _start_period(self, now: int) -> list[Outgoing]:
        self._mark_suspect(now, self.prober.awaited_member)
        self._expire_members(now)
        self.state_transfer.start_period()
        return self.prober.start_period(now)

    def _mark_suspect(self, now: int, member: Member | None) -> None:
        if member is not None and member.state is MemberState.ALIVE:
            self.suspicion_count += 1
            self.apply_update(now, member.update._replace(state=MemberState.SUSPECT))

    def _expire_members(self, now: int) -> None:
        """Marks suspects that did not refute in time as dead, and removes members that departed long ago."""
        running_time = now - self.stalled_time
        timeout = self.table.scale_by_doublings(SUSPICION_PERIODS_PER_DOUBLING) * PROBE_PERIOD
        for member in self.table.expired_suspects(running_time, timeout):
            self.apply_update(now, member.update._replace(state=MemberState.DEAD))
        self.table.remove_departed(running_time, DEAD_MEMBER_RETENTION)


def _is_stale(member: Member, sender: MemberUpdate) -> bool:
    """Whether the sender has restarted with a lower incarnation than the stored one, and must raise it."""
    return sender.incarnation < member.incarnation


def _reply_address(member: Member, sender: MemberUpdate) -> str:
    """The address for an answer. A stale sender may have restarted at another address than the stored one."""
    if _is_stale(member, sender) and not member.configured:
        return sender.address
    return member.address
