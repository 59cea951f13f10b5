"""How fast the fleet answers this gateway, and how often it rejects."""

from collections import deque
from statistics import median

from gaproute.decisions.routing.parameters import EVIDENCE_LIFETIME, RATE_SAMPLES, SAMPLES, SECOND
from gaproute.decisions.routing.samples import Sample

REFUSAL_LIFETIME = 2 * SECOND  # refusals older than this say nothing of now
FULL_FLEET_SHARE = 1 / 2  # of the last outcomes are refusals: the fleet is full


class Throughput:
    """The last outcomes of this gateway's attempts."""

    def __init__(self) -> None:
        self.refusals: deque[Sample] = deque(maxlen=SAMPLES)  # whether the last outcomes were refusals
        self.answers: deque[int] = deque(maxlen=RATE_SAMPLES)  # times of the answers of loaded instances
        self.drain_times: deque[Sample] = deque(maxlen=RATE_SAMPLES)  # answer time over the load, of hosts
        #                                                               with a queue

    def record_outcome(self, now: int, *, refused: bool) -> None:
        """An attempt has ended; `refused`: the host was full."""
        self.refusals.append((now, refused))

    def record_answer(self, now: int) -> None:
        """An instance that was loaded has answered."""
        self.answers.append(now)

    def record_drain_time(self, now: int, drain_time: float) -> None:
        """A host with a queue took so long for each unit of its load (ns)."""
        self.drain_times.append((now, drain_time))

    def mostly_refused(self, now: int) -> bool:
        """Whether most hosts are full: to go round the rest would only spread it."""
        recent = sum([refused and now - at < REFUSAL_LIFETIME for at, refused in self.refusals])
        return recent > FULL_FLEET_SHARE * SAMPLES

    def answer_rate(self, now: int) -> float | None:
        """Answers a nanosecond; None where too few have come."""
        if len(self.answers) < RATE_SAMPLES // 2:
            return None
        return len(self.answers) / max(now - self.answers[0], 1)

    def drain_time(self, now: int) -> float | None:
        """What a unit of load took lately at hosts with a queue (ns); None where there are too few."""
        recent = [drain_time for at, drain_time in self.drain_times if now - at < EVIDENCE_LIFETIME]
        return median(recent) if len(recent) >= SAMPLES else None
