"""How many homes a function has, and whether within the own region: from what this gateway alone sees of it.

Arrivals are counted with exponential decay, over a short and a long time. Counts are taken a few deviations
low, so that a function seen once or twice stays what nearly all are: rare, with one home in the whole fleet,
where the calls of all gateways meet at one copy. One that the own region alone keeps loaded goes to homes of
that region; one that makes much of a cell's work gets more homes, by powers of two so that gateways with
slightly different estimates mostly agree.

Invariants: a placement changes for one function at most once in `HOLD`, but for growth; what makes it grow
lies well above what makes it shrink; the functions remembered are bounded.
"""

from math import exp, sqrt
from typing import NamedTuple

SECOND = 1_000_000_000

SHORT_MEMORY = 60 * SECOND  # memory of the short count: it follows a function that becomes hot
LONG_MEMORY = 1_800 * SECOND  # memory of the long one: tells what is called often from what is called rarely
CAUTION = 1.5  # deviations by which a count is taken low: three arrivals at the least are evidence
HOME_SHARE = 0.01  # of a mean cell's work that one home of a function may make
SHRINK = 4  # times fewer homes needed than held before they are halved
WARM_CALLS = 4.0  # expected in a keep-alive at each home: a copy is then found gone once in 55 times
HOLD = 60 * SECOND  # between two changes of one placement, but for more homes
FIRST_WORK = SECOND // 10  # work of a call before any was seen
WORK_WEIGHT = 0.1  # of the newest call in the mean work of a function
MAX_FUNCTIONS = 32_768  # remembered; the one seen longest ago goes first


class FleetScope(NamedTuple):
    """What a gateway is told of the fleet that it is part of."""

    gateways: int  # in the whole fleet
    regional_gateways: int  # in the own region
    keep_alive: int  # an idle copy stays at least this long, ns


class Placement(NamedTuple):
    """Where a function has its homes: how many, and whether within the own region."""

    regional: bool
    homes: int


RARE = Placement(False, 1)


class DecayingCount:
    """Arrivals, or their work, with decay over two times."""

    __slots__ = ("fast", "slow", "at")

    def __init__(self, now):
        self.fast = self.slow = 0.0
        self.at = now

    def add(self, now, amount):
        """Decay to now and add."""
        passed = now - self.at
        self.fast = self.fast * exp(-passed / SHORT_MEMORY) + amount
        self.slow = self.slow * exp(-passed / LONG_MEMORY) + amount
        self.at = now


class FunctionDemand(DecayingCount):
    """What is remembered of one function."""

    __slots__ = ("work", "placement", "changed")

    def __init__(self, now):
        super().__init__(now)
        self.work = 0.0  # mean time that a call takes, ns; 0: none seen
        self.placement, self.changed = RARE, now - HOLD


class Demand:
    """Own arrivals by function. `now` at making is when this gateway began to count."""

    def __init__(self, now: int, scope: FleetScope, max_functions: int = MAX_FUNCTIONS):
        self.began, self.scope, self.max_functions = now, scope, max_functions
        self.functions = {}  # name: Seen; the one seen last comes last
        self.total = DecayingCount(now)  # of work
        self.usual_work = float(FIRST_WORK)

    def record_arrival(self, now: int, function: str):
        """A call of the function came from a client of this gateway."""
        seen = self.functions.pop(function, None) or FunctionDemand(now)
        self.functions[function] = seen
        seen.add(now, 1.0)
        self.total.add(now, self._work(seen))
        if len(self.functions) > self.max_functions:
            del self.functions[next(iter(self.functions))]

    def record_duration(self, function: str, span: int):
        """A call was answered after that time."""
        self.usual_work += WORK_WEIGHT / 10 * (span - self.usual_work)
        seen = self.functions.get(function)
        if seen is not None:
            seen.work = seen.work + WORK_WEIGHT * (span - seen.work) if seen.work else float(span)

    def mean_duration(self, function: str) -> float:
        """The mean time that a call of the function takes, ns."""
        seen = self.functions.get(function)
        return self._work(seen) if seen is not None else self.usual_work

    def placement(self, now: int, function: str, cells: float, regional_cells: float) -> Placement:
        """The function's homes, given the cells of mean capacity in the fleet and in the own region."""
        seen = self.functions.get(function)
        if seen is None:
            return RARE
        held = seen.placement
        regional = self._regional(now, seen) and regional_cells > 0
        if regional != held.regional:
            if now - seen.changed < HOLD:
                regional = held.regional
            else:
                held = Placement(regional, 1)
        wanted = self._homes(now, seen, held, regional_cells if regional else cells)
        if wanted < held.homes and now - seen.changed < HOLD:
            wanted = held.homes
        if (regional, wanted) != seen.placement:
            seen.placement, seen.changed = Placement(regional, wanted), now
        return seen.placement

    def _work(self, seen):
        return seen.work or self.usual_work

    def _regional(self, now, seen):
        """Whether the region's own calls keep a copy loaded: cautious to enter, patient to leave."""
        count = seen.slow * exp((seen.at - now) / LONG_MEMORY)
        calls = self.scope.regional_gateways * self.scope.keep_alive / self._counted(now, LONG_MEMORY)
        if seen.placement.regional:
            return count >= 1 and count * calls >= WARM_CALLS
        return _lower_estimate(count) * calls >= WARM_CALLS

    def _homes(self, now, seen, held, cells):
        """How many homes the work asks for, of those that its calls keep loaded."""
        share, rate = 0.0, 0.0  # of all own work; calls in a nanosecond
        for count, total, memory in (
            (seen.fast, self.total.fast, SHORT_MEMORY),
            (seen.slow, self.total.slow, LONG_MEMORY),
        ):
            count = _lower_estimate(count * exp((seen.at - now) / memory))
            total *= exp((self.total.at - now) / memory)
            share = max(share, count * self._work(seen) / max(total, 1.0))
            rate = max(rate, count / self._counted(now, memory))
        gateways = self.scope.regional_gateways if held.regional else self.scope.gateways
        kept_loaded = rate * gateways * self.scope.keep_alive / WARM_CALLS
        most = max(1, min(int(cells), int(kept_loaded)))
        needed = min(share * cells / HOME_SHARE, most)
        if needed > held.homes:
            return min(most, 1 << (int(needed) - 1).bit_length())
        if held.homes > most or needed * SHRINK <= held.homes:
            return max(1, held.homes // 2)
        return held.homes

    def _counted(self, now, memory):
        """Over how long a count reaches back: at first no further than the gateway's start."""
        age = max(now - self.began, SECOND)
        return memory * (1 - exp(-age / memory))


def _lower_estimate(count):
    return max(0.0, count - CAUTION * sqrt(count))
