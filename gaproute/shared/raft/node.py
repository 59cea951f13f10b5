"""A node of a Raft group, sans-I/O: what comes in goes to the module that decides on it.

Nothing is sent before it is durable.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from gaproute.shared.raft import bootstrap, committed, election, follower, leader, requests
from gaproute.shared.raft.disk import Disk
from gaproute.shared.raft.invariants import MAX_BREACHES, NodeCheck
from gaproute.shared.raft.leader import LeaderState
from gaproute.shared.raft.log import Log
from gaproute.shared.raft.membership import distinct_names, is_majority
from gaproute.shared.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    BootstrapProbe,
    EntryKind,
    InstallSnapshot,
    Member,
    Outbox,
    RaftMessage,
    Request,
    RequestVote,
    RequestVoteResponse,
)
from gaproute.shared.raft.role import Role
from gaproute.shared.raft.sessions import Sessions
from gaproute.shared.raft.state_machine import StateMachine
from gaproute.shared.raft.store import Store
from gaproute.shared.raft.timing import ELECTION_TIMEOUT, STORAGE_RETRY_INTERVAL
from gaproute.shared.randomness import RandomSource

MAX_TERM_JUMP = 1 << 30  # a term so far above the own is nonsense: an election a second for 30 years

_HANDLERS: dict[type, Callable[..., None]] = {
    RequestVote: election.on_request_vote,
    RequestVoteResponse: election.on_vote_response,
    AppendEntries: follower.on_append_entries,
    InstallSnapshot: follower.on_install_snapshot,
    AppendEntriesResponse: leader.on_append_response,
    BootstrapProbe: bootstrap.on_probe,
}


class RaftNode:
    """A node called `name` of the group of `configured_members`.

    `now`: ns of its own monotonic clock, here and in all calls. `machine`: what the entries act on, a new one
    for every node. `fencing_base`: where a node that begins a log lets fencing tokens begin, Unix time in
    ms, so that they grow even when all disks were lost.

    After a failure of the disk the node is silent, as it may not promise what it cannot keep:
    `storage_failure` says why. It writes all anew every few seconds until that succeeds. `rejections`:
    messages that were rejected, by a fixed few reasons; `breaches`: what the invariants found, the first few.
    """

    def __init__(
        self,
        name: str,
        configured_members: Iterable[str],
        disk: Disk,
        chance: RandomSource,
        now: int,
        machine: StateMachine,
        *,
        fencing_base: int = 0,
    ) -> None:
        self.name, self.chance, self.fencing_base = name, chance, fencing_base
        self.machine = machine
        self.sessions = Sessions(machine)
        self.store = Store(name, disk, chance, self.sessions.unpack)
        self.storage_failure = self.store.failure
        self.storage_retry_at = now + STORAGE_RETRY_INTERVAL
        self.role, self.leader, self.leader_heard_at = Role.FOLLOWER, "", now - 2 * ELECTION_TIMEOUT
        self.granted_votes: dict[str, int] = {}  # in this election, incarnation by name
        self.blank_peers: dict[str, int] = {}  # that may take part in a bootstrap, incarnation by name
        # A crash left what the store has, and nothing else.
        self.commit_index = self.last_applied = self.log.snapshot_index
        self.leader_state: LeaderState | None = None  # while it leads
        self.rejections: Counter[str] = Counter()
        self.breaches: list[str] = []
        self.check = NodeCheck()
        self.configured_members: tuple[str, ...] = ()
        self.set_configured_members(now, configured_members)
        self.reset_election_timer(now)

    @property
    def term(self) -> int:
        """The current term."""
        return self.store.term

    @property
    def incarnation(self) -> int:
        """The number of its disk; 0 while that was never read."""
        return self.store.incarnation

    @property
    def log(self) -> Log:
        """Its log."""
        return self.store.log

    @property
    def members(self) -> tuple[Member, ...]:
        """The members by its log."""
        return self.log.members

    @property
    def is_leader(self) -> bool:
        """Whether it leads its term."""
        return self.role is Role.LEADER

    @property
    def is_member(self) -> bool:
        """Whether it is among the members, under the incarnation that its disk has."""
        return Member(self.name, self.incarnation) in self.members

    @property
    def may_campaign(self) -> bool:
        """Whether it asks for votes: a member by the last committed membership or by any behind it.

        One whose leaving is not committed may know more than all that stay (dissertation 4.2.2); its own vote
        counts by the last membership only, as any.
        """
        itself = Member(self.name, self.incarnation)
        return any(itself in members for members in self.log.memberships_since(self.commit_index))

    def set_configured_members(self, now: int, names: Iterable[str]) -> None:
        """The names that the configuration has now; members follow one at a time.

        Raises ValueError where there are none or too many.
        """
        self.configured_members = distinct_names(names)

    def peer_names(self) -> list[str]:
        """The names of all that this one speaks with, sorted."""
        return sorted({*self.configured_members, *(member.name for member in self.members)} - {self.name})

    def reset_election_timer(self, now: int) -> None:
        """No election begins for an election timeout."""
        self.election_due = now + ELECTION_TIMEOUT + self.chance.below(ELECTION_TIMEOUT)

    def record_breaches(self, breaches: list[str]) -> None:
        """Keeps the first few."""
        self.breaches += breaches[: MAX_BREACHES - len(self.breaches)]

    def reject(self, reason: str) -> None:
        """Counts a message that changed nothing."""
        self.rejections[reason] += 1

    def enter_term(self, now: int, term: int) -> None:
        """Enters a term above its own: no leader is known, no vote given yet."""
        self.store.save_vote(term)
        self.step_down(now)
        self.leader = ""  # a follower's as well

    def step_down(self, now: int) -> None:
        """Is a follower from here on."""
        if self.role is not Role.FOLLOWER:
            self._follow_nobody()
            self.reset_election_timer(now)

    def _follow_nobody(self) -> None:
        self.role, self.leader_state, self.leader = Role.FOLLOWER, None, ""

    def become_leader(self, now: int) -> None:
        """Leads its term from here on."""
        self.role, self.leader = Role.LEADER, self.name
        self.leader_state = LeaderState(now, self.log.last_index + 1, self.machine.start_timers(now))

    def propose(self, kind: EntryKind, session: int = 0, nonce: int = 0, body: bytes = b"") -> int:
        """The leader's next entry; its index, or 0 where too many are uncommitted."""
        return leader.propose(self, kind, session, nonce, body)

    @property
    def due(self) -> int:
        """When `tick` is to be called next."""
        if self.storage_failure:
            return self.storage_retry_at
        return self.election_due if self.leader_state is None else self.leader_state.due

    def tick(self, now: int) -> Outbox:
        """Does what is due; the messages to be sent."""
        if self.storage_failure:
            self._retry_storage(now)
            return []
        outbox: Outbox = []
        if self.leader_state is not None:
            leader.tick(self, self.leader_state, now, outbox)
        elif now >= self.election_due:
            self.reset_election_timer(now)
            if self.may_campaign:
                election.start_pre_vote(self, outbox)
            else:
                bootstrap.tick(self, outbox)
        return self._flush(now, outbox)

    def hear(self, now: int, sender: str, message: RaftMessage) -> Outbox:
        """Takes a message; those to be sent."""
        if self.storage_failure:
            return []
        outbox: Outbox = []
        if isinstance(message, Request):
            requests.on_request(self, sender, message, outbox)
        elif sender not in self.peer_names():
            self.reject("stranger")
        elif type(message) not in _HANDLERS:
            self.reject("not a message of the group")
        elif getattr(message, "term", 0) > self.term + MAX_TERM_JUMP:
            self.reject("term from far future")
        else:
            _HANDLERS[type(message)](self, now, sender, message, outbox)
        return self._flush(now, outbox)

    def _retry_storage(self, now: int) -> None:
        """Nothing was sent since the disk failed, so what memory holds may go there as a whole."""
        if now < self.storage_retry_at:
            return
        self.storage_retry_at = now + STORAGE_RETRY_INTERVAL
        if not self.store.is_open:
            self.store.open()
            self.commit_index = self.last_applied = self.log.snapshot_index
        elif self.store.rewrite():
            self.reset_election_timer(now)
        self.storage_failure = self.store.failure

    def _flush(self, now: int, outbox: Outbox) -> Outbox:
        """Syncs, then draws what rests on it: a won election, commits, replies.

        Returns nothing to be sent where the disk failed.
        """
        while self.store.sync():
            campaigning = self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE)
            if campaigning and is_majority(self.members, self.granted_votes):
                election.on_majority(self, now, outbox)  # writes: has to be synced in its turn
                continue
            if self.leader_state is not None:
                leader.advance_commit_index(self, self.leader_state)
            committed.apply_entries(self, now, outbox)
            committed.compact_log(self, now)
            if self.store.failure:
                break
            if self.leader_state is not None:
                leader.replicate(self, self.leader_state, now, outbox)
            self.record_breaches(self.check.run(self))
            return outbox
        self.storage_failure, self.storage_retry_at = self.store.failure, now + STORAGE_RETRY_INTERVAL
        self._follow_nobody()
        return []
