"""The state of a leader: the progress of its followers, and requests that wait to be committed."""

from typing import NamedTuple

from gaproute.shared.raft.state_machine import DeadlineTimers
from gaproute.shared.raft.timing import QUORUM_TIMEOUT, SNAPSHOT_RESEND_INTERVAL


class FollowerProgress:
    """What the leader knows of another node's log."""

    def __init__(self, next_index: int) -> None:
        self.next_index = next_index  # of the next entry to send
        self.match_index = 0  # the index up to which the logs agree
        self.incarnation = 0  # of the follower, by its last answer
        self.answered_at: int | None = None  # when the last answer came, ns
        self.has_entries_in_flight = False  # whether entries are on their way
        self.snapshot_sent_at: int | None = None

    def reset(self, incarnation: int, last_index: int) -> None:
        """Resets the progress, as the node of this name has another disk."""
        self.incarnation, self.match_index, self.next_index = incarnation, 0, last_index + 1
        self.snapshot_sent_at = None

    def is_responsive(self, now: int) -> bool:
        """Whether the node counts as up."""
        return self.answered_at is not None and now - self.answered_at < QUORUM_TIMEOUT

    def is_snapshot_due(self, now: int) -> bool:
        """Whether a snapshot may be sent, for the first time or again."""
        return self.snapshot_sent_at is None or now - self.snapshot_sent_at >= SNAPSHOT_RESEND_INTERVAL


class PendingReply(NamedTuple):
    """The client and the request that are answered once the entry is committed."""

    client: str
    session: int
    nonce: int


class LeaderState:
    """The state of a leader. `first_index_of_term`: of the entry with which its term begins."""

    def __init__(self, now: int, first_index_of_term: int, timers: DeadlineTimers) -> None:
        self.elected_at, self.first_index_of_term, self.timers = now, first_index_of_term, timers
        self.heartbeat_due = now
        self.followers: dict[str, FollowerProgress] = {}
        self.pending_replies: dict[int, PendingReply] = {}  # by the index of the entry
        self.membership_changed_at = now

    @property
    def due(self) -> int:
        """When `tick` is to be called next, ns."""
        deadline = self.timers.due
        return self.heartbeat_due if deadline is None else min(self.heartbeat_due, deadline)

    def progress_of(self, name: str) -> FollowerProgress:
        """The progress of the node of this name."""
        if name not in self.followers:
            self.followers[name] = FollowerProgress(self.first_index_of_term)
        return self.followers[name]

    def all_responsive_have(self, now: int, index: int) -> bool:
        """Whether all nodes that answer have the entries up to `index`, so that none would need a
        snapshot.
        """
        return all(
            progress.match_index >= index
            for progress in self.followers.values()
            if progress.is_responsive(now)
        )

    def retain_followers(self, names: list[str]) -> None:
        """Forgets the progress of all other nodes."""
        self.followers = {name: each for name, each in self.followers.items() if name in names}
