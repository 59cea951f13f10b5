"""How much cold hosts get from a whole fleet, against the budget past which one falls: decisions alone, on
the clock of `benchmarks/fleet`, against stand-in hosts.

    python benchmarks/cold.py [--seeds 0:1000] [--jobs 2] [--gain step|even] [--kind KIND]
        [--cases NAMES] [--named] [--list]

The seed decides the day: one host new, six in ten replaced within 7 s, all cold, a third back cold; 3 to 200
gateways, some with ten times or a thirtieth of the mean traffic; the load; whether a minute without traffic
comes before, seven in ten gateways restart, lists come up to 4 s late. `step`: a cold host stays at its first
share until it is warm, the least that the settings promise; `even`: it gains evenly. `--named`: with each
list every gateway learns, wrongly, that each cold host has an instance of each function and nothing to do.
`--cases NAMES`: a row for each of CASES, by semicolons; 'all' of them, or the 'hard' ones, in which hosts
gain nothing and every gateway gets the list at once: fleets of 1, 30 and 230, hosts of several sizes, storms.
The budget is that of the standing test: N + 2 x root of N + 2, with N under 30 N + 3 x root of N + 3, in
requests of mean work; what is rejected, cancelled or an order to load counts as well. `narrow`: by
N + 2 x root of N + 2 with any N.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Iterable
from functools import partial
from multiprocessing import Pool
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.fleet.cold_cases import CASES, HARD
from benchmarks.fleet.cold_days import GAINS, KINDS, MORE_KINDS, ColdDay, day
from benchmarks.fleet.cold_results import HEAD, PlayRequest, PlayResult, play, play_one, print_rows

__all__ = ["CASES", "HARD", "ColdDay", "day", "play"]

PLAIN_CASE = "as the seeds say"
PLAYS_AT_ONCE = 4  # handed to a process of the pool
GROUPS: tuple[Callable[[ColdDay], str], ...] = (
    lambda played: played.kind,
    lambda played: f"{played.gateways} gateways",
    lambda played: played.gain,
    lambda played: "late lists" if played.late else "prompt lists",
    lambda played: "whole",
)


def parser() -> argparse.ArgumentParser:
    """The options of the command line."""
    options = argparse.ArgumentParser()
    options.add_argument("--seeds", default="0:1000")
    options.add_argument("--jobs", type=int, default=2)
    options.add_argument("--gain", choices=GAINS)
    options.add_argument("--kind", choices=(*KINDS, *MORE_KINDS))
    options.add_argument("--cases", help="of CASES, by semicolons, or 'all', 'hard': a row for each")
    options.add_argument("--named", action="store_true", help="gossip and hints name the cold hosts")
    options.add_argument("--list", action="store_true", help="each play in which a budget was passed")
    return options


def chosen_cases(names: str) -> list[str]:
    """The cases that the option names."""
    if names == "all":
        return list(CASES)
    return list(HARD) if names == "hard" else names.split(";")


def play_cases(arguments: argparse.Namespace, seeds: Iterable[int]) -> None:
    """Print a row for each case, with the same seeds in all."""
    print(HEAD, flush=True)
    with Pool(arguments.jobs) as pool:
        for case in chosen_cases(arguments.cases):
            requests = _requests(arguments, seeds, case)
            results = pool.map(play_one, requests, 1)
            print_rows(results, partial(_case_name, case))
            sys.stdout.flush()


def play_seeds(arguments: argparse.Namespace, seeds: Iterable[int]) -> None:
    """Print rows for groups of the days that the seeds give."""
    with Pool(arguments.jobs) as pool:
        results = pool.map(play_one, _requests(arguments, seeds, PLAIN_CASE), PLAYS_AT_ONCE)
    print(HEAD)
    for group_of in GROUPS:
        print_rows(results, group_of)
    if arguments.list:
        _print_passed(results)


def _case_name(case: str, played: ColdDay) -> str:
    return case


def _requests(arguments: argparse.Namespace, seeds: Iterable[int], case: str) -> list[PlayRequest]:
    return [PlayRequest(seed, arguments.named, case, arguments.gain, arguments.kind) for seed in seeds]


def _print_passed(results: Iterable[PlayResult]) -> None:
    for seed, played, figures in results:
        if figures["passed"]:
            print(seed, played, figures)


def main() -> None:
    """Run the command line."""
    arguments = parser().parse_args()
    first, last = map(int, arguments.seeds.split(":"))
    if arguments.cases:
        play_cases(arguments, range(first, last))
    else:
        play_seeds(arguments, range(first, last))


if __name__ == "__main__":
    main()
