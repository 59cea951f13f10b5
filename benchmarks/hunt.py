"""A long hunt over seeds: a Raft group and its clients under all faults; what is violated is made small.

    python benchmarks/hunt.py [--seeds 0-999] [--seconds 60] [--keepers 3] [--kind common|tight|forgotten]
                              [--jobs 1] [--out found]

Plays seeds until all are played or the time is over, and says how many a minute. `--keepers` is the number of
Raft nodes. Each violation is written to the folder `--out` as a file with its last events and its fault
schedule made small, which `FaultSchedule.from_json` reads back for a test to store. Ends with 1 where
anything was violated.
"""

import argparse
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from gaproute.simulation import InvariantViolationError, shrink
from gaproute.simulation.raft_group import RaftGroupSetup, RunKind, draw_group_schedule, play

MAX_PLAYS = 200  # to make one violation small


class Hunt(NamedTuple):
    """How many seeds were played, their steps, and how many violations were found by name."""

    played: int
    steps: int
    found: Counter[str]


def hunt(seeds: Iterable[int], options: argparse.Namespace) -> Hunt:
    """Plays the seeds until the time is over."""
    setup = RaftGroupSetup(kind=RunKind(options.kind), nodes=options.keepers)
    end, played, steps = time.monotonic() + options.seconds, 0, 0
    found: Counter[str] = Counter()
    for seed in seeds:
        if time.monotonic() > end:
            break
        simulation, violation = play(draw_group_schedule(seed, setup), setup)
        played, steps = played + 1, steps + simulation.timeline.step
        if violation is None:
            continue
        found[violation.name] += 1
        print(violation, flush=True)
        if found[violation.name] == 1:  # one of each name is made small
            write_small(violation, setup, options.out)
    return Hunt(played, steps, found)


def write_small(violation: InvariantViolationError, setup: RaftGroupSetup, folder: str) -> None:
    """Writes the report of the smallest schedule that violates the same."""
    schedule = violation.position.schedule
    small, smallest = shrink(lambda each: play(each, setup)[1], schedule, violation.name, MAX_PLAYS)
    Path(folder).mkdir(parents=True, exist_ok=True)
    file = Path(folder, f"{setup.kind}-{setup.nodes}-{schedule.seed}.txt")
    file.write_text((smallest or violation).report() + "\n")
    print(f"  from {len(schedule.faults)} faults to {len(small.faults)}", flush=True)


def run_jobs(seeds: range, options: argparse.Namespace) -> int:
    """Plays parts of the seeds in processes of their own; the greatest exit code."""
    share = -(-len(seeds) // options.jobs)
    passed_on = {name: getattr(options, name) for name in ("seconds", "keepers", "kind", "out")}
    command = [sys.executable, __file__]
    for name, value in passed_on.items():
        command += [f"--{name}", str(value)]
    parts = [seeds[at : at + share] for at in range(0, len(seeds), share)]
    jobs = [subprocess.Popen([*command, "--seeds", f"{part[0]}-{part[-1]}"]) for part in parts]
    return max(job.wait() for job in jobs)


def main() -> int:
    """The command."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="0-999")
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--keepers", type=int, default=3)
    parser.add_argument("--kind", choices=[kind.value for kind in RunKind], default="common")
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--out", default="found")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    if options.jobs > 1:
        return run_jobs(seeds, options)
    began = time.monotonic()
    played, steps, found = hunt(seeds, options)
    took = time.monotonic() - began
    print(
        f"{options.kind}, {options.keepers} keepers: {played} seeds in {took:.1f} s, "
        f"{60 * played / took:.0f} a minute ({60 * played / time.process_time():.0f} by CPU), "
        f"{steps / max(1, played):.0f} steps a seed; broken: {dict(found) or 'nothing'}",
        flush=True,
    )
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
