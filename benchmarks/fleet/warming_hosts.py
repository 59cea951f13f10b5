"""Stand-in hosts that fall over when they get too much while they warm up."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from math import sqrt
from typing import NamedTuple

from benchmarks.fleet.clock import MILLI, SECOND
from benchmarks.fleet.cold_days import ColdDay
from benchmarks.fleet.hosts import ROUND_TRIP, FleetHost

ZONES = 3
WORK_TIME = 80 * MILLI  # of a request on an idle host, beside its turn
LOAD_TIME = 500 * MILLI  # of an instance
FULL = 1500 * MILLI  # of work that waits, at which a host rejects requests
WARM_UP_TIME = 9 * SECOND  # shorter than as the settings have it
WINDOW = 1500 * MILLI  # in which a host may get no more than its budget, as the settings have it
OVERLOAD = 2.5  # multiple of what it can do under which it falls over, as the settings have it
QUICK_GAIN = 5  # times as fast as evenly
FEW_REQUESTS = 30  # in a window, below which the slack for chance is wider
UNLIKE_GAINS = ("step", "soon", "soon", "soon")  # dealt out to the hosts
GAIN_SPEEDS = {"even": 1, "soon": QUICK_GAIN, "step": 0}

Budget = Callable[[float], float]  # of the requests that the settings allow in a window


def budget(allowed: float) -> float:
    """Requests of mean work in a window past which a warming host falls, by those that settings allow."""
    return allowed + 3 * sqrt(allowed) + 3 if allowed < FEW_REQUESTS else narrow_budget(allowed)


def narrow_budget(allowed: float) -> float:
    """The budget with the same slack whatever is allowed."""
    return allowed + 2 * sqrt(allowed) + 2


class ReceivedWork(NamedTuple):
    """Work that reached a warming host."""

    at: int
    work: float  # in requests of mean work
    informed: bool  # the gateway knew when the host had started


class Overload(NamedTuple):
    """What came of one warming up."""

    worst: float  # the most of a window's budget that was used; above 1 the host has fallen
    by_informed: bool  # informed gateways sent two thirds of what it first fell by


class WarmingHostService(NamedTuple):
    """What becomes of a request that a host has accepted."""

    duration: int  # ns until its answer
    was_warm: bool


class WarmingHost(FleetHost):
    """Does its work in turn, slower while it warms up.

    `received` is the work of the current warming up; `earlier` and `earlier_narrow` are the overloads of
    those before, by the budget and by the narrow one.
    """

    def __init__(self, number: int, day: ColdDay, started: int | None = None) -> None:
        super().__init__(number % ZONES, day.sizes[number % len(day.sizes)], started)
        self.day = day
        self.pace = day.pace * self.size  # requests of mean work a second
        self.gain = UNLIKE_GAINS[number % len(UNLIKE_GAINS)] if day.gain == "unlike" else day.gain
        self.free_at = 0
        self.received: list[ReceivedWork] = []
        self.earlier: list[Overload] = []
        self.earlier_narrow: list[Overload] = []

    def go_down(self) -> None:
        """Lose all that the host held, and be warm until it comes back."""
        super().go_down()
        if self.started is not None:
            self.earlier.append(self.overload())
            self.earlier_narrow.append(self.overload(narrow_budget))
        self.started, self.received, self.free_at = None, [], 0

    def receive(self, now: int, work: float, *, informed: bool) -> None:
        """Count work that reached it: also what it rejects, and what is cancelled later."""
        if self.started is not None and not self.is_down:
            self.received.append(ReceivedWork(now, work, informed))

    def strength(self, now: int) -> float:
        """The share of its pace that the host has."""
        if self.started is None or now - self.started >= WARM_UP_TIME:
            return 1.0
        gained = GAIN_SPEEDS[self.gain] * (now - self.started) / WARM_UP_TIME
        return self.day.share + (1 - self.day.share) * min(1, gained)

    def is_full(self, now: int) -> bool:
        """Whether it rejects requests."""
        return self.free_at - now > FULL

    def accept_work(self, now: int, function: str, work: float) -> WarmingHostService:
        """Take a request of so much work."""
        self.in_flight += 1
        loaded_at = self.instances.get(function)
        was_warm = loaded_at is not None and loaded_at <= now
        if loaded_at is None:
            loaded_at = self.instances[function] = now + LOAD_TIME
        self.free_at = max(now, self.free_at) + int(work * SECOND / self.pace / self.strength(now))
        return WarmingHostService(max(self.free_at, loaded_at) - now + ROUND_TRIP + WORK_TIME, was_warm)

    def overload(self, budget_of: Budget = budget) -> Overload:
        """Of the current warming up."""
        if self.started is None:
            return Overload(0.0, False)
        window: deque[ReceivedWork] = deque()
        work = informed_work = worst = 0.0
        by_informed = False
        for received in self.received:
            if received.at >= self.started + WARM_UP_TIME:
                break
            window.append(received)
            work, informed_work = work + received.work, informed_work + received.work * received.informed
            while window[0].at <= received.at - WINDOW:
                old = window.popleft()
                work, informed_work = work - old.work, informed_work - old.work * old.informed
            used = work / budget_of(self._allowed_work(received.at))
            if worst <= 1 < used:  # it falls
                by_informed = informed_work > 2 / 3 * work
            worst = max(worst, used)
        return Overload(worst, by_informed)

    def _allowed_work(self, now: int) -> float:
        """Work that settings allow in the window that ends now."""
        assert self.started is not None
        strength = self.strength(max(self.started, now - WINDOW))
        return OVERLOAD * self.pace * strength * WINDOW / SECOND
