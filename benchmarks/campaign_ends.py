"""How far off the predicted ends of campaigns are."""

import random
from concurrent.futures import Executor
from dataclasses import dataclass

from benchmarks.campaign_figures import HOST_LANES, Row, spare_course, spread
from gaproute.rollouts.campaign import RolloutHost
from gaproute.rollouts.completion import CompletionEstimate
from gaproute.rollouts.forecast import DAY_FACTORS, SLOT_DURATION, DemandReading, FleetForecast
from gaproute.units import SECOND

END_HOSTS = 40
END_SEEDS = 40  # at least
END_SLOTS = 2400
CAMPAIGN_SLOTS = 240  # that a campaign takes, about two hours
SLOTS_AN_HOUR = 120
MEAN_TASK_SECONDS = 2


@dataclass(frozen=True)
class Day:
    """Production over a day: it `rises` by so much, which is `known` before or not.

    `hours_before`: how long demand was read before the campaign began.
    """

    rises: float
    known: bool
    hours_before: int

    @property
    def name(self) -> str:
        """As a row says it."""
        if not self.rises:
            return "level"
        return f"rises by {self.rises:.0%}" + (", known" if self.known else "")

    @property
    def course(self) -> list[float]:
        """The factor of demand in each half hour."""
        return [1.0 + self.rises * min(1, max(0, half - 16) / 8) for half in range(DAY_FACTORS)]


class EndPrediction:
    """A campaign of about two hours on 40 hosts, whose end is predicted after its first tenth."""

    def __init__(self, day: Day, seed: int) -> None:
        self.day, self.random = day, random.Random(f"end {seed}")
        self.first = day.hours_before * SLOTS_AN_HOUR  # the slot in which the campaign begins
        self.hosts = [RolloutHost(f"h{number}", "a", HOST_LANES, 1) for number in range(END_HOSTS)]
        all_lanes, course = END_HOSTS * HOST_LANES, day.course
        self.demand = [
            all_lanes * (1 - part) * (course[slot // 60 % DAY_FACTORS] if day.rises else 1.0)
            for slot, part in enumerate(spare_course(self.random, END_SLOTS, 0.65, 0.05))
        ]
        self.spare = [max(0.0, all_lanes - lanes) for lanes in self.demand]

    def error(self) -> float:
        """By how many percent the predicted end is off."""
        forecast = FleetForecast({"p": self.day.course} if self.day.known else None)
        work = int(sum(self.spare[self.first : self.first + CAMPAIGN_SLOTS]) * SLOT_DURATION / (2 * SECOND))
        estimate, done, now = CompletionEstimate(work, 0), 0.0, 0
        predicted: float | None = None
        for slot, demand in enumerate(self.demand):
            now = (slot - self.first + 1) * SLOT_DURATION
            if slot >= self.first:
                lanes = self.spare[slot]
                done += lanes * SLOT_DURATION / (MEAN_TASK_SECONDS * SECOND) * self.random.uniform(0.9, 1.0)
                if done >= work:
                    break
                estimate.record(now, int(done), lanes)
            forecast.record(slot * SLOT_DURATION, {"p": DemandReading(demand, 0.0, 1.0)})
            if predicted is None and done >= work / 10:
                predicted = self._predict(forecast, estimate, slot + 1)
        assert predicted is not None, "the campaign ended before its first tenth"
        return 100 * abs(predicted - now) / now

    def _predict(self, forecast: FleetForecast, estimate: CompletionEstimate, slot: int) -> float | None:
        lendable = {host.name: HOST_LANES for host in self.hosts}
        spare = forecast.spare_lanes(
            slot * SLOT_DURATION, self.hosts, lendable, slots=2 * CAMPAIGN_SLOTS, deviations=0.0
        )
        return estimate.estimated_end([sum(lanes) for lanes in zip(*spare.values(), strict=True)])


DAYS = (Day(0, False, 0), Day(0, False, 2), Day(0, False, 8), Day(0.5, True, 8), Day(0.5, False, 8))


def ends(pool: Executor, seeds: int) -> list[Row]:
    """A row for each kind of day."""
    seeds, rows = max(END_SEEDS, seeds), []
    for day in DAYS:
        errors = [EndPrediction(day, seed).error() for seed in range(seeds)]
        rows.append(
            {
                "production over the day": day.name,
                "hours read before": day.hours_before,
                "seeds": seeds,
                "off by, %": spread(errors, 1),
                "within 15%": sum(each <= 15 for each in errors),
            }
        )
    return rows
