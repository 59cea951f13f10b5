"""Which gateways are up: decisions only, no sockets, the clock and the random numbers handed in.

After SWIM (Das, Gupta, Motivala 2002): each period one other member is probed, directly and then through
others; one that does not answer is suspected, and dead once the suspicion has lasted. A suspect that lives
refutes with a higher incarnation. Updates ride on the probes. Departures from the paper:

- a probe is tried again, directly and through others, twice within its period: at a fifth of the messages
  lost a thousand members would otherwise make more suspects than updates can carry;
- a message with few updates carries some entries of the table in turn;
- a newcomer asks one member for the state of all, and so does one that finds a dead member back
  (`state_transfer`);
- a gateway that was itself stalled judges nobody by that time.

Nothing walks all members but a new round and a new list: a period costs the same whatever their number.
Nothing that the rules rest on uses any of this.
"""

from collections.abc import Mapping

from gaproute.shared.membership.dissemination import MessageBuilder, Outgoing
from gaproute.shared.membership.identity import Identity
from gaproute.shared.membership.messages import (
    Member,
    MembershipMessage,
    MemberState,
    MemberUpdate,
    MessageKind,
    is_valid,
)
from gaproute.shared.membership.prober import HELPERS, PERIOD, Prober
from gaproute.shared.membership.state_transfer import StateTransfer
from gaproute.shared.membership.table import MemberTable
from gaproute.shared.randomness import RandomSource

SECOND = 1_000_000_000

SUSPICION_PERIODS = 3  # times the power of two of the members, until a suspect is dead
DEAD_RETENTION = 600 * SECOND  # after it a dead one that nobody configured is forgotten


class Membership:
    """The failure detector of one gateway: `tick` at the time `due`, `receive` with each message; both return
    what to send.

    `incarnation` should be above that of any earlier start (ms since 1970 serve); where it is not, the first
    answers tell.
    """

    def __init__(self, name: str, address: str, random: RandomSource, now: int, incarnation: int = 1) -> None:
        self.name, self.address = name, address
        self.identity = Identity(name, address, incarnation)
        self._random = random
        self.table = MemberTable()
        self.members = self.table.members
        self.builder = MessageBuilder(self.identity, self.table)
        self.prober = Prober(self.table, self.builder, random, now)
        self.state_transfer = StateTransfer()
        self.stalled_time = 0  # ns in which this gateway did not run: they count for no suspicion
        self.suspicions = 0

    @property
    def incarnation(self) -> int:
        """Of this gateway now."""
        return self.identity.incarnation

    @property
    def refutations(self) -> int:
        """How often this gateway refuted that it is not alive."""
        return self.identity.refutations

    @property
    def rejected(self) -> int:
        """Messages and updates that were out of their bounds, and unknown members beyond the table's."""
        return self.table.rejected

    @property
    def due(self) -> int:
        """When `tick` is to be called, ns."""
        transfer_due = self.state_transfer.due
        return self.prober.due if transfer_due is None else min(self.prober.due, transfer_due)

    def configure(self, now: int, addresses: Mapping[str, str]) -> None:
        """Takes the addresses of the configured gateways by name."""
        self.table.configure(now - self.stalled_time, self.name, addresses)

    def live_count(self) -> int:
        """Gateways that share the fleet, this one among them: suspects count, as most suspicions err."""
        return 1 + self.table.live_count()

    # Messages

    def receive(self, now: int, message: MembershipMessage) -> list[Outgoing]:
        """Takes a message and returns the answers to it."""
        if not self._is_acceptable(message.sender):
            self.table.rejected += 1
            return []
        member = self._learn(now, message)
        if member is None:
            return []  # the table is full
        match message.kind:
            case MessageKind.PING:
                return [self._ack(member, message)]
            case MessageKind.PING_REQUEST:
                return self.prober.probe_for(member, message)
            case MessageKind.PULL:
                return self._send_chunk(member, message)
            case MessageKind.CHUNK:
                return self._chunk_received(now, member, message)
            case MessageKind.ACK:
                return self._start_transfer(now, member) + self.prober.ack_received(member, message)

    def apply(self, now: int, update: MemberUpdate) -> None:
        """Takes an update: of another member into the table; one of this gateway is refuted where it errs."""
        if update.name == self.name and is_valid(update):
            self.identity.refute(update)
        else:
            self.table.apply(now - self.stalled_time, update)

    def _is_acceptable(self, sender: MemberUpdate) -> bool:
        return (
            sender.name != self.name
            and is_valid(sender)
            and sender.state in (MemberState.ALIVE, MemberState.LEFT)
        )

    def _learn(self, now: int, message: MembershipMessage) -> Member | None:
        """Takes the updates of the message. Returns its sender's entry."""
        known = self.members.get(message.sender.name)
        was_dead = known is not None and known.state >= MemberState.DEAD
        for update in (message.sender, *message.updates):
            self.apply(now, update)
        member = self.members.get(message.sender.name)
        if member is not None:
            member.last_heard = now
            if was_dead and member.state is MemberState.ALIVE:
                self.state_transfer.wanted = True
        return member

    def _ack(self, member: Member, message: MembershipMessage) -> Outgoing:
        stale = _is_stale(member, message.sender)
        answer = self.builder.ack(member, message.sequence, message.target, stale=stale)
        return answer._replace(address=_reply_address(member, message.sender))

    def _send_chunk(self, member: Member, message: MembershipMessage) -> list[Outgoing]:
        if not self.state_transfer.may_send_chunk():
            return []
        chunk = self.builder.chunk(message.sequence)
        return [Outgoing(_reply_address(member, message.sender), chunk)]

    def _chunk_received(self, now: int, member: Member, message: MembershipMessage) -> list[Outgoing]:
        if not self.state_transfer.chunk_received(now, member.name, message.sequence):
            return []
        return [self.builder.pull(member, self.state_transfer.position)]

    def _start_transfer(self, now: int, member: Member) -> list[Outgoing]:
        if member.state is not MemberState.ALIVE or not self.state_transfer.should_start(now):
            return []
        self.state_transfer.start(now, member.name)
        return [self.builder.pull(member, self.state_transfer.position)]

    # Time

    def tick(self, now: int) -> list[Outgoing]:
        """Called at `due` or later."""
        if now - self.due > PERIOD:
            self._resume_after_stall(now)
            return []
        if now < self.due:
            return []
        outgoing = self._retry_pull(now)
        if now >= self.prober.next_period:
            return outgoing + self._start_period(now)
        return outgoing + self.prober.retry(now)

    def leave(self) -> list[Outgoing]:
        """Messages that tell a few members that this gateway shuts down."""
        names = self.table.alive.sample(self._random, HELPERS)
        return [self.builder.leave(self.members[name]) for name in names]

    def _resume_after_stall(self, now: int) -> None:
        """Answers may lie unread, and no suspect had a chance to refute: nobody is judged by that time."""
        self.stalled_time += now - self.due
        self.prober.abandon(now)
        self.state_transfer.restart_timeout(now)

    def _retry_pull(self, now: int) -> list[Outgoing]:
        if not self.state_transfer.should_retry(now):
            return []
        source = self.members.get(self.state_transfer.source or "")
        return [] if source is None else [self.builder.pull(source, self.state_transfer.position)]

    def _start_period(self, now: int) -> list[Outgoing]:
        self._suspect(now, self.prober.unanswered)
        self._expire(now)
        self.state_transfer.start_period()
        return self.prober.start_period(now)

    def _suspect(self, now: int, member: Member | None) -> None:
        if member is not None and member.state is MemberState.ALIVE:
            self.suspicions += 1
            self.apply(now, member.update._replace(state=MemberState.SUSPECT))

    def _expire(self, now: int) -> None:
        """Suspects that did not refute in time are dead; the dead are forgotten in time."""
        running_time = now - self.stalled_time
        timeout = self.table.scaled(SUSPICION_PERIODS) * PERIOD
        for member in self.table.expired_suspects(running_time, timeout):
            self.apply(now, member.update._replace(state=MemberState.DEAD))
        self.table.remove_departed(running_time, DEAD_RETENTION)


def _is_stale(member: Member, sender: MemberUpdate) -> bool:
    """Whether the sender is back with a lower incarnation than is held of it, and must learn that."""
    return sender.incarnation < member.incarnation


def _reply_address(member: Member, sender: MemberUpdate) -> str:
    """Where an answer goes: a stale sender may be back at another address than is held."""
    if _is_stale(member, sender) and not member.configured:
        return sender.address
    return member.address
