"""Random work on the ledger over a faulty disk, judged by what was acknowledged.

Each player does seeded work on one part of the ledger, lets the process or the machine end at a chosen call,
opens again, and judges. Judgements are raised as `Broken` with a fixed name, so that a planted fault is
caught by name.
"""

import random

from gaproute.decisions.chance import Chance
from gaproute.faultinjection.disk import FAULTS, FaultyDisk, KillPoint, Moment, ProcessKilled
from gaproute.faultinjection.plan import Chances, FaultPlan
from gaproute.shared.leases import LeaseTable
from gaproute.shared.raft import RaftNode, UnusableDiskError
from gaproute.shared.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    InstallSnapshot,
    RequestVote,
    RequestVoteResponse,
)
from gaproute.storage import files
from gaproute.storage import tables as tables_module
from gaproute.storage import votes as votes_module
from gaproute.storage.tables import StoredTable, TableFile
from gaproute.storage.votes import Votes

MODULES = (files, votes_module, tables_module)
ATTEMPTS = 30  # while calls fail
SECOND = 1_000_000_000
RECORD_LOST = "an acknowledged record is lost"
RECORD_INVENTED = "a record is there that was never written"
TAKEN_FOR_BAD = "a file that nobody spoilt is taken for bad"
NOT_RECOVERED = "the disk is well again, and nothing is written"
LEAKED = "a descriptor is leaked"
VOTE_UNSAID = "an answered vote is forgotten"
ENTRY_UNSAID = "an acknowledged entry is lost"
TABLE_LOST = "an accepted table is lost"


class Broken(AssertionError):
    """A promise of the ledger is broken; `name` says which."""

    def __init__(self, name, found=""):
        super().__init__(f"{name}: {found}")
        self.name = name


def faulty_disk(folder, seed, odds=0, kill=None):
    """A disk on which one call in `odds` fails (0: none)."""
    source = Chances(seed, odds, FAULTS) if odds else Chances(seed, 1, {})
    return FaultyDisk(folder, FaultPlan(source), kill=kill, chance=random.Random(f"{seed}/disk"))


class Player:
    """`begin` opens, `step` does one thing, `judge` looks at what stands after the process has ended.
    `may_hold`: descriptors that the part holds while it runs, at most."""

    may_hold = 0

    def __init__(self, folder, disk, seed):
        self.folder, self.disk, self.chance = folder, disk, random.Random(f"{seed}/work")
        self.seed, self.kill = seed, disk.kill

    def play(self, steps):
        """Work until the kill or the last step, end, open again, judge; then a few steps more, twice, so
        that what an opening left behind is judged as well."""
        self.work(steps)
        for turn in range(2):
            self.chance = random.Random(f"{self.seed}/{self.kill}/{turn}")
            self.end()
            self.judge()
            if turn == 0 and self.chance.randrange(2):  # whoever opened it may have acted on what it read
                self.disk.fail_power()
                self.judge()
            self.work(self.chance.randrange(steps))
        self.end()
        self.judge()

    def work(self, steps):
        """So many steps, or as many as there are before the kill."""
        with self.disk.installed(*MODULES):
            try:
                self.begin()
                for _ in range(steps):
                    self.step()
                    if self.disk.open_descriptors > self.may_hold:
                        raise Broken(LEAKED, f"{self.disk.open_descriptors} are open")
            except ProcessKilled:
                pass

    def end(self):
        if self.chance.randrange(2):
            self.disk.fail_power()
        else:
            self.disk.end_process()


class Records(Player):
    """Appends, syncs and replacements of a votes file. What may stand is known as a list of possibilities,
    the acknowledged records first in each of them."""

    may_hold = 2

    def __init__(self, folder, disk, seed):
        super().__init__(folder, disk, seed)
        self.acknowledged, self.possible, self.memory, self.number = [], [[]], [], 0

    def begin(self):
        self.votes = Votes(f"{self.folder}/votes", lambda text: None, lambda: 17)
        self.memory = self.opened()

    def opened(self):
        """The records. Errors: Broken where they are not what may stand."""
        try:
            read = self.until_it_goes_well(self.votes.read)
        except UnusableDiskError as fault:
            raise Broken(TAKEN_FOR_BAD, fault.why) from fault
        if read not in self.possible:
            raise Broken(
                RECORD_LOST if len(read) < len(self.acknowledged) else RECORD_INVENTED,
                f"{read} stands, {self.acknowledged} was acknowledged",
            )
        self.settled(read)  # whoever opened it acts by what it read
        return read

    def until_it_goes_well(self, call):
        """Repeat a call that fails, and in the end make it on a disk that is well."""
        for _ in range(ATTEMPTS):
            try:
                return call()
            except OSError:
                continue
        with self.disk.plan.pause():
            try:
                return call()
            except OSError as fault:
                raise Broken(NOT_RECOVERED, str(fault)) from fault

    def settled(self, records):
        self.acknowledged, self.possible = list(records), [list(records)]

    def step(self):
        try:
            if self.chance.randrange(8) == 0:
                self.memory = self.memory[-2:]
                self.replace()
            else:
                for _ in range(1 + self.chance.randrange(3)):
                    self.append()
                self.votes.sync()
                self.settled(self.memory)
        except OSError:
            self.until_it_goes_well(self.replace)

    def append(self):
        self.number += 1
        self.memory = [*self.memory, b"%d" % self.number * (1 + self.chance.randrange(3))]
        self.possible.append(self.memory)
        self.votes.append(self.memory[-1])

    def replace(self):
        self.possible.append(self.memory)
        self.votes.replace(self.memory)
        self.settled(self.memory)

    def judge(self):
        """Open on a disk that is well."""
        self.disk.kill = None
        with self.disk.plan.pause(), self.disk.installed(*MODULES):
            self.begin()
            self.votes.close()


class Node(Player):
    """A follower of the group to which leaders and candidates of rising terms speak; what it answered is
    owed."""

    may_hold = 2

    def __init__(self, folder, disk, seed):
        super().__init__(folder, disk, seed)
        self.now, self.lives = 0, 0
        self.term = 1  # the highest that anybody used
        self.answered = {}  # term: (candidate, life) that was told its vote
        self.seen = 0  # the highest term in an answer
        self.log = []  # entries that were acknowledged, by (index - 1)
        self.leads = {}  # term: entries of that term's leader
        self.committed = []  # entries in a snapshot that was sent: all later leaders have them

    def begin(self):
        self.lives += 1
        disk = Votes(f"{self.folder}/votes", lambda text: None, lambda: 17)
        chance = Chance(1 + self.lives)
        self.node = RaftNode("a", ("a", "b", "c"), disk, chance, self.now, LeaseTable(initial_wait=False))
        self.disk_file = disk

    def step(self):
        self.now += SECOND
        if self.node.storage_failure:
            self.node.tick(max(self.now, self.node.due))
            self.now = max(self.now, self.node.storage_retry_at)
            return
        if self.chance.randrange(3) == 0:
            self.candidate()
        else:
            self.leader()

    def candidate(self):
        """Candidates of one term ask one after the other; one that was answered may ask again."""
        self.term += self.chance.randrange(2)
        self.now += 10 * SECOND  # no leader was heard for long
        sender = self.chance.choice("bc")
        ask = RequestVote(self.term, 5, 1 << 40, self.term - 1, False)
        for _, vote in self.node.hear(self.now, sender, ask):
            if isinstance(vote, RequestVoteResponse):
                self.seen = max(self.seen, vote.term)
                if vote.vote_granted:
                    before = self.answered.setdefault(vote.term, (sender, 5))
                    if before != (sender, 5):
                        raise Broken(VOTE_UNSAID, f"term {vote.term}: {before}, then {sender}")

    def leader(self):
        """The leader of the highest term, `b`, sends what it has; its log goes on from what was agreed."""
        if self.term not in self.leads:
            self.leads[self.term] = list(max(self.log, self.committed, key=len))
        entries = self.leads[self.term]
        for _ in range(self.chance.randrange(3)):
            body = b"%d" % self.chance.randrange(1000)
            entries.append(Entry(self.term, 0, body=body))
        at = min(len(self.log), len(entries))
        last = entries[at - 1].term if at else 0
        message = AppendEntries(self.term, 5, at, last, 0, tuple(entries[at : at + 8]))
        if self.chance.randrange(12) == 0 and entries:
            self.committed, state = list(entries), self.node.sessions.pack()
            message = InstallSnapshot(self.term, 5, len(entries), entries[-1].term, (), state)
        for _, ack in self.node.hear(self.now, "b", message):
            if isinstance(ack, AppendEntriesResponse):
                self.seen = max(self.seen, ack.term)
                if ack.success:
                    self.log = entries[: max(ack.match_index, len(self.log))]

    def judge(self):
        self.disk.kill = None
        with self.disk.plan.pause(), self.disk.installed(*MODULES):
            self.begin()
            store = self.node.store
            if store.discard_reason:
                raise Broken(TAKEN_FOR_BAD, store.discard_reason)
            if store.failure:
                raise Broken(NOT_RECOVERED, store.failure)
            self.judge_store(store)
            self.disk_file.close()

    def judge_store(self, store):
        if store.term < self.seen:
            raise Broken(VOTE_UNSAID, f"term {store.term} after {self.seen} was told")
        owed = self.answered.get(store.term)
        if owed is not None and store.voted_for != owed:
            raise Broken(VOTE_UNSAID, f"{store.voted_for} in term {store.term} after {owed}")
        for index, entry in enumerate(self.log, 1):
            if index > store.log.last_index or (
                index >= store.log.snapshot_index and store.log.term_at(index) != entry.term
            ):
                raise Broken(ENTRY_UNSAID, f"entry {index} of {len(self.log)}")


class Tables(Player):
    """Cell tables put in place of one another; that of the last write that was said to stand is owed."""

    def __init__(self, folder, disk, seed):
        super().__init__(folder, disk, seed)
        self.accepted = self.tried = 0

    def begin(self):
        self.file = TableFile(f"{self.folder}/cells.table", "north", lambda text: None, lambda: 17)

    def step(self):
        self.tried += 1
        data = bytes([self.tried % 251]) * (1 + self.chance.randrange(300))
        if self.file.write(StoredTable("north", 1, self.tried, self.tried, data)):
            self.accepted = self.tried

    def judge(self):
        self.disk.kill = None
        with self.disk.plan.pause(), self.disk.installed(*MODULES):
            self.begin()
            stored = self.file.read()
            if self.file.counts.set_aside:
                raise Broken(TAKEN_FOR_BAD, "set aside")
            number = 0 if stored is None else stored.number
            if not self.accepted <= number <= self.tried:
                raise Broken(TABLE_LOST, f"{number} stands, {self.accepted} was accepted")
            self.tried += 1
            if not self.file.write(StoredTable("north", 1, self.tried, 0, b"")):
                raise Broken(NOT_RECOVERED, "no table is written")
            self.accepted = self.tried


def calls_of(player, folder, seed, steps, odds=0):
    """How many calls the first half of a play makes without a kill."""
    disk = faulty_disk(folder, seed, odds)
    made = player(folder, disk, seed)
    with disk.installed(*MODULES):
        made.begin()
        for _ in range(steps):
            made.step()
    disk.end_process()
    return disk.calls


def play(player, folder, seed, steps=12, odds=0, kill=None):
    """One play; Broken where a promise is."""
    player(folder, faulty_disk(folder, seed, odds, kill), seed).play(steps)


def hunt(player, new_folder, seeds, steps=12, odds=0):
    """Plays with a kill at every call, at each of its moments, for each seed."""
    for seed in seeds:
        for call in range(1, calls_of(player, new_folder(), seed, steps, odds) + 1):
            for moment in Moment:
                play(player, new_folder(), seed, steps, odds, KillPoint(call, moment))
