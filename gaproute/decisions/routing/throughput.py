"""Measures how fast the fleet answers this gateway, and how often it rejects requests as full."""

from collections import deque
from statistics import median

from gaproute.decisions.routing.parameters import EVIDENCE_LIFETIME, MAX_RATE_SAMPLES, MAX_SAMPLES
from gaproute.decisions.routing.samples import Sample
from gaproute.units import SECOND

REFUSAL_LIFETIME = 2 * SECOND  # older refusals do not count
FULL_FLEET_SHARE = 1 / 2  # share of refusals among the last outcomes above which the fleet counts as full


class Throughput:
    """The last outcomes of this gateway's attempts."""

    def __init__(self) -> None:
        self.refusals: deque[Sample] = deque(maxlen=MAX_SAMPLES)  # whether the last outcomes were refusals
        self.answered_at: deque[int] = deque(
            maxlen=MAX_RATE_SAMPLES
        )  # times of the answers of loaded instances
        # Answer time divided by load, of hosts with a queue.
        self.drain_times: deque[Sample] = deque(maxlen=MAX_RATE_SAMPLES)

    def record_outcome(self, now: int, *, refused: bool) -> None:
        """Record the end of an attempt; `refused`: the host was full."""
        self.refusals.append((now, refused))

    def record_answer(self, now: int) -> None:
        """Record an answer of an instance that was loaded."""
        self.answered_at.append(now)

    def record_drain_time(self, now: int, drain_time: float) -> None:
        """Record what a host with a queue took for each unit of its load (ns)."""
        self.drain_times.append((now, drain_time))

    def is_mostly_refused(self, now: int) -> bool:
        """Whether most hosts are full, so that further attempts would only overload the others."""
        recent = sum([refused and now - at < REFUSAL_LIFETIME for at, refused in self.refusals])
        return recent > FULL_FLEET_SHARE * MAX_SAMPLES

    def answer_rate(self, now: int) -> float | None:
        """Answers per nanosecond; None where too few have come."""
        if len(self.answered_at) < MAX_RATE_SAMPLES // 2:
            return None
        return len(self.answered_at) / max(now - self.answered_at[0], 1)

    def drain_time(self, now: int) -> float | None:
        """What a unit of load took lately at hosts with a queue (ns); None with too few samples."""
        recent = [drain_time for at, drain_time in self.drain_times if now - at < EVIDENCE_LIFETIME]
        return median(recent) if len(recent) >= MAX_SAMPLES else None
