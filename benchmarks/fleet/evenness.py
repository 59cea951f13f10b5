"""Plays in which it is measured how evenly a fleet's gateways load its hosts, and tables of many plays."""

from __future__ import annotations

from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass
from itertools import product
from statistics import mean
from typing import Any

from benchmarks.fleet.clock import SECOND
from benchmarks.fleet.faults import (
    FAULTS,
    KINDS,
    ONE_THIRD_SAME,
    SIZES,
    WEIGHTS,
    fault_chance,
    none,
)
from benchmarks.fleet.measures import PlayObserver
from benchmarks.fleet.traffic import FleetTraffic
from benchmarks.fleet.variants import VARIANTS
from benchmarks.fleet.world import FleetWorld
from benchmarks.rows import table, write

SHOWN = (
    "cv",
    "by chance",
    "low",
    "high",
    "lasting",
    "peak",
    "idle",
    "herd",
    "herd p99",
    "herd event",
    "p50",
    "p99",
    "late",
    "loads",
    "CPU",
)

Row = dict[str, Any]


@dataclass(frozen=True)
class Scene:
    """What every play of a table has: sizes of the fleet, seconds, and the first second that is measured."""

    gateways: int
    hosts: int
    seconds: int
    since: int = 2


@dataclass(frozen=True)
class Case:
    """What a row of the table is of."""

    variant: str
    fault: str
    rate: int  # requests a second


def play(scene: Scene, case: Case, seed: int) -> dict[str, float]:
    """The figures of one play."""
    weights = WEIGHTS[case.fault](scene.gateways) if case.fault in WEIGHTS else None
    sizes = SIZES.get(case.fault, (1.0,))
    world = FleetWorld(scene.gateways, scene.hosts, VARIANTS[case.variant], sizes)
    observer = PlayObserver(world, scene.seconds * SECOND, scene.since * SECOND)
    FAULTS.get(case.fault, none)(world, observer, fault_chance(seed))
    one_third_same = case.fault in ONE_THIRD_SAME
    FleetTraffic(world, case.rate, seed=seed, weights=weights, one_third_same=one_third_same)
    world.clock.run(scene.seconds * SECOND)
    return observer.figures()


class PlayTable:
    """`rows`: for each case the means over the seeds. `plays`: the figures of each play."""

    def __init__(self) -> None:
        self.rows: list[Row] = []
        self.plays: list[Row] = []

    def add(self, case: Case, figures: dict[int, dict[str, float]]) -> None:
        """Add a case's plays, by their seeds."""
        head: Row = {"variant": case.variant, "fault": case.fault, "rate": case.rate}
        means = {name: round(mean(each[name] for each in figures.values()), 3) for name in SHOWN}
        self.rows.append(head | means)
        for seed, each in figures.items():
            self.plays.append(head | {"seed": seed} | {name: round(value, 4) for name, value in each.items()})


def play_all(
    scene: Scene,
    variants: list[str],
    faults: list[str],
    rates: list[int],
    *,
    seeds: list[int],
    jobs: int,
) -> PlayTable:
    """Play each variant with each fault and rate, `jobs` plays at once; prints each row."""
    cases = [Case(*values) for values in product(variants, faults, rates)]
    played = PlayTable()
    with ProcessPoolExecutor(jobs) as pool:
        plays: dict[tuple[Case, int], Future[dict[str, float]]] = {
            (case, seed): pool.submit(play, scene, case, seed) for case in cases for seed in seeds
        }
        for case in cases:
            played.add(case, {seed: plays[case, seed].result() for seed in seeds})
            print(played.rows[-1], flush=True)
    return played


def show(played: PlayTable, folder: str | None, name: str) -> None:
    """Print the table, and write it to the folder where one is given."""
    print(table(played.rows))
    if folder:
        write(folder, name, played.rows, plays=played.plays)


__all__ = ["KINDS", "Case", "PlayTable", "Scene", "play", "play_all", "show"]
