"""Which points decided each attempt, how old the report was that it read, and what all sent there since.

An attempt is named by what would have been chosen without the points for the queue. Herds show in what a host
got in the half second after a report of it beside the half second before, by whether its load fell or rose.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from statistics import mean, median
from typing import Any, NamedTuple

from benchmarks.fleet.clock import MILLI, SECOND
from benchmarks.fleet.evenness import Row, Scene
from benchmarks.fleet.faults import FAULTS, fault_chance, none
from benchmarks.fleet.gateways import FleetGateway
from benchmarks.fleet.hosts import FleetHost
from benchmarks.fleet.measures import HERD_SPAN, PlayObserver
from benchmarks.fleet.split_choice import HostScore
from benchmarks.fleet.traffic import FleetTraffic
from benchmarks.fleet.variants import VARIANTS
from benchmarks.fleet.world import FleetWorld
from benchmarks.rows import table, write
from gaproute.decisions.routing.parameters import REPORT_LIFETIME
from gaproute.decisions.routing.scorer import ROUNDING_TOLERANCE

ONLY_COPY, COPY_BY_WARMTH, COPY_BY_QUEUE = "only copy known", "copy by warmth", "copy by queue"
PRIOR, EQUAL_PRIORS, AGAINST_PRIOR = "prior", "queue among equal priors", "queue against prior"
CHANCE = "chance"
REASONS = (ONLY_COPY, COPY_BY_WARMTH, COPY_BY_QUEUE, PRIOR, EQUAL_PRIORS, AGAINST_PRIOR, CHANCE)
FELL, SAME, ROSE, IDLE = "fell", "as before", "rose", "told idle"
CHANGE = 0.03  # of CPU, from which on a report is taken to rise or fall: half a request in flight


def reason(scores: Sequence[HostScore], chosen: str) -> str:
    """Which points decided for the host, of `REASONS`."""
    own = next(score for score in scores if score.host.id == chosen)
    if own.warmth > 0 and sum(score.warmth > 0 for score in scores) == 1:
        return ONLY_COPY
    best = max(score.total + score.queue for score in scores)
    best_without_queue = [score for score in scores if score.total + score.queue >= best - ROUNDING_TOLERANCE]
    if len(best_without_queue) == 1 and best_without_queue[0] is own:
        return COPY_BY_WARMTH if own.warmth > 0 else PRIOR
    is_among = any(score is own for score in best_without_queue)
    ties = sum(score.total >= own.total - ROUNDING_TOLERANCE for score in best_without_queue)
    if ties > 1 and is_among:
        return CHANCE
    if own.warmth > 0:
        return COPY_BY_QUEUE
    return EQUAL_PRIORS if is_among else AGAINST_PRIOR


class AttemptContext(NamedTuple):
    """What an attempt's gateway knew, and what was true at its host."""

    report_age: int  # ns
    sent_since: int  # attempts of all gateways since the report
    own_since: int  # those of this gateway that are in flight
    relative_load: float  # requests truly in flight over the mean of the hosts
    has_instance: bool  # loaded, or being loaded

    @property
    def has_report(self) -> bool:
        """Whether the gateway had a report that counts."""
        return self.report_age <= REPORT_LIFETIME


class ChoiceObserver(PlayObserver):
    """Keeps the context of each attempt by the reason of its choice."""

    def __init__(self, world: FleetWorld, until: int) -> None:
        super().__init__(world, until)
        self.contexts: dict[str, list[AttemptContext]] = {name: [] for name in REASONS}

    def attempt_started(
        self, now: int, gateway: FleetGateway, function: str, host_name: str, host: FleetHost
    ) -> None:
        """See `Watcher`."""
        super().attempt_started(now, gateway, function, host_name, host)
        selector = gateway.gateway.selector
        if now < self.since or not selector.last_scores:
            return
        known = gateway.gateway.hosts_by_id[host_name]
        age = now - known.reported_at if known.report is not None else REPORT_LIFETIME + 1
        sent_since = 0
        if age <= REPORT_LIFETIME:
            sent_since = len(host.arrivals) - bisect_right(host.arrivals, known.reported_at)
        own_since = sum(sent > known.reported_at for sent in known.in_flight.values())
        usual = mean(each.in_flight for each in self.world.hosts.values())
        load = host.in_flight / usual if usual else 0.0
        context = AttemptContext(age, sent_since, own_since, load, function in host.instances)
        self.contexts[reason(selector.last_scores, host_name)].append(context)

    def reason_rows(self) -> list[Row]:
        """A row for each reason that occurred."""
        total = sum(map(len, self.contexts.values()))
        return [
            {"decided by": name, "share": round(len(contexts) / total, 3), **_context_row(contexts)}
            for name, contexts in self.contexts.items()
            if contexts
        ]

    def report_rows(self) -> list[Row]:
        """What hosts got before and after reports of them, over their fair share."""
        last: dict[str, float] = {}
        shares: dict[str, list[tuple[float, float]]] = {FELL: [], SAME: [], ROSE: [], IDLE: []}
        for report in self.reports:
            before = last.get(report.host, report.cpu_busy)
            last[report.host] = report.cpu_busy
            pair = (
                self.share_after(report.host, report.at - HERD_SPAN),
                self.share_after(report.host, report.at),
            )
            shares[_change(before, report.cpu_busy)].append(pair)
            if report.cpu_busy < CHANGE:
                shares[IDLE].append(pair)
        return [
            {
                "report": change,
                "number": len(pairs),
                "500 ms before": round(mean(before for before, _ in pairs), 2),
                "500 ms after": round(mean(after for _, after in pairs), 2),
            }
            for change, pairs in shares.items()
            if pairs
        ]


def _change(before: float, now: float) -> str:
    if now < before - CHANGE:
        return FELL
    return ROSE if now > before + CHANGE else SAME


def _context_row(contexts: Sequence[AttemptContext]) -> Row:
    with_report = [context for context in contexts if context.has_report]
    age: Any = "-"
    sent_since: Any = "-"
    own_since: Any = "-"
    if with_report:
        age = round(median(context.report_age for context in with_report) / MILLI)
        sent_since = round(mean(context.sent_since for context in with_report), 1)
        own_since = round(mean(context.own_since for context in with_report), 2)
    return {
        "a report was there": round(len(with_report) / len(contexts), 2),
        "its age, ms": age,
        "sent there since by all": sent_since,
        "by this gateway, in hand": own_since,
        "true tasks there over the mean": round(mean(each.relative_load for each in contexts), 2),
        "copy stood or was on its way": round(mean(each.has_instance for each in contexts), 2),
    }


def play(scene: Scene, variant: str, rate: int, seed: int, fault: str = "none") -> ChoiceObserver:
    """One play; what was observed in it."""
    world = FleetWorld(scene.gateways, scene.hosts, VARIANTS[variant])
    observer = ChoiceObserver(world, scene.seconds * SECOND)
    FAULTS.get(fault, none)(world, observer, fault_chance(seed))
    FleetTraffic(world, rate, seed=seed)
    world.clock.run(scene.seconds * SECOND)
    return observer


def show(
    scene: Scene, rates: list[int], faults: list[str], seeds: list[int], folder: str | None, name: str
) -> None:
    """Play the split choice with each rate, fault and seed; print and write both tables."""
    reason_rows: list[Row] = []
    report_rows: list[Row] = []
    for rate in rates:
        for fault in faults:
            for seed in seeds:
                head: Row = {"rate": rate, "fault": fault, "seed": seed}
                observer = play(scene, "parted", rate, seed, fault)
                reason_rows += [head | row for row in observer.reason_rows()]
                report_rows += [head | row for row in observer.report_rows()]
    print(table(reason_rows))
    print(table(report_rows))
    if folder:
        write(folder, name, reason_rows, after=report_rows)
