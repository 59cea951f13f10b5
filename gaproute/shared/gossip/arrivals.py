"""Rates of the requests that arrive at this gateway, by function and request class, with their standard
deviations over the last time buckets.
"""

from collections import deque
from math import sqrt
from typing import NamedTuple

from gaproute.shared.gossip.messages import KIND_LIMITS, DemandEntry, EntryKind
from gaproute.units import SECOND

BUCKET_LENGTH = 2 * SECOND  # the deviation over shorter buckets would be mostly chance
MAX_BUCKETS = 10  # ended buckets that are stored: 20 s, so that a burst shows within some seconds
MAX_COUNTED_SUBJECTS = 4096  # counted separately in one bucket; arrivals of all others are summed
MAX_ENTRIES = KIND_LIMITS[EntryKind.DEMAND].max_entries  # subjects that `TopDemand` names

DemandSubject = tuple[int, int]  # the function's key, and the number of its request class


class Bucket(NamedTuple):
    """Arrivals within one bucket of time. `other_count`: arrivals beyond `MAX_COUNTED_SUBJECTS`."""

    counts: dict[DemandSubject, int]
    other_count: int


class ArrivalRate(NamedTuple):
    """Arrivals per second, and the standard deviation of the rates of the buckets."""

    mean: float
    deviation: float


class TopDemand(NamedTuple):
    """The demand for the subjects with the most arrivals; `remainder`: arrivals per second of all others."""

    remainder: float
    entries: tuple[DemandEntry, ...]


class ArrivalRates:
    """Counts arrivals in buckets; keeps sums over the ended buckets, so that no call reads them all."""

    def __init__(self, now: int) -> None:
        self.bucket_start = now  # when the current bucket began, ns
        self.current_counts: dict[DemandSubject, int] = {}  # of the current bucket
        self.current_other_count = 0  # arrivals in the current bucket that are not counted by subject
        self.buckets: deque[Bucket] = deque()  # the ended buckets, the oldest first
        self.totals: dict[DemandSubject, int] = {}  # sums of the counts in `buckets`
        self._square_totals: dict[DemandSubject, int] = {}  # sums of the squared counts
        self._other_sum = 0

    def record(self, now: int, function: int, request_class: int, count: int = 1) -> None:
        """Counts requests that arrive now."""
        if now - self.bucket_start >= BUCKET_LENGTH:
            self.end_elapsed_buckets(now)
        subject = function, request_class
        if subject in self.current_counts or len(self.current_counts) < MAX_COUNTED_SUBJECTS:
            self.current_counts[subject] = self.current_counts.get(subject, 0) + count
        else:
            self.current_other_count += count

    def end_elapsed_buckets(self, now: int) -> None:
        """Ends the current bucket, and empty ones after it, until the current bucket contains `now`."""
        ended = (now - self.bucket_start) // BUCKET_LENGTH
        for _ in range(min(MAX_BUCKETS + 1, ended)):
            self._end_bucket()
            if len(self.buckets) > MAX_BUCKETS:
                self._drop_oldest()
        self.bucket_start += ended * BUCKET_LENGTH

    def rate(self, subject: DemandSubject) -> ArrivalRate:
        """The arrival rate of one function in one request class over the ended buckets."""
        buckets, seconds = len(self.buckets), BUCKET_LENGTH / SECOND
        total = self.totals.get(subject, 0)
        if not buckets or not total:
            return ArrivalRate(0.0, 0.0)
        mean = total / buckets
        variance = (
            max(0.0, self._square_totals[subject] / buckets - mean * mean) * buckets / max(1, buckets - 1)
        )
        return ArrivalRate(mean / seconds, sqrt(variance) / seconds)

    def total_rate(self) -> float:
        """Arrivals per second of all functions over the ended buckets."""
        return (
            (sum(self.totals.values()) + self._other_sum) * SECOND / BUCKET_LENGTH / max(1, len(self.buckets))
        )

    def top_demand(self, now: int) -> TopDemand:
        """The demand for the subjects with the most arrivals, after elapsed buckets are ended."""
        self.end_elapsed_buckets(now)
        if not self.buckets:
            return TopDemand(0.0, ())
        subjects = sorted(self.totals, key=lambda subject: (-self.totals[subject], subject))[:MAX_ENTRIES]
        named_rate = (
            sum(self.totals[subject] for subject in subjects) * SECOND / BUCKET_LENGTH / len(self.buckets)
        )
        entries = [DemandEntry(*subject, *self.rate(subject)) for subject in subjects]
        return TopDemand(max(0.0, self.total_rate() - named_rate), tuple(entries))

    def _end_bucket(self) -> None:
        for subject, count in self.current_counts.items():
            self.totals[subject] = self.totals.get(subject, 0) + count
            self._square_totals[subject] = self._square_totals.get(subject, 0) + count * count
        self._other_sum += self.current_other_count
        self.buckets.append(Bucket(self.current_counts, self.current_other_count))
        self.current_counts, self.current_other_count = {}, 0

    def _drop_oldest(self) -> None:
        oldest = self.buckets.popleft()
        self._other_sum -= oldest.other_count
        for subject, count in oldest.counts.items():
            self.totals[subject] -= count
            self._square_totals[subject] -= count * count
            if not self.totals[subject]:
                del self.totals[subject], self._square_totals[subject]
