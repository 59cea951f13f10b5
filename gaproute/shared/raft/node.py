"""A node of a Raft group, without I/O: it passes each message to the module that handles the message's type.

A node sends nothing before the state behind it is durable.
"""

from collections.abc import Callable
from functools import cached_property

from gaproute.shared.raft import bootstrap, committed, election, follower, leader, requests
from gaproute.shared.raft.invariants import NodeCheck
from gaproute.shared.raft.membership import is_majority
from gaproute.shared.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    BootstrapProbe,
    InstallSnapshot,
    Outbox,
    RaftMessage,
    Request,
    RequestVote,
    RequestVoteResponse,
)
from gaproute.shared.raft.node_state import NodeState
from gaproute.shared.raft.rejections import MessageRejection
from gaproute.shared.raft.role import Role
from gaproute.shared.raft.timing import STORAGE_RETRY_INTERVAL

# A term that is higher than this node's term by more than this is invalid: one election per second would need
# 30 years to reach it.
MAX_TERM_JUMP = 1 << 30

_HANDLERS: dict[type, Callable[..., None]] = {
    RequestVote: election.on_request_vote,
    RequestVoteResponse: election.on_vote_response,
    AppendEntries: follower.on_append_entries,
    InstallSnapshot: follower.on_install_snapshot,
    AppendEntriesResponse: leader.on_append_response,
    BootstrapProbe: bootstrap.on_probe,
}


class RaftNode(NodeState):
    """The node called `name` of the Raft group of `configured_members`.

    `now` is the time of the node's monotonic clock in ns, here and in all calls. `machine` is the state
    machine to which the node applies its entries; every node needs a new one. If this node starts the log,
    fencing tokens begin above `fencing_base`, which is the Unix time in ms, so that tokens increase even if
    all disks were lost.

    After a disk failure the node sends no messages, as it must not promise what it cannot store;
    `storage_failure` has the reason. The node rewrites its whole state every few seconds until that succeeds.
    `rejections` counts rejected messages by reason. `violations` has the first violations of the invariants.
    """

    @cached_property
    def invariant_check(self) -> NodeCheck:
        """The check of this node's invariants, which remembers the state at the last check."""
        return NodeCheck()

    def tick(self, now: int) -> Outbox:
        """Performs the node's due work; returns the messages to send."""
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
        """Handles a received message; returns the messages to send."""
        if self.storage_failure:
            return []
        outbox: Outbox = []
        if isinstance(message, Request):
            requests.on_request(self, sender, message, outbox)
        elif sender not in self.peer_names():
            self.reject(MessageRejection.UNKNOWN_SENDER)
        elif type(message) not in _HANDLERS:
            self.reject(MessageRejection.UNKNOWN_TYPE)
        elif getattr(message, "term", 0) > self.term + MAX_TERM_JUMP:
            self.reject(MessageRejection.TERM_TOO_HIGH)
        else:
            _HANDLERS[type(message)](self, now, sender, message, outbox)
        return self._flush(now, outbox)

    def _retry_storage(self, now: int) -> None:
        """Reads the disk again if that failed, else rewrites the whole state from memory.

        Rewriting is safe because the node has sent no messages since the disk failed.
        """
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
        """Syncs the disk, then does the work that requires durable state: wins an election, commits, replies.

        Returns no messages if the disk failed.
        """
        while self.store.sync():
            campaigning = self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE)
            if campaigning and is_majority(self.members, self.granted_votes):
                election.on_majority(self, now, outbox)  # this writes records, which must be synced as well
                continue
            if self.leader_state is not None:
                leader.advance_commit_index(self, self.leader_state)
            committed.apply_entries(self, now, outbox)
            committed.compact_log(self, now)
            if self.store.failure:
                break
            if self.leader_state is not None:
                leader.replicate(self, self.leader_state, now, outbox)
            self.record_violations(self.invariant_check.run(self))
            return outbox
        self.storage_failure, self.storage_retry_at = self.store.failure, now + STORAGE_RETRY_INTERVAL
        self._become_leaderless_follower()
        return []
