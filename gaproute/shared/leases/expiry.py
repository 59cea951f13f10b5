"""The timers by which the leader expires leases, counted by its own clock.

Only a leader has these timers. A new leader starts all of them again, so that no time is transferred from the
clock of one member to that of another.
"""

import heapq
from collections.abc import Iterable

from gaproute.shared.raft.state_machine import DeadlineChange, MachineDeadline

SPARE_HEAP_ENTRIES = 64  # outdated entries that the heap may contain even if there are few leases


class ExpiryTimers:
    """One timer for each lease. Times are ns of the leader's clock."""

    def __init__(self, now: int, updates: Iterable[DeadlineChange]) -> None:
        self.deadlines: dict[int, tuple[int, int]] = {}  # by fencing token: (log index, expiry time)
        self.expiry_heap: list[tuple[int, int, int]] = []  # (expiry time, fencing token, log index)
        for fencing_token, log_index, wait in updates:
            self.update(now, fencing_token, log_index, wait)

    def update(self, now: int, fencing_token: int, log_index: int, wait: int | None) -> None:
        """Sets the timer of a lease that the entry at `log_index` granted, renewed or (`wait` None) ended."""
        self.deadlines.pop(fencing_token, None)
        if wait is None:
            return
        self.deadlines[fencing_token] = log_index, now + wait
        heapq.heappush(self.expiry_heap, (now + wait, fencing_token, log_index))
        if len(self.expiry_heap) > SPARE_HEAP_ENTRIES + 2 * len(self.deadlines):
            self._rebuild_heap()

    def _rebuild_heap(self) -> None:
        """Rebuilds the heap without the outdated expiry times that renewals leave in it."""
        self.expiry_heap = [
            (expires_at, fencing_token, log_index)
            for fencing_token, (log_index, expires_at) in self.deadlines.items()
        ]
        heapq.heapify(self.expiry_heap)

    @property
    def due(self) -> int | None:
        """The time of the next call of `pop_expired`; None while there is no lease."""
        return self.expiry_heap[0][0] if self.expiry_heap else None

    def pop_expired(self, now: int, limit: int) -> list[MachineDeadline]:
        """Removes and returns at most `limit` expired leases; the next call returns the rest."""
        expired: list[MachineDeadline] = []
        while self.expiry_heap and self.expiry_heap[0][0] <= now and len(expired) < limit:
            expires_at, fencing_token, log_index = heapq.heappop(self.expiry_heap)
            if self.deadlines.get(fencing_token) == (log_index, expires_at):
                del self.deadlines[fencing_token]
                expired.append(MachineDeadline(fencing_token, log_index))
        return expired
