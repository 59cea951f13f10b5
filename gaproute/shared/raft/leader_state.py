"""What a node knows while it leads: of its followers, and of requests that wait to be committed."""

from typing import NamedTuple

from gaproute.shared.raft.state_machine import DeadlineTimers
from gaproute.shared.raft.timing import QUORUM_TIMEOUT, SNAPSHOT_RESEND_INTERVAL


class FollowerProgress:
    """What the leader knows of another node's log."""

    def __init__(self, next_index: int) -> None:
        self.next_index = next_index  # of the next entry to send
        self.match_index = 0  # up to which the logs agree
        self.incarnation = 0  # by its last answer
        self.answered_at: int | None = None  # when that came
        self.in_flight = False  # entries are on their way
        self.snapshot_sent_at: int | None = None

    def restart(self, incarnation: int, last_index: int) -> None:
        """The name has another disk: what was known of the old one is nothing to this."""
        self.incarnation, self.match_index, self.next_index = incarnation, 0, last_index + 1
        self.snapshot_sent_at = None

    def answered_lately(self, now: int) -> bool:
        """Whether it counts as up."""
        return self.answered_at is not None and now - self.answered_at < QUORUM_TIMEOUT

    def snapshot_due(self, now: int) -> bool:
        """Whether a snapshot may be sent, again or for the first time."""
        return self.snapshot_sent_at is None or now - self.snapshot_sent_at >= SNAPSHOT_RESEND_INTERVAL


class PendingReply(NamedTuple):
    """The client and the request that an entry answers once it is committed."""

    client: str
    session: int
    nonce: int


class LeaderState:
    """What a node knows while it leads. `first_index`: of the entry with which its term begins."""

    def __init__(self, now: int, first_index: int, timers: DeadlineTimers) -> None:
        self.elected_at, self.first_index, self.timers = now, first_index, timers
        self.heartbeat_due = now
        self.followers: dict[str, FollowerProgress] = {}
        self.pending_replies: dict[int, PendingReply] = {}  # by the entry's index
        self.membership_changed_at = now

    @property
    def due(self) -> int:
        """When `tick` is to be called next."""
        deadline = self.timers.due
        return self.heartbeat_due if deadline is None else min(self.heartbeat_due, deadline)

    def follower(self, name: str) -> FollowerProgress:
        """The progress of the node of this name."""
        if name not in self.followers:
            self.followers[name] = FollowerProgress(self.first_index)
        return self.followers[name]

    def all_answering_have(self, now: int, index: int) -> bool:
        """Whether all that answer have the entries up to `index`: then a snapshot makes nobody fetch it."""
        return all(
            progress.match_index >= index
            for progress in self.followers.values()
            if progress.answered_lately(now)
        )

    def keep_only(self, names: list[str]) -> None:
        """Forgets the progress of all others."""
        self.followers = {name: each for name, each in self.followers.items() if name in names}
