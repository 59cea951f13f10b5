"""Rounds of maintenance in one process, over many seeds and faults: what the truth at the hosts says.

    python -m benchmarks.rounds --seeds 1008 --out docs/measured/rounds

Beside it the same fleets and faults by two ways without a floor, and the time of rounds without faults
against the best order of all, for rounds small enough to try every order.
"""

import argparse
import itertools
import json
import statistics
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from multiprocessing import Pool
from typing import Any, NamedTuple

from gaproute.maintenance import RoundController, capacity_floor
from gaproute.maintenance.capacity_floor import FleetCapacity
from gaproute.simulation.rounds import RunKind, play
from gaproute.simulation.rounds.baselines import BestOrder, FixedGroups, OneAtATime
from gaproute.simulation.rounds.judge import FloorBreach
from gaproute.units import SECOND

Row = dict[str, Any]  # of a run, as it is stored

KINDS = tuple(RunKind)
IN_STEPS = "in steps"
CONTROLLERS = {IN_STEPS: RoundController, "one at a time": OneAtATime, "fixed groups": FixedGroups}
MEAN_LOAD_TIME = 3 * SECOND  # of a copy
TIMED_OUT_TIME = 60 * SECOND  # a host away in the runs that are timed: what a restart of a machine takes
TIMED_HOSTS = (5, 8)
MAX_TIMED_HOSTS = 5  # of a round, as every order of them is tried


class Job(NamedTuple):
    """One run."""

    kind: RunKind
    seed: int
    way: str


class Timing(NamedTuple):
    """How long a round of so many hosts took, and how long by the best order; ns."""

    hosts: int
    run: int
    shortest: int


def play_one(job: Job) -> Row:
    """The row of a run."""
    kind, seed, way = job
    run, violation = play(seed, kind, controller=CONTROLLERS[way])
    judge = run.judge
    stages = [judge.ends[spec.name].stage if spec.name in judge.ends else "open" for spec in run.rounds]
    return {
        "kind": kind,
        "seed": seed,
        "way": way,
        "breach": str(violation)[:400] if violation else "",
        "ends": dict(Counter(stages)),
        "outs": judge.restarts,
        "own": judge.own_breaches,
        "lost": judge.lost_requests,
        "breaches": [breach_row(breach) for breach in judge.breaches],
    }


def breach_row(breach: FloorBreach) -> Row:
    """A breach of the floor as it is stored."""
    return {
        "row": list(breach.row),
        "floor": breach.floor,
        "there": breach.lanes,
        "class": breach.kind,
        "what": list(breach.causes),
        "things": breach.failed_domains,
        "touch": breach.last_change.split()[0],
    }


def time_one(seed: int) -> Timing | None:
    """None where the round was refused or is too large."""
    run, violation = play(seed, RunKind.NONE, out_time=TIMED_OUT_TIME, hosts=TIMED_HOSTS)
    (spec,) = run.rounds
    end = run.judge.ends.get(spec.name)
    if violation or end is None or end.stage != "ended" or len(spec.hosts) > MAX_TIMED_HOSTS:
        return None
    scene = run.scene
    fleet = scene.fleet
    warm = {name: dict.fromkeys(copies, fleet.hosts[name].lanes) for name, copies in fleet.copies.items()}
    free = {name: host.slots - len(warm[name]) for name, host in fleet.hosts.items()}
    needs = capacity_floor.required_lanes(spec, scene.demand, fleet.zones)
    best = BestOrder(spec, FleetCapacity(fleet.hosts, warm, needs), free, MEAN_LOAD_TIME)
    shortest = best.shortest(itertools.permutations(spec.hosts))
    return None if shortest is None else Timing(len(spec.hosts), end.time, shortest)


def table(rows: Sequence[Row]) -> list[str]:
    """The rows as lines of Markdown, by way and kind."""
    lines = [
        "| way | faults | runs | hosts out | ended | refused | open | promised | beyond | own | checks |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for way in CONTROLLERS:
        for kind in (*KINDS, "sum"):
            mine = [row for row in rows if row["way"] == way and kind in (row["kind"], "sum")]
            if mine:
                lines.append(table_line(way, kind, mine))
    return lines


def table_line(way: str, kind: str, rows: Sequence[Row]) -> str:
    """One line of the table."""
    ends: Counter[str] = sum((Counter(row["ends"]) for row in rows), Counter())
    broken = [
        sum(any(breach["class"] == name for breach in row["breaches"]) for row in rows)
        for name in ("promised", "beyond")
    ]
    outs, own = sum(row["outs"] for row in rows), sum(row["own"] > 0 for row in rows)
    checks = sum(bool(row["breach"]) for row in rows)
    return (
        f"| {way} | {kind} | {len(rows)} | {outs} | {ends['ended']} | {ends['refused']} | "
        f"{ends['open']} | {broken[0]} | {broken[1]} | {own} | {checks} |"
    )


def breach_lines(rows: Sequence[Row]) -> list[str]:
    """How often each kind of breach was found in steps, as a list."""
    counts = Counter(
        f"{row['kind']}: {breach['class']}, {breach['things']} failed "
        f"({', '.join(breach['what']) or 'nothing'}), at {breach['touch']}"
        for row in rows
        if row["way"] == IN_STEPS
        for breach in row["breaches"]
    )
    return [f"- {count} times {name}" for name, count in sorted(counts.items())]


def timing_lines(times: Sequence[Timing]) -> list[str]:
    """How much longer rounds took than by the best order."""
    ratios = sorted(timing.run / timing.shortest for timing in times)
    if not ratios:
        return []
    return [
        f"Time against the best order that sees all, {len(ratios)} rounds of up to {MAX_TIMED_HOSTS} hosts, "
        f"{TIMED_OUT_TIME // SECOND} s each away: median {statistics.median(ratios):.2f}, "
        f"most {ratios[-1]:.2f}, "
        f"{sum(ratio > 1.5 for ratio in ratios)} above 1.5.",
        "",
    ]


def measure(options: argparse.Namespace) -> tuple[list[Row], list[Timing]]:
    """Rows of all runs and times; what was done until the time was over."""
    began = time.time()
    jobs = [
        Job(KINDS[seed % len(KINDS)], seed, way)
        for way in ("one at a time", "fixed groups")
        for seed in range(options.others)
    ]
    jobs += [Job(KINDS[seed % len(KINDS)], seed, IN_STEPS) for seed in range(options.seeds)]
    with Pool(options.processes) as pool:
        times = [each for each in pool.imap_unordered(time_one, range(options.timed), 1) if each]
        rows = []
        for row in pool.imap_unordered(play_one, jobs, 4):
            rows.append(row)
            if time.time() - began > options.most:
                pool.terminate()
                break
    return rows, times


def write(
    path: str, lines: Sequence[str], rows: Sequence[Row], times: Sequence[Timing], done: Mapping[str, int]
) -> None:
    """Writes the page and the figures."""
    with open(f"{path}.md", "w") as file:
        file.write("# Rounds of maintenance, measured by `benchmarks/rounds.py`\n\n" + "\n".join(lines))
    figures = {
        "rows": [row for row in rows if row["breaches"] or row["breach"]],
        "times": times,
        "done": dict(done),
    }
    with open(f"{path}.json", "w") as file:
        json.dump(figures, file, indent=1)


def main() -> None:
    """The command."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=1008)
    parser.add_argument("--others", type=int, default=240)
    parser.add_argument("--timed", type=int, default=60)
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument(
        "--most", type=int, default=3600, help="seconds after which it ends with what was done until then"
    )
    parser.add_argument("--out", default="")
    options, began = parser.parse_args(), time.time()
    rows, times = measure(options)
    done = Counter(row["way"] for row in rows)
    lines = [
        f"{done[IN_STEPS]} seeds in steps, {done['one at a time']} of each other way, "
        f"{options.processes} processes, {time.time() - began:.0f} s",
        "",
        *table(rows),
        "",
        "Runs with at least one breach are counted, by class (see docs/maintenance.md). "
        "In steps, each breach:",
        "",
        *breach_lines(rows),
        "",
        *timing_lines(times),
    ]
    print("\n".join(lines))
    if options.out:
        write(options.out, lines, rows, times, done)


if __name__ == "__main__":
    main()
