"""Own arrivals by function and request class: their rate over the last buckets, and its standard
deviation.
"""

from collections import deque
from math import sqrt
from typing import NamedTuple

from gaproute.shared.gossip.messages import LIMITS, DemandEntry, EntryKind
from gaproute.units import SECOND

BUCKET = 2 * SECOND  # length of a bucket; the deviation over shorter ones would be mostly chance
BUCKETS = 10  # number of buckets that are stored: 20 s, so that a burst shows within some seconds
MAX_FUNCTIONS = 4096  # counted separately in a bucket; arrivals of others are summed as unnamed
MAX_NAMED = LIMITS[EntryKind.DEMAND].max_entries

FunctionClass = tuple[int, int]  # the function's key, and the number of its request class


class Bucket(NamedTuple):
    """Arrivals of one bucket of time. `unnamed`: of functions beyond the bound."""

    counts: dict[FunctionClass, int]
    unnamed: int


class Rate(NamedTuple):
    """Arrivals per second, and the standard deviation of the rates of the buckets."""

    mean: float
    deviation: float


class MostWanted(NamedTuple):
    """The functions with the most arrivals; `remainder`: arrivals per second of all other functions."""

    remainder: float
    entries: tuple[DemandEntry, ...]


class ArrivalRates:
    """Counts arrivals in buckets, with sums over the buckets that ended, so that no call reads all of
    them.
    """

    def __init__(self, now: int) -> None:
        self.counted_until = now  # ns: when the present bucket began
        self.counts: dict[FunctionClass, int] = {}  # of the present bucket
        self.unnamed = 0  # of the present bucket: arrivals of functions beyond the bound
        self.past: deque[Bucket] = deque()  # buckets that have ended, the oldest first
        self.sums: dict[FunctionClass, int] = {}  # of the counts in `past`
        self._squares: dict[FunctionClass, int] = {}  # sums of the squares of those counts
        self._unnamed_sum = 0

    def record(self, now: int, function: int, request_class: int, count: int = 1) -> None:
        """Counts arrivals."""
        if now - self.counted_until >= BUCKET:
            self.advance(now)
        subject = function, request_class
        if subject in self.counts or len(self.counts) < MAX_FUNCTIONS:
            self.counts[subject] = self.counts.get(subject, 0) + count
        else:
            self.unnamed += count

    def advance(self, now: int) -> None:
        """Ends the buckets whose time has passed."""
        ended = (now - self.counted_until) // BUCKET
        for _ in range(min(BUCKETS + 1, ended)):
            self._end_bucket()
            if len(self.past) > BUCKETS:
                self._drop_oldest()
        self.counted_until += ended * BUCKET

    def rate(self, subject: FunctionClass) -> Rate:
        """The rate of one function in one request class."""
        buckets, seconds = len(self.past), BUCKET / SECOND
        total = self.sums.get(subject, 0)
        if not buckets or not total:
            return Rate(0.0, 0.0)
        mean = total / buckets
        variance = max(0.0, self._squares[subject] / buckets - mean * mean) * buckets / max(1, buckets - 1)
        return Rate(mean / seconds, sqrt(variance) / seconds)

    def total(self) -> float:
        """Arrivals per second of all functions."""
        return (sum(self.sums.values()) + self._unnamed_sum) * SECOND / BUCKET / max(1, len(self.past))

    def most_wanted(self, now: int) -> MostWanted:
        """The functions with the most arrivals; ends the buckets whose time has passed first."""
        self.advance(now)
        if not self.past:
            return MostWanted(0.0, ())
        subjects = sorted(self.sums, key=lambda subject: (-self.sums[subject], subject))[:MAX_NAMED]
        named_rate = sum(self.sums[subject] for subject in subjects) * SECOND / BUCKET / len(self.past)
        entries = [DemandEntry(*subject, *self.rate(subject)) for subject in subjects]
        return MostWanted(max(0.0, self.total() - named_rate), tuple(entries))

    def _end_bucket(self) -> None:
        for subject, count in self.counts.items():
            self.sums[subject] = self.sums.get(subject, 0) + count
            self._squares[subject] = self._squares.get(subject, 0) + count * count
        self._unnamed_sum += self.unnamed
        self.past.append(Bucket(self.counts, self.unnamed))
        self.counts, self.unnamed = {}, 0

    def _drop_oldest(self) -> None:
        oldest = self.past.popleft()
        self._unnamed_sum -= oldest.unnamed
        for subject, count in oldest.counts.items():
            self.sums[subject] -= count
            self._squares[subject] -= count * count
            if not self.sums[subject]:
                del self.sums[subject], self._squares[subject]
