"""When leases expire, by the leader's own clock.

Only a leader has these timers. They begin anew with each leader, so that no time is ever carried from one
clock to another.
"""

import heapq
from collections.abc import Iterable
from typing import NamedTuple

SPARE_HEAP_ENTRIES = 64  # outdated entries that the heap may hold however few leases there are


class LeaseVersion(NamedTuple):
    """A lease as of its last grant or renewal, which was the log entry at `log_index`."""

    fencing_token: int
    log_index: int


class ExpiryUpdate(NamedTuple):
    """The lease was granted or renewed at `log_index` and expires `wait` ns later; None: it has ended."""

    fencing_token: int
    log_index: int
    wait: int | None


class ExpiryTimers:
    """One timer for each lease, in ns of the clock that `now` is read from."""

    def __init__(self, now: int, updates: Iterable[ExpiryUpdate]) -> None:
        self.deadlines: dict[int, tuple[int, int]] = {}  # fencing token: (log index, expiry time)
        self.heap: list[tuple[int, int, int]] = []  # (expiry time, fencing token, log index)
        for fencing_token, log_index, wait in updates:
            self.update(now, fencing_token, log_index, wait)

    def update(self, now: int, fencing_token: int, log_index: int, wait: int | None) -> None:
        """The entry at `log_index`, applied now, granted, renewed or ended (`wait` None) the lease."""
        self.deadlines.pop(fencing_token, None)
        if wait is None:
            return
        self.deadlines[fencing_token] = log_index, now + wait
        heapq.heappush(self.heap, (now + wait, fencing_token, log_index))
        if len(self.heap) > SPARE_HEAP_ENTRIES + 2 * len(self.deadlines):
            self._drop_outdated()

    def _drop_outdated(self) -> None:
        """Renewals leave their former expiry times in the heap."""
        self.heap = [(expires_at, token, index) for token, (index, expires_at) in self.deadlines.items()]
        heapq.heapify(self.heap)

    @property
    def due(self) -> int | None:
        """When `pop_expired` is to be called next; None while there is no lease."""
        return self.heap[0][0] if self.heap else None

    def pop_expired(self, now: int, limit: int) -> list[LeaseVersion]:
        """The leases that expired, `limit` of them; the rest stays for the next call."""
        expired: list[LeaseVersion] = []
        while self.heap and self.heap[0][0] <= now and len(expired) < limit:
            expires_at, fencing_token, log_index = heapq.heappop(self.heap)
            if self.deadlines.get(fencing_token) == (log_index, expires_at):
                del self.deadlines[fencing_token]
                expired.append(LeaseVersion(fencing_token, log_index))
        return expired
