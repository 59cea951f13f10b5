"""One node: what comes in goes to the part that decides on it; nothing goes out before it is on disk."""

from collections import Counter

from gaproute.shared.leases.expiry import ExpiryTimers
from gaproute.shared.leases.table import LeaseTable
from gaproute.shared.raft import bootstrap, election, follower, leader, requests
from gaproute.shared.raft.invariants import MAX_BREACHES, check_one
from gaproute.shared.raft.messages import (
    MAX_MEMBERS,
    AppendEntries,
    AppendEntriesResponse,
    BootstrapProbe,
    EntryKind,
    InstallSnapshot,
    Member,
    Request,
    RequestVote,
    RequestVoteResponse,
)
from gaproute.shared.raft.role import Role
from gaproute.shared.raft.sessions import Sessions
from gaproute.shared.raft.store import Store
from gaproute.shared.raft.timing import ELECTION_TIMEOUT, STORAGE_RETRY_INTERVAL

COMPACT_AFTER = 1024  # entries applied that the log holds before a snapshot takes their place
MAX_TERM_JUMP = 1 << 30  # a term so far above the own is nonsense: an election a second for 30 years
_HANDLERS = {
    RequestVote: election.on_request_vote,
    RequestVoteResponse: election.on_vote_response,
    AppendEntries: follower.on_append_entries,
    InstallSnapshot: follower.on_install_snapshot,
    AppendEntriesResponse: leader.on_append_response,
    BootstrapProbe: bootstrap.on_probe,
}


class RaftNode:
    """The face is in the package's first lines. Reasons in `refused` are a fixed few."""

    def __init__(self, name, keepers, disk, chance, now, machine=None, base=0):
        self.name, self.chance, self.fencing_base = name, chance, base
        self.machine = LeaseTable() if machine is None else machine
        self.sessions = Sessions(self.machine)
        self.store = Store(name, disk, chance, self.sessions.unpack)
        self.storage_failure = self.store.failure  # why nothing is said, or ''
        self.storage_retry_at = now + STORAGE_RETRY_INTERVAL
        self.role, self.leader, self.leader_heard_at = Role.FOLLOWER, "", now - 2 * ELECTION_TIMEOUT
        self.granted_votes = {}  # name: incarnation, of those who gave this election
        self.blank_peers = {}  # name: incarnation, of those that were as blank as a founder
        self.commit_index = self.last_applied = (
            self.log.snapshot_index
        )  # a crash left what the store has, and nothing else
        self.leader_state = None  # leader.LeaderState while it leads
        self.rejections = Counter()
        self.breaches, self.last_check = [], None  # what the invariants found as it went, the first few
        self.set_configured_members(now, keepers)
        self.reset_election_timer(now)

    term = property(lambda self: self.store.term)
    incarnation = property(lambda self: self.store.incarnation)
    log = property(lambda self: self.store.log)
    members = property(lambda self: self.log.members)
    is_leader = property(lambda self: self.role == Role.LEADER)

    @property
    def is_member(self):
        """Whether it is in the last roll, under the life that its disk has."""
        return Member(self.name, self.incarnation) in self.members

    @property
    def may_campaign(self):
        """Whether it asks for votes: a member by a roll that may be in force, which is the one agreed on
        and all behind it. One whose leaving is not agreed on may know more than all that stay
        (dissertation 4.2.2); its own vote counts by the last roll only, as any."""
        me = Member(self.name, self.incarnation)
        return me in self.log.members_at(self.commit_index) or any(
            me in members for at, members in self.log.membership_history if at > self.commit_index
        )

    def set_configured_members(self, now, keepers):
        """The names that the configuration has now. Errors: ValueError."""
        if not 1 <= len(set(keepers)) <= MAX_MEMBERS:
            raise ValueError(f"1 to {MAX_MEMBERS} keepers are named, not {len(set(keepers))}")
        self.configured_members = tuple(sorted(set(keepers)))

    def peer_names(self):
        """Names of all that this one speaks with."""
        return sorted({*self.configured_members, *(member.name for member in self.members)} - {self.name})

    def is_majority(self, incarnations):
        """Whether (name: incarnation) are a majority of the members, each under its own incarnation."""
        return 2 * sum(incarnations.get(member.name) == member.incarnation for member in self.members) > len(
            self.members
        )

    def reset_election_timer(self, now):
        self.election_due = now + ELECTION_TIMEOUT + self.chance.below(ELECTION_TIMEOUT)

    def record_breaches(self, breaches):
        self.breaches += breaches[: MAX_BREACHES - len(self.breaches)]

    def reject(self, reason):
        self.rejections[reason] += 1

    def enter_term(self, now, term):
        """A term above its own: no leader, no vote given yet."""
        self.store.save_vote(term)
        self.step_down(now)
        self.leader = ""  # a follower's as well

    def step_down(self, now):
        if self.role != Role.FOLLOWER:
            self.role, self.leader_state, self.leader = Role.FOLLOWER, None, ""
            self.reset_election_timer(now)

    @property
    def due(self):
        if self.storage_failure:
            return self.storage_retry_at
        if self.role == Role.LEADER:
            ends = self.leader_state.clocks.due
            return (
                self.leader_state.heartbeat_due
                if ends is None
                else min(self.leader_state.heartbeat_due, ends)
            )
        return self.election_due

    def tick(self, now):
        if self.storage_failure:
            return self._retry_storage(now)
        out = []
        if self.role == Role.LEADER:
            leader.tick(self, now, out)
        elif now >= self.election_due:
            self.reset_election_timer(now)
            if self.may_campaign:
                election.start_pre_vote(self, now, out)
            else:
                bootstrap.tick(self, now, out)
        return self._flush(now, out)

    def hear(self, now, sender, message):
        if self.storage_failure:
            return []
        out = []
        if isinstance(message, Request):
            requests.on_request(self, now, sender, message, out)
        elif sender not in self.peer_names():
            self.reject("stranger")
        elif type(message) not in _HANDLERS:
            self.reject("not for keepers")
        elif getattr(message, "term", 0) > self.term + MAX_TERM_JUMP:
            self.reject("term from far future")
        else:
            _HANDLERS[type(message)](self, now, sender, message, out)
        return self._flush(now, out)

    def _retry_storage(self, now):
        """The disk failed. Nothing was told since, so what memory holds may go there as a whole."""
        if now >= self.storage_retry_at:
            self.storage_retry_at = now + STORAGE_RETRY_INTERVAL
            if not self.store.is_open:
                self.store.open()
                self.commit_index = self.last_applied = self.log.snapshot_index
            elif self.store.rewrite():
                self.reset_election_timer(now)
            self.storage_failure = self.store.failure
        return []

    def _flush(self, now, out):
        """Syncs, then draws what rests on it: a won election, commits, answers. [] where the disk
        failed."""
        while self.store.sync():
            if self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE) and self.is_majority(self.granted_votes):
                election.on_majority(self, now, out)  # writes: has to be synced in its turn
                continue
            if self.role == Role.LEADER:
                leader.advance_commit_index(self, now, out)
            self._apply_committed(now, out)
            self._compact_log(now)
            if self.store.failure:
                break
            if self.role == Role.LEADER:
                leader.replicate(self, now, out)
            self.record_breaches(check_one(self))
            return out
        self.storage_failure, self.storage_retry_at = self.store.failure, now + STORAGE_RETRY_INTERVAL
        self.role, self.leader_state, self.leader = Role.FOLLOWER, None, ""
        return []

    def _apply_committed(self, now, out):
        """What is committed and on disk here comes into force."""
        while self.last_applied < self.commit_index:
            self.last_applied += 1
            entry = self.log.entry_at(self.last_applied)
            self.machine.last_change = None
            answer = self.sessions.apply(self.last_applied, entry)
            if self.role != Role.LEADER:
                continue
            if self.machine.last_change is not None:
                self.leader_state.clocks.update(now, *self.machine.last_change)
            requests.reply_to(self, self.last_applied, answer, out)
            if entry.kind == EntryKind.MEMBERSHIP and not self.is_member:
                self.step_down(now)

    def become_leader(self, now):
        self.role, self.leader = Role.LEADER, self.name
        self.leader_state = leader.LeaderState(
            now, self.log.last_index + 1, ExpiryTimers(now, self.machine.expiry_waits())
        )

    def propose(self, kind, session=0, nonce=0, body=b""):
        """The leader's next entry; its index, or 0 where too much waits to be agreed on."""
        return leader.propose(self, kind, session, nonce, body)

    def propose_expiry(self, fence, at):
        return self.propose(EntryKind.COMMAND, body=self.machine.expire_command(fence, at))

    def _compact_log(self, now):
        held = self.last_applied - self.log.snapshot_index
        if held >= COMPACT_AFTER and (
            self.role != Role.LEADER
            or held >= 4 * COMPACT_AFTER
            or leader.all_answering_have(self, now, self.last_applied)
        ):
            self.store.compact(self.last_applied, self.sessions.pack())
