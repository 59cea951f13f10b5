"""What plays of days on which hosts warm up came to, and tables of many plays."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from benchmarks.fleet.clock import SECOND
from benchmarks.fleet.cold_cases import CASES
from benchmarks.fleet.cold_days import ColdDay, Gain, Kind, day
from benchmarks.fleet.cold_play import ColdPlay
from benchmarks.fleet.warming_hosts import WARM_UP_TIME, Overload, WarmingHost, narrow_budget

LAST_ANSWERS = 3 * SECOND  # played after the traffic
STRENGTH_STEPS = 10  # samples a second of what hosts can do
HEAD = """| day | plays | a budget passed | by the told | narrow | worst | mean | got /s | can /s | served |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"""

Figures = dict[str, Any]  # by name; the names are those of the tables


class PlayRequest(NamedTuple):
    """A play that is asked for."""

    seed: int
    with_hints: bool
    case: str  # of `CASES`
    gain: Gain | None = None  # in place of the seed's
    kind: Kind | None = None


class PlayResult(NamedTuple):
    """A play and its figures."""

    seed: int
    day: ColdDay
    figures: Figures


def play(played: ColdDay, seed: int, *, with_hints: bool = False) -> Figures:
    """The figures of a day, counted over what came after its begin."""
    world = ColdPlay(played, seed, with_hints=with_hints)
    world.clock.run(world.begin)
    asked, delivered = world.counts["tasks"], world.counts["delivered"]
    world.clock.run(world.end + LAST_ANSWERS)
    hosts = [host for host in world.hosts.values() if host.started is not None]
    overloads = [each for host in hosts for each in (*host.earlier, host.overload())]
    narrow = [each for host in hosts for each in (*host.earlier_narrow, host.overload(narrow_budget))]
    seconds = sum([min(WARM_UP_TIME, world.end - _start(host)) for host in hosts]) / SECOND
    return {
        "passed": sum([overload.worst > 1 for overload in overloads]),
        "fallen": sum([overload.by_informed for overload in overloads]),
        "broken": sum([overload.by_informed for overload in narrow]),
        "hosts": len(hosts),
        "worst": _worst(overloads),
        "got": sum([work for host in hosts for work in _work_while_warming(host)]) / seconds,
        "bears": _strength_sum(hosts, world.end) / STRENGTH_STEPS * played.pace / seconds,
        "served": (world.counts["delivered"] - delivered) / (world.counts["tasks"] - asked),
    }


def _worst(overloads: Iterable[Overload]) -> float:
    return max(overload.worst for overload in overloads)


def _start(host: WarmingHost) -> int:
    assert host.started is not None
    return host.started


def _work_while_warming(host: WarmingHost) -> list[float]:
    end = _start(host) + WARM_UP_TIME
    return [received.work for received in host.received if received.at < end]


def _strength_sum(hosts: Iterable[WarmingHost], end: int) -> float:
    """Strength times size, over all hosts and all samples while they warm up."""
    return sum(
        [
            host.strength(at) * host.size
            for host in hosts
            for at in range(_start(host), min(_start(host) + WARM_UP_TIME, end), SECOND // STRENGTH_STEPS)
        ]
    )


def play_one(request: PlayRequest) -> PlayResult:
    """One play of a table."""
    played = day(request.seed, request.gain, request.kind)._replace(**CASES[request.case])
    return PlayResult(request.seed, played, play(played, request.seed, with_hints=request.with_hints))


def print_rows(results: Iterable[PlayResult], group_of: Callable[[ColdDay], str]) -> None:
    """Print a row for each group of days."""
    groups: dict[str, list[Figures]] = defaultdict(list)
    for result in results:
        groups[group_of(result.day)].append(result.figures)
    for name, figures in sorted(groups.items()):
        print(_row(name, figures))


def _row(name: str, plays: list[Figures]) -> str:
    def mean(figure: str) -> float:
        return float(sum([each[figure] for each in plays]) / len(plays))

    def plays_with(figure: str) -> int:
        return sum([each[figure] > 0 for each in plays])

    return (
        f"| {name} | {len(plays)} | "
        f"{plays_with('passed')} | {plays_with('fallen')} | {plays_with('broken')} | "
        f"{max(each['worst'] for each in plays):.2f} | {mean('worst'):.2f} | {mean('got'):.2f} | "
        f"{mean('bears'):.2f} | {mean('served'):.3f} |"
    )
