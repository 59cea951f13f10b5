"""A node of a Raft group, without I/O: each message goes to the module that handles it.

Nothing is sent before it is durable.
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

MAX_TERM_JUMP = 1 << 30  # a term so far above the own one is invalid: an election per second for 30 years

_HANDLERS: dict[type, Callable[..., None]] = {
    RequestVote: election.on_request_vote,
    RequestVoteResponse: election.on_vote_response,
    AppendEntries: follower.on_append_entries,
    InstallSnapshot: follower.on_install_snapshot,
    AppendEntriesResponse: leader.on_append_response,
    BootstrapProbe: bootstrap.on_probe,
}


class RaftNode(NodeState):
    """A node called `name` of the group of `configured_members`.

    `now`: ns of its own monotonic clock, here and in all calls. `machine`: the state machine of the entries,
    a new one for every node. `fencing_base`: where fencing tokens begin if this node begins a log: Unix time
    in ms, so that they increase even if all disks were lost.

    After a failure of the disk the node sends nothing, as it must not promise what it cannot store:
    `storage_failure` says why. It writes everything again every few seconds until that succeeds.
    `rejections`: by reason, how many messages were rejected; `violations`: the first violations that the
    invariants found.
    """

    @cached_property
    def invariant_check(self) -> NodeCheck:
        """The check of this node against its state at the last check."""
        return NodeCheck()

    def tick(self, now: int) -> Outbox:
        """Does what is due; returns the messages to send."""
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
        """Handles a message; returns the messages to send."""
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
        """Writes everything again; as nothing was sent since the disk failed, the state in memory may be
        written.
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
        """Syncs, then does what requires it: wins an election, commits, replies.

        Returns no messages if the disk failed.
        """
        while self.store.sync():
            campaigning = self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE)
            if campaigning and is_majority(self.members, self.granted_votes):
                election.on_majority(self, now, outbox)  # it writes, which has to be synced as well
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
