"""Forecast of the lanes that production needs in the next minutes, from reported demand.

The forecast assumes that the demand for a function returns from its current level to its mean level, since
bursts pass. Where the usual course of a day is known, both levels are scaled by it. Times are in ns; a
forecast has one value for each time slot of `SLOT_DURATION`.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from gaproute.rollouts.campaign import RolloutHost
from gaproute.units import SECOND

SLOT_DURATION = 30 * SECOND  # long enough for several loads, short relative to daily changes of demand
DEFAULT_SLOTS = 8  # a plan covers the next 4 minutes
SMOOTHING_FACTOR = 0.3  # weight of a new reading; averages out noise, shows a rise within a minute
DEVIATION_PERSISTENCE = 0.8  # fraction of the level's deviation from the mean level that remains a slot later
MAX_READINGS = 960  # in the mean level; 8 working hours at one reading a slot
DEFAULT_DEVIATIONS = (
    1.0  # standard deviations above the mean that are left to production; more would stop rollouts
)
DAY_FACTORS = 48  # one factor for each half hour of a day
MAX_FUNCTIONS = 4096
DAY = 86_400 * SECOND
MIN_DAY_FACTOR = 0.01
NEGLIGIBLE_LANES = 0.01  # the forecast of an unreported function is deleted below this demand


class DemandReading(NamedTuple):
    """Reported demand for one function: request arrivals a second in the fleet, the standard deviation of
    that rate, and the mean duration of a request in seconds."""

    arrival_rate: float
    deviation: float
    duration: float


NO_DEMAND = DemandReading(0.0, 0.0, 0.0)


class DemandForecast:
    """Forecast of production's demand for one function, in lanes.

    `day_course`: `DAY_FACTORS` factors of demand, from midnight.
    `level`: smoothed demand divided by the day factor; `mean_level`: mean of all readings divided by it.
    `squared_error`: smoothed square of the difference between a reading and its forecast.
    """

    def __init__(self, day_course: Sequence[float] | None = None) -> None:
        self.day_course = day_course
        self.reading_count = 0
        self.level = self.mean_level = 0.0
        self.reading_deviation = self.squared_error = 0.0

    def record(self, time_of_day: int, reading: DemandReading) -> None:
        """Updates the forecast from a reading."""
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
        """The lanes needed at `time_of_day`: the expected lanes plus `deviations` standard deviations."""
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
    """Forecast of production's demand for all functions. `day_courses`: by function, where known."""

    def __init__(self, day_courses: Mapping[str, Sequence[float]] | None = None) -> None:
        self.day_courses = day_courses or {}
        self.functions: dict[str, DemandForecast] = {}

    def record(self, time_of_day: int, readings: Mapping[str, DemandReading]) -> None:
        """Records one reading for each function; a function without a reading counts as without demand."""
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

        Production's demand is divided among the hosts in proportion to their lanes.
        `in_maintenance`: pairs of a host and a slot in which the host is unavailable.
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
