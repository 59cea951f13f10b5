"""Expires leases by the leader's own clock.

Only a leader has these timers. A new leader starts them again, so that no time is carried from one clock to
another.
"""

import heapq
from collections.abc import Iterable

from gaproute.shared.raft.state_machine import DeadlineChange, MachineDeadline

SPARE_HEAP_ENTRIES = 64  # outdated entries that the heap may have even if there are few leases


class ExpiryTimers:
    """One timer for each lease, in ns of the clock of `now`. A lease's token is its fencing token."""

    def __init__(self, now: int, updates: Iterable[DeadlineChange]) -> None:
        self.deadlines: dict[int, tuple[int, int]] = {}  # by fencing token: (log index, expiry time)
        self.expiry_heap: list[tuple[int, int, int]] = []  # (expiry time, fencing token, log index)
        for fencing_token, log_index, wait in updates:
            self.update(now, fencing_token, log_index, wait)

    def update(self, now: int, fencing_token: int, log_index: int, wait: int | None) -> None:
        """Sets the timer after the entry at `log_index` granted, renewed or ended (`wait` None) the lease."""
        self.deadlines.pop(fencing_token, None)
        if wait is None:
            return
        self.deadlines[fencing_token] = log_index, now + wait
        heapq.heappush(self.expiry_heap, (now + wait, fencing_token, log_index))
        if len(self.expiry_heap) > SPARE_HEAP_ENTRIES + 2 * len(self.deadlines):
            self._rebuild_heap()

    def _rebuild_heap(self) -> None:
        """Rebuilds the heap without former expiry times, which renewals leave in it."""
        self.expiry_heap = [
            (expires_at, fencing_token, log_index)
            for fencing_token, (log_index, expires_at) in self.deadlines.items()
        ]
        heapq.heapify(self.expiry_heap)

    @property
    def due(self) -> int | None:
        """When `pop_expired` is to be called next; None while there is no lease."""
        return self.expiry_heap[0][0] if self.expiry_heap else None

    def pop_expired(self, now: int, limit: int) -> list[MachineDeadline]:
        """The leases that have expired, at most `limit`; the rest is returned by the next call."""
        expired: list[MachineDeadline] = []
        while self.expiry_heap and self.expiry_heap[0][0] <= now and len(expired) < limit:
            expires_at, fencing_token, log_index = heapq.heappop(self.expiry_heap)
            if self.deadlines.get(fencing_token) == (log_index, expires_at):
                del self.deadlines[fencing_token]
                expired.append(MachineDeadline(fencing_token, log_index))
        return expired
