"""Plays many seeds of a gateway under injected faults and says which rules break, by which faults.

    python -m benchmarks.fault_hunt --seeds N [--from FIRST] [--odds 200,20] [--reduce]
                                       [--without CALL,CALL] [--replay SEED ODDS]

A failure is printed with its seed, its findings and the faults that were injected, each with its call, its
number and the place in the code. `--reduce` plays it again with ever fewer faults and prints the few that
matter. `--replay SEED ODDS` plays one seed alone. In every fourth play the gateway is asked to stop; every
third has faults from its start on. Exit code 1 where a rule broke.
"""

from __future__ import annotations

import argparse
import sys
import time

from gaproute.faultinjection.plan import Script
from gaproute.faultinjection.play.runner import Verdict, by_chance, play, reduce_faults
from gaproute.faultinjection.play.traffic import Conditions

STOP_EACH, START_EACH = 4, 3  # one play in so many: the gateway is asked to stop, faults from its start


def conditions_of(seed: int) -> Conditions:
    """What the play of that seed is like."""
    return Conditions(
        stop=seed % STOP_EACH == STOP_EACH - 1, faulty_start=seed % START_EACH == START_EACH - 1
    )


def main() -> int:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--from", type=int, default=0, dest="first")
    parser.add_argument("--odds", default="200,20", help="one call in so many fails, a hunt for each")
    parser.add_argument("--reduce", action="store_true", help="find the few faults that matter")
    parser.add_argument(
        "--without", default="", help="calls that never fail, by their names in the catalogue"
    )
    parser.add_argument("--replay", type=int, nargs=2, metavar=("SEED", "ODDS"))
    options = parser.parse_args()
    without = options.without.split(",")
    if options.replay:
        return hunt([options.replay[0]], options.replay[1], without, reduce=options.reduce)
    seeds = list(range(options.first, options.first + options.seeds))
    return max(hunt(seeds, int(odds), without, reduce=options.reduce) for odds in options.odds.split(","))


def hunt(seeds: list[int], odds: int, without: list[str], *, reduce: bool) -> int:
    """Plays the seeds; 1 where one of them broke a rule."""
    began, requests, injected, broken = time.monotonic(), 0, 0, 0
    for seed in seeds:
        conditions = conditions_of(seed)
        verdict = play(seed, by_chance(seed, odds, without), conditions)
        requests, injected = requests + verdict.requests, injected + len(verdict.injected)
        if verdict.findings:
            broken += 1
            print_failure(verdict, odds, conditions, reduce=reduce)
    took = time.monotonic() - began
    print(
        f"one call in {odds}: {len(seeds)} plays, {requests} requests, {injected} faults injected, "
        f"{broken} plays broke a rule, {took:.1f} s",
        flush=True,
    )
    return 1 if broken else 0


def print_failure(verdict: Verdict, odds: int, conditions: Conditions, *, reduce: bool) -> None:
    """Prints a failure so that it can be played again."""
    if not reduce:
        print(f"odds {odds}, {verdict}", flush=True)
        return
    print(f"odds {odds}, seed {verdict.seed}", flush=True)
    for check in sorted(verdict.checks, key=lambda check: check.name):
        few = reduce_faults(verdict.seed, verdict.injected, {check}, conditions)
        again = play(verdict.seed, Script(few), conditions)
        for finding in again.findings:
            if finding.check is check:
                print(f"  {finding}")
        for line in few:
            print(f"    by {line}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
