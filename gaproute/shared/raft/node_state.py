"""The state of a Raft node, and the operations that change several of its attributes together."""

from collections import Counter
from collections.abc import Iterable

from gaproute.shared.raft.disk import Disk
from gaproute.shared.raft.leader_state import LeaderState
from gaproute.shared.raft.log import ReplicatedLog
from gaproute.shared.raft.membership import sorted_member_names
from gaproute.shared.raft.messages import Entry, EntryKind, Member
from gaproute.shared.raft.rejections import MessageRejection
from gaproute.shared.raft.role import Role
from gaproute.shared.raft.sessions import Sessions
from gaproute.shared.raft.state_machine import StateMachine
from gaproute.shared.raft.store import Store
from gaproute.shared.raft.timing import ELECTION_TIMEOUT, STORAGE_RETRY_INTERVAL
from gaproute.shared.randomness import RandomSource

MAX_STORED_VIOLATIONS = 16  # per node; the first ones are the most useful
# One megabyte at most; while a leader has more uncommitted entries, it answers clients that it is busy.
MAX_UNCOMMITTED_ENTRIES = 512


class NodeState:
    """The state of a node, on which the modules behind `RaftNode` act; see `RaftNode` for its attributes."""

    def __init__(
        self,
        name: str,
        configured_members: Iterable[str],
        disk: Disk,
        random: RandomSource,
        now: int,
        machine: StateMachine,
        *,
        fencing_base: int = 0,
    ) -> None:
        self.name, self.random, self.fencing_base = name, random, fencing_base
        self.machine = machine
        self.sessions = Sessions(machine)
        self.store = Store(name, disk, random, self.sessions.unpack)
        self.storage_failure = self.store.failure
        self.storage_retry_at = now + STORAGE_RETRY_INTERVAL
        self.role, self.leader = Role.FOLLOWER, ""
        self.leader_message_at = now - 2 * ELECTION_TIMEOUT  # long enough ago for this node to vote at once
        self.granted_votes: dict[str, int] = {}  # the incarnations of this election's voters, by name
        self.blank_peers: dict[str, int] = {}  # the incarnations of the peers that are blank, by name
        # After a restart only the entries in the snapshot are known to be committed
        self.commit_index = self.last_applied = self.log.snapshot_index
        self.leader_state: LeaderState | None = None  # set while this node is leader
        self.rejections: Counter[str] = Counter()  # by the text of a `MessageRejection`
        self.violations: list[str] = []
        self.configured_members: tuple[str, ...] = ()
        self.set_configured_members(now, configured_members)
        self.reset_election_timer(now)

    @property
    def term(self) -> int:
        """The current term."""
        return self.store.term

    @property
    def incarnation(self) -> int:
        """The incarnation of the node's disk; 0 until the disk has been read."""
        return self.store.incarnation

    @property
    def identity(self) -> Member:
        """This node as a member of the group: its name with the incarnation of its disk."""
        return Member(self.name, self.incarnation)

    @property
    def log(self) -> ReplicatedLog:
        """The node's log."""
        return self.store.log

    @property
    def members(self) -> tuple[Member, ...]:
        """The members in force, according to the log."""
        return self.log.members

    @property
    def is_leader(self) -> bool:
        """Whether this node leads its term."""
        return self.role is Role.LEADER

    @property
    def is_member(self) -> bool:
        """Whether this node is a member under the incarnation of its disk."""
        return self.identity in self.members

    @property
    def may_campaign(self) -> bool:
        """Whether this node may request votes: the last committed membership or a later one includes it.

        A member whose removal is not committed may have more entries than every remaining member (Ongaro's
        dissertation, 4.2.2). Its own vote counts only if the last membership includes it.
        """
        return any(self.identity in members for members in self.log.memberships_since(self.commit_index))

    def set_configured_members(self, now: int, names: Iterable[str]) -> None:
        """Sets the names of the configured members; the leader then changes the members one at a time.

        Errors: ValueError if there are none or too many.
        """
        self.configured_members = sorted_member_names(names)

    def peer_names(self) -> list[str]:
        """The names of all nodes with which this node exchanges messages, sorted."""
        return sorted({*self.configured_members, *(member.name for member in self.members)} - {self.name})

    def reset_election_timer(self, now: int) -> None:
        """Restarts the election timeout with a new random part."""
        self.election_due = now + ELECTION_TIMEOUT + self.random.below(ELECTION_TIMEOUT)

    def record_violations(self, violations: list[str]) -> None:
        """Stores the violations, up to `MAX_STORED_VIOLATIONS` in total."""
        self.violations += violations[: MAX_STORED_VIOLATIONS - len(self.violations)]

    def reject(self, reason: MessageRejection) -> None:
        """Counts a rejected message under the reason of its rejection."""
        self.rejections[reason.value] += 1

    def enter_term(self, now: int, term: int) -> None:
        """Enters a higher term, without a leader or a vote in it."""
        self.store.save_vote(term)
        self.step_down(now)
        self.leader = ""  # `step_down` leaves a follower's leader as it is

    def step_down(self, now: int) -> None:
        """Becomes a follower, if this node is not one already."""
        if self.role is not Role.FOLLOWER:
            self._become_leaderless_follower()
            self.reset_election_timer(now)

    def _become_leaderless_follower(self) -> None:
        self.role, self.leader_state, self.leader = Role.FOLLOWER, None, ""

    def become_leader(self, now: int) -> None:
        """Becomes the leader of the current term."""
        self.role, self.leader = Role.LEADER, self.name
        self.leader_state = LeaderState(now, self.log.last_index + 1, self.machine.start_timers(now))

    def propose(self, kind: EntryKind, session: int = 0, nonce: int = 0, body: bytes = b"") -> int:
        """Appends an entry to the leader's log; returns its index, or 0 if too many are uncommitted.

        The NOOP entry that begins a term is always appended: after a restart of all nodes no entry of a long
        log is known to be committed, and only the NOOP entry commits the others (Raft paper, 5.4.2).
        """
        index = self.log.last_index + 1
        if kind != EntryKind.NOOP and index - self.commit_index > MAX_UNCOMMITTED_ENTRIES:
            return 0
        self.store.append(index, Entry(self.term, kind, session, nonce, body))
        return index

    @property
    def due(self) -> int:
        """The time at which `tick` must be called next, ns."""
        if self.storage_failure:
            return self.storage_retry_at
        return self.election_due if self.leader_state is None else self.leader_state.due
