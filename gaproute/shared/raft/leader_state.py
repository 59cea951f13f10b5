"""The state of a leader: the progress of its followers and the requests that wait to be committed."""

from typing import NamedTuple

from gaproute.shared.raft.state_machine import DeadlineTimers
from gaproute.shared.raft.timing import QUORUM_TIMEOUT, SNAPSHOT_RESEND_INTERVAL


class FollowerProgress:
    """What the leader knows of another node's log and of the messages to that node."""

    def __init__(self, next_index: int) -> None:
        self.next_index = next_index  # the index of the next entry to send
        self.match_index = 0  # the last index up to which the logs are known to agree
        self.incarnation = 0  # the follower's incarnation in its last answer; 0 before
        self.answered_at: int | None = None  # the time of the last answer, ns
        self.has_entries_in_flight = False  # whether sent entries are not answered yet
        self.snapshot_sent_at: int | None = None

    def reset(self, incarnation: int, last_index: int) -> None:
        """Resets the progress because the node of this name has another disk."""
        self.incarnation, self.match_index, self.next_index = incarnation, 0, last_index + 1
        self.snapshot_sent_at = None

    def is_responsive(self, now: int) -> bool:
        """Whether the node has answered within the last `QUORUM_TIMEOUT`."""
        return self.answered_at is not None and now - self.answered_at < QUORUM_TIMEOUT

    def is_snapshot_due(self, now: int) -> bool:
        """Whether a snapshot may be sent to the node, for the first time or again."""
        return self.snapshot_sent_at is None or now - self.snapshot_sent_at >= SNAPSHOT_RESEND_INTERVAL


class PendingReply(NamedTuple):
    """The client to answer once the entry of its request is committed, and the request's identity."""

    client: str
    session: int
    nonce: int


class LeaderState:
    """The state of a leader. `first_index_of_term` is the index of the first entry of its term."""

    def __init__(self, now: int, first_index_of_term: int, timers: DeadlineTimers) -> None:
        self.elected_at, self.first_index_of_term, self.timers = now, first_index_of_term, timers
        self.heartbeat_due = now
        self.followers: dict[str, FollowerProgress] = {}
        self.pending_replies: dict[int, PendingReply] = {}  # by index of the entry
        self.membership_changed_at = now

    @property
    def due(self) -> int:
        """The time at which `tick` must be called next, ns."""
        deadline = self.timers.due
        return self.heartbeat_due if deadline is None else min(self.heartbeat_due, deadline)

    def progress_of(self, name: str) -> FollowerProgress:
        """The progress of the node called `name`, created at the first use."""
        if name not in self.followers:
            self.followers[name] = FollowerProgress(self.first_index_of_term)
        return self.followers[name]

    def all_responsive_have(self, now: int, index: int) -> bool:
        """Whether all responsive followers have the entries up to `index`, so that none needs a snapshot."""
        return all(
            progress.match_index >= index
            for progress in self.followers.values()
            if progress.is_responsive(now)
        )

    def retain_followers(self, names: list[str]) -> None:
        """Drops the progress of all nodes except those in `names`."""
        self.followers = {name: progress for name, progress in self.followers.items() if name in names}
