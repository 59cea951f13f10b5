"""One keeper: what comes in goes to the part that decides on it; nothing goes out before it is on disk."""

from collections import Counter

from gaproute.shared.leases.clocks import Clocks
from gaproute.shared.leases.machine import Permits
from gaproute.shared.raft import bootstrap, election, follower, leader, requests
from gaproute.shared.raft.invariants import KEPT, check_one
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
from gaproute.shared.raft.timing import DISK_AGAIN, ELECTION

KEEP = 1024  # entries applied that the log holds before a snapshot takes their place
MAX_TERM_JUMP = 1 << 30  # a term so far above the own is nonsense: an election a second for 30 years
HANDLERS = {
    RequestVote: election.asked,
    RequestVoteResponse: election.voted,
    AppendEntries: follower.append,
    InstallSnapshot: follower.install,
    AppendEntriesResponse: leader.acked,
    BootstrapProbe: bootstrap.hello,
}


class RaftNode:
    """The face is in the package's first lines. Reasons in `refused` are a fixed few."""

    def __init__(self, name, keepers, disk, chance, now, machine=None, base=0):
        self.name, self.chance, self.base = name, chance, base
        self.machine = Permits() if machine is None else machine
        self.sessions = Sessions(self.machine)
        self.store = Store(name, disk, chance, self.sessions.unpack)
        self.mute = self.store.broken  # why nothing is said, or ''
        self.again = now + DISK_AGAIN
        self.role, self.leader, self.heard = Role.FOLLOWER, "", now - 2 * ELECTION
        self.votes = {}  # name: life, of those who gave this election
        self.blanks = {}  # name: life, of those that were as blank as a founder
        self.commit = self.applied = self.log.base  # a crash left what the store has, and nothing else
        self.lead = None  # leader.LeaderState while it leads
        self.refused = Counter()
        self.breaches, self.seen = [], None  # what the invariants found as it went, the first few
        self.named(now, keepers)
        self.put_off(now)

    term = property(lambda self: self.store.term)
    life = property(lambda self: self.store.life)
    log = property(lambda self: self.store.log)
    members = property(lambda self: self.log.members)
    leading = property(lambda self: self.role == Role.LEADER)

    @property
    def member(self):
        """Whether it is in the last roll, under the life that its disk has."""
        return Member(self.name, self.life) in self.members

    @property
    def stands(self):
        """Whether it asks for votes: a member by a roll that may be in force, which is the one agreed on
        and all behind it. One whose leaving is not agreed on may know more than all that stay
        (dissertation 4.2.2); its own vote counts by the last roll only, as any."""
        me = Member(self.name, self.life)
        return me in self.log.members_at(self.commit) or any(
            me in members for at, members in self.log.rolls if at > self.commit
        )

    def named(self, now, keepers):
        """The names that the configuration has now. Errors: ValueError."""
        if not 1 <= len(set(keepers)) <= MAX_MEMBERS:
            raise ValueError(f"1 to {MAX_MEMBERS} keepers are named, not {len(set(keepers))}")
        self.keepers = tuple(sorted(set(keepers)))

    def others(self):
        """Names of all that this one speaks with."""
        return sorted({*self.keepers, *(member.name for member in self.members)} - {self.name})

    def most(self, lives):
        """Whether (name: life) are a majority of the members, each under the life that the roll has."""
        return 2 * sum(lives.get(member.name) == member.life for member in self.members) > len(self.members)

    def put_off(self, now):
        self.election = now + ELECTION + self.chance.below(ELECTION)

    def note(self, breaches):
        self.breaches += breaches[: KEPT - len(self.breaches)]

    def refuse(self, reason):
        self.refused[reason] += 1

    def enter(self, now, term):
        """A term above its own: no leader, no vote given yet."""
        self.store.vote(term)
        self.step_down(now)
        self.leader = ""  # a follower's as well

    def step_down(self, now):
        if self.role != Role.FOLLOWER:
            self.role, self.lead, self.leader = Role.FOLLOWER, None, ""
            self.put_off(now)

    @property
    def due(self):
        if self.mute:
            return self.again
        if self.role == Role.LEADER:
            ends = self.lead.clocks.due
            return self.lead.beat if ends is None else min(self.lead.beat, ends)
        return self.election

    def tick(self, now):
        if self.mute:
            return self._wake(now)
        out = []
        if self.role == Role.LEADER:
            leader.tick(self, now, out)
        elif now >= self.election:
            self.put_off(now)
            if self.stands:
                election.ask_first(self, now, out)
            else:
                bootstrap.tick(self, now, out)
        return self._told(now, out)

    def hear(self, now, sender, message):
        if self.mute:
            return []
        out = []
        if isinstance(message, Request):
            requests.take(self, now, sender, message, out)
        elif sender not in self.others():
            self.refuse("stranger")
        elif type(message) not in HANDLERS:
            self.refuse("not for keepers")
        elif getattr(message, "term", 0) > self.term + MAX_TERM_JUMP:
            self.refuse("term from far future")
        else:
            HANDLERS[type(message)](self, now, sender, message, out)
        return self._told(now, out)

    def _wake(self, now):
        """The disk failed. Nothing was told since, so what memory holds may go there as a whole."""
        if now >= self.again:
            self.again = now + DISK_AGAIN
            if not self.store.opened:
                self.store.open()
                self.commit = self.applied = self.log.base
            elif self.store.rewrite():
                self.put_off(now)
            self.mute = self.store.broken
        return []

    def _told(self, now, out):
        """Syncs, then draws what rests on it: a won election, commits, answers. [] where the disk
        failed."""
        while self.store.sync():
            if self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE) and self.most(self.votes):
                election.won(self, now, out)  # writes: has to be synced in its turn
                continue
            if self.role == Role.LEADER:
                leader.advance(self, now, out)
            self.apply(now, out)
            self.compact(now)
            if self.store.broken:
                break
            if self.role == Role.LEADER:
                leader.send(self, now, out)
            self.note(check_one(self))
            return out
        self.mute, self.again = self.store.broken, now + DISK_AGAIN
        self.role, self.lead, self.leader = Role.FOLLOWER, None, ""
        return []

    def apply(self, now, out):
        """What is committed and on disk here comes into force."""
        while self.applied < self.commit:
            self.applied += 1
            entry = self.log.entry(self.applied)
            self.machine.touched = None
            answer = self.sessions.apply(self.applied, entry)
            if self.role != Role.LEADER:
                continue
            if self.machine.touched is not None:
                self.lead.clocks.note(now, *self.machine.touched)
            requests.answer(self, self.applied, answer, out)
            if entry.kind == EntryKind.MEMBERSHIP and not self.member:
                self.step_down(now)

    def lead_now(self, now):
        self.role, self.leader = Role.LEADER, self.name
        self.lead = leader.LeaderState(now, self.log.last + 1, Clocks(now, self.machine.waits()))

    def propose(self, kind, session=0, nonce=0, body=b""):
        """The leader's next entry; its index, or 0 where too much waits to be agreed on."""
        return leader.propose(self, kind, session, nonce, body)

    def lapse(self, fence, at):
        return self.propose(EntryKind.COMMAND, body=self.machine.lapse(fence, at))

    def compact(self, now):
        held = self.applied - self.log.base
        if held >= KEEP and (
            self.role != Role.LEADER or held >= 4 * KEEP or leader.all_have(self, now, self.applied)
        ):
            self.store.compact(self.applied, self.sessions.pack())
