"""A scenario of a Raft node: its answers are binding across kills and power failures."""

from storage_scenario import (
    ENTRY_LOST,
    MODULES,
    NOT_RECOVERED,
    VALID_FILE_REJECTED,
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
    """A follower that receives messages of leaders and candidates of rising terms. After a restart it has to
    abide by its earlier answers."""

    max_descriptors = 2

    def __init__(self, directory, disk, seed):
        super().__init__(directory, disk, seed)
        self.now, self.restarts = 0, 0
        self.term = 1  # the highest term that any node used
        self.votes = {}  # by term: the candidate that was sent the vote, and its incarnation
        self.highest_answered_term = 0  # the highest term in an answer of the follower
        self.log = []  # the acknowledged entries; that of index 1 is first
        self.leader_logs = {}  # by term: the entries of the term's leader
        self.committed = []  # the entries of the last snapshot sent, which all later leaders have

    def begin(self):
        self.restarts += 1
        disk = RaftLogFile(f"{self.directory}/votes", lambda text: None, lambda: 17)
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
            self.request_vote()
        else:
            self.replicate_log()

    def request_vote(self):
        """A candidate requests a vote. Several candidates may do so in a term, each of them repeatedly."""
        self.term += self.chance.randrange(2)
        self.now += 10 * SECOND  # long after the last message of a leader
        sender = self.chance.choice("bc")
        request = RequestVote(self.term, 5, 1 << 40, self.term - 1, False)
        for _, vote in self.node.hear(self.now, sender, request):
            if isinstance(vote, RequestVoteResponse):
                self.highest_answered_term = max(self.highest_answered_term, vote.term)
                if vote.vote_granted:
                    before = self.votes.setdefault(vote.term, (sender, 5))
                    if before != (sender, 5):
                        raise BrokenGuaranteeError(
                            VOTE_FORGOTTEN, f"term {vote.term}: {before}, then {sender}"
                        )

    def replicate_log(self):
        """The leader of the highest term, `b`, sends its log, which extends the acknowledged entries."""
        if self.term not in self.leader_logs:
            self.leader_logs[self.term] = list(max(self.log, self.committed, key=len))
        entries = self.leader_logs[self.term]
        for _ in range(self.chance.randrange(3)):
            body = b"%d" % self.chance.randrange(1000)
            entries.append(Entry(self.term, 0, body=body))
        offset = min(len(self.log), len(entries))
        last = entries[offset - 1].term if offset else 0
        message = AppendEntries(self.term, 5, offset, last, 0, tuple(entries[offset : offset + 8]))
        if self.chance.randrange(12) == 0 and entries:
            self.committed, state = list(entries), self.node.sessions.pack()
            message = InstallSnapshot(self.term, 5, len(entries), entries[-1].term, (), state)
        for _, ack in self.node.hear(self.now, "b", message):
            if isinstance(ack, AppendEntriesResponse):
                self.highest_answered_term = max(self.highest_answered_term, ack.term)
                if ack.success:
                    self.log = entries[: max(ack.match_index, len(self.log))]

    def check(self):
        self.disk.kill = None
        with self.disk.plan.pause(), self.disk.installed(*MODULES):
            self.begin()
            store = self.node.store
            if store.discard_reason:
                raise BrokenGuaranteeError(VALID_FILE_REJECTED, store.discard_reason)
            if store.failure:
                raise BrokenGuaranteeError(NOT_RECOVERED, store.failure)
            self.check_store(store)
            self.disk_file.close()

    def check_store(self, store):
        if store.term < self.highest_answered_term:
            raise BrokenGuaranteeError(
                VOTE_FORGOTTEN, f"term {store.term} after {self.highest_answered_term} was seen"
            )
        vote = self.votes.get(store.term)
        if vote is not None and store.voted_for != vote:
            raise BrokenGuaranteeError(VOTE_FORGOTTEN, f"{store.voted_for} in term {store.term} after {vote}")
        for index, entry in enumerate(self.log, 1):
            if index > store.log.last_index or (
                index >= store.log.snapshot_index and store.log.term_at(index) != entry.term
            ):
                raise BrokenGuaranteeError(ENTRY_LOST, f"entry {index} of {len(self.log)}")
