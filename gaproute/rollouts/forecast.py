"""Forecast of the lanes that production will need in the next minutes, from reported demand.

The demand for a function returns from its current level to its usual one, as bursts pass; where the course
of a usual day is known, both follow it. Times are in ns; a forecast looks ahead in slots.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from gaproute.rollouts.campaign import RolloutHost
from gaproute.units import SECOND

SLOT_DURATION = 30 * SECOND  # of a plan: as long as several loads, short beside the course of a day
DEFAULT_SLOTS = 8  # minutes ahead that a plan looks
SMOOTHING_FACTOR = 0.3  # weight of a new reading of the level: some average out, a rise shows in a minute
DEVIATION_PERSISTENCE = 0.8  # of the deviation of the level from the usual one, what is left a slot later
MAX_READINGS = 960  # in the usual level: the working hours of a day at one a slot
DEFAULT_DEVIATIONS = (
    1.0  # standard deviations above the mean that are left to production; more stops rollouts
)
DAY_FACTORS = 48  # of the course of a day: one each half hour
MAX_FUNCTIONS = 4096
DAY = 86_400 * SECOND
MIN_DAY_FACTOR = 0.01
NEGLIGIBLE_LANES = 0.01  # a function that is no longer reported is forgotten below


class DemandReading(NamedTuple):
    """Reported demand for one function: arrivals a second in the fleet, their standard deviation, and the
    mean duration of a request in seconds."""

    arrival_rate: float
    deviation: float
    duration: float


NO_DEMAND = DemandReading(0.0, 0.0, 0.0)


class DemandForecast:
    """Production's demand for one function, in lanes. `day_course`: `DAY_FACTORS` factors, from midnight.

    `level`: smoothed; `mean_level`: mean of all readings; `error`: smoothed square of how far the last
    ones were off.
    """

    def __init__(self, day_course: Sequence[float] | None = None) -> None:
        self.day_course = day_course
        self.reading_count = 0
        self.level = self.mean_level = 0.0
        self.reading_deviation = self.squared_error = 0.0

    def record(self, time_of_day: int, reading: DemandReading) -> None:
        """Takes in a reading."""
        lanes, factor = reading.arrival_rate * reading.duration, self._day_factor(time_of_day)
        if not self.reading_count:
            self.level = self.mean_level = lanes / factor
        self.reading_count = min(MAX_READINGS, self.reading_count + 1)
        self.mean_level += (lanes / factor - self.mean_level) / self.reading_count
        difference = lanes - self.level * factor
        self.squared_error += SMOOTHING_FACTOR * (difference * difference - self.squared_error)
        self.level += SMOOTHING_FACTOR * (lanes / factor - self.level)
        self.reading_deviation = reading.deviation * reading.duration

    def needed_lanes(
        self, time_of_day: int, *, deviations: float = DEFAULT_DEVIATIONS, slots_ahead: int = 0
    ) -> float:
        """The lanes needed at that time: the mean, and so many standard deviations above it."""
        if not self.reading_count:
            return 0.0
        level = self.mean_level + (self.level - self.mean_level) * DEVIATION_PERSISTENCE**slots_ahead
        deviation: float = (self.squared_error + self.reading_deviation**2) ** 0.5
        return level * self._day_factor(time_of_day) + deviations * deviation

    def _day_factor(self, time_of_day: int) -> float:
        if not self.day_course:
            return 1.0
        position = time_of_day / (DAY / DAY_FACTORS)
        first, part = int(position) % DAY_FACTORS, position % 1
        after = (first + 1) % DAY_FACTORS
        return max(MIN_DAY_FACTOR, self.day_course[first] * (1 - part) + self.day_course[after] * part)


class FleetForecast:
    """Production's demand for all functions. `day_courses`: by function, where one is known."""

    def __init__(self, day_courses: Mapping[str, Sequence[float]] | None = None) -> None:
        self.day_courses = day_courses or {}
        self.functions: dict[str, DemandForecast] = {}

    def record(self, time_of_day: int, readings: Mapping[str, DemandReading]) -> None:
        """Takes in one reading of each function; a function without one fades."""
        for name in list(self.functions):
            if name not in readings:
                self.functions[name].record(time_of_day, NO_DEMAND)
                if self.functions[name].needed_lanes(time_of_day) < NEGLIGIBLE_LANES:
                    del self.functions[name]
        for name, reading in readings.items():
            if name not in self.functions and len(self.functions) >= MAX_FUNCTIONS:
                continue
            forecast = self.functions.setdefault(name, DemandForecast(self.day_courses.get(name)))
            forecast.record(time_of_day, reading)

    def spare_lanes(
        self,
        time_of_day: int,
        hosts: Sequence[RolloutHost],
        lendable: Mapping[str, int],
        *,
        slots: int = DEFAULT_SLOTS,
        deviations: float = DEFAULT_DEVIATIONS,
        in_maintenance: Collection[tuple[str, int]] = (),
    ) -> dict[str, list[float]]:
        """By host, the lanes in each slot that may be lent and that production does not need.

        Production's demand is divided among the hosts by their lanes. `in_maintenance`: (host, slot).
        """
        total = sum(host.lanes for host in hosts) or 1
        spare: dict[str, list[float]] = {host.name: [] for host in hosts}
        for slot in range(slots):
            at = time_of_day + slot * SLOT_DURATION
            needed = sum(
                each.needed_lanes(at, deviations=deviations, slots_ahead=slot)
                for each in self.functions.values()
            )
            for host in hosts:
                lanes = min(float(lendable[host.name]), host.lanes - needed * host.lanes / total)
                away = (host.name, slot) in in_maintenance
                spare[host.name].append(0.0 if away else max(0.0, lanes))
        return spare
