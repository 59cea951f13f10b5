"""A scenario of a Raft node: what it answered is remembered through kills and power failures."""

from storage_scenario import (
    ENTRY_LOST,
    MODULES,
    NOT_RECOVERED,
    SOUND_FILE_REFUSED,
    VOTE_FORGOTTEN,
    BrokenGuaranteeError,
    StorageScenario,
)

from gaproute.decisions.chance import RandomGenerator
from gaproute.shared.leases import LeaseTable
from gaproute.shared.raft import RaftNode
from gaproute.shared.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    InstallSnapshot,
    RequestVote,
    RequestVoteResponse,
)
from gaproute.storage.raft_log_file import RaftLogFile

SECOND = 1_000_000_000


class RaftNodeState(StorageScenario):
    """A follower of the group to which leaders and candidates of rising terms speak; what it answered is
    promised."""

    max_descriptors = 2

    def __init__(self, folder, disk, seed):
        super().__init__(folder, disk, seed)
        self.now, self.restarts = 0, 0
        self.term = 1  # the highest that anybody used
        self.answered = {}  # term: (candidate, life) that was sent its vote
        self.seen = 0  # the highest term in an answer
        self.log = []  # entries that were acknowledged, by (index - 1)
        self.leads = {}  # term: entries of that term's leader
        self.committed = []  # entries in a snapshot that was sent: all later leaders have them

    def begin(self):
        self.restarts += 1
        disk = RaftLogFile(f"{self.folder}/votes", lambda text: None, lambda: 17)
        chance = RandomGenerator(1 + self.restarts)
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
                        raise BrokenGuaranteeError(
                            VOTE_FORGOTTEN, f"term {vote.term}: {before}, then {sender}"
                        )

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

    def check(self):
        self.disk.kill = None
        with self.disk.plan.pause(), self.disk.installed(*MODULES):
            self.begin()
            store = self.node.store
            if store.discard_reason:
                raise BrokenGuaranteeError(SOUND_FILE_REFUSED, store.discard_reason)
            if store.failure:
                raise BrokenGuaranteeError(NOT_RECOVERED, store.failure)
            self.check_store(store)
            self.disk_file.close()

    def check_store(self, store):
        if store.term < self.seen:
            raise BrokenGuaranteeError(VOTE_FORGOTTEN, f"term {store.term} after {self.seen} was seen")
        promised = self.answered.get(store.term)
        if promised is not None and store.voted_for != promised:
            raise BrokenGuaranteeError(
                VOTE_FORGOTTEN, f"{store.voted_for} in term {store.term} after {promised}"
            )
        for index, entry in enumerate(self.log, 1):
            if index > store.log.last_index or (
                index >= store.log.snapshot_index and store.log.term_at(index) != entry.term
            ):
                raise BrokenGuaranteeError(ENTRY_LOST, f"entry {index} of {len(self.log)}")
