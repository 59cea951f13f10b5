"""Measures how fast the fleet answers this gateway, and how often it rejects requests as full."""

from collections import deque
from statistics import median

from gaproute.decisions.routing.parameters import EVIDENCE_LIFETIME, MAX_RATE_SAMPLES, MAX_SAMPLES
from gaproute.decisions.routing.samples import Sample
from gaproute.units import SECOND

REFUSAL_LIFETIME = 2 * SECOND  # older refusals are ignored
FULL_FLEET_SHARE = 1 / 2  # share of refusals among the last outcomes above which the fleet is full


class Throughput:
    """The last outcomes of this gateway's attempts; a refusal is a rejection by a full host."""

    def __init__(self) -> None:
        self.refusals: deque[Sample] = deque(maxlen=MAX_SAMPLES)  # the last outcomes: whether refused
        # Times of the last answers of loaded instances.
        self.answered_at: deque[int] = deque(maxlen=MAX_RATE_SAMPLES)
        # Answer times divided by the load of the host, at hosts with a queue.
        self.drain_times: deque[Sample] = deque(maxlen=MAX_RATE_SAMPLES)

    def record_outcome(self, now: int, *, refused: bool) -> None:
        """Records the end of an attempt; `refused` means that the host was full."""
        self.refusals.append((now, refused))

    def record_answer(self, now: int) -> None:
        """Records an answer of a loaded instance."""
        self.answered_at.append(now)

    def record_drain_time(self, now: int, drain_time: float) -> None:
        """Records the answer time per unit of load at a host with a queue (ns)."""
        self.drain_times.append((now, drain_time))

    def is_mostly_refused(self, now: int) -> bool:
        """Whether most hosts are full, so that further attempts would overload the others."""
        recent = sum([refused and now - at < REFUSAL_LIFETIME for at, refused in self.refusals])
        return recent > FULL_FLEET_SHARE * MAX_SAMPLES

    def answer_rate(self, now: int) -> float | None:
        """Returns the answers per nanosecond, or None with too few answers."""
        if len(self.answered_at) < MAX_RATE_SAMPLES // 2:
            return None
        return len(self.answered_at) / max(now - self.answered_at[0], 1)

    def drain_time(self, now: int) -> float | None:
        """Returns the recent answer time per unit of load (ns), or None with too few samples."""
        recent = [drain_time for at, drain_time in self.drain_times if now - at < EVIDENCE_LIFETIME]
        return median(recent) if len(recent) >= MAX_SAMPLES else None
