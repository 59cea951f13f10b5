"""Many gateways' decision modules in one process on a clock of their own: no sockets and no protocol.

    python -m benchmarks.fleet [--gateways 3,20,60,200] [--hosts 88] [--rate 1000] [--seconds 20]
    python -m benchmarks.fleet --even [--gateways 200] [--rates 1000,3000] [--seconds 12] [--since 2]
        [--seeds 1,2,3] [--variants today,sees] [--faults none,deaf] [--jobs 4]
        [--out docs/measured --name evenness]
    python -m benchmarks.fleet --follow [--gateways 200] [--rates 1000,3000] [--seconds 12] [--seeds 1]

The first shows what a fleet costs its hosts (`costs`), the second how evenly it loads them (`evenness`,
`docs/evenness.md`), the third which points decided each attempt (`follow`).
"""

from __future__ import annotations

import argparse

from benchmarks.fleet import costs, evenness, follow
from benchmarks.fleet.faults import KINDS
from benchmarks.fleet.variants import VARIANTS

GATEWAYS_OF_A_PLAY, SECONDS_OF_A_PLAY = "200", 12
GATEWAYS_OF_COSTS, SECONDS_OF_COSTS = "3,20,60,200", 20


def parser() -> argparse.ArgumentParser:
    """The options of the command line."""
    options = argparse.ArgumentParser()
    kinds = options.add_mutually_exclusive_group()
    kinds.add_argument("--even", action="store_true")
    kinds.add_argument("--follow", action="store_true")
    options.add_argument("--gateways")
    options.add_argument("--hosts", type=int, default=88)
    options.add_argument("--rate", type=int, default=1000)
    options.add_argument("--rates", default="1000,3000")
    options.add_argument("--seconds", type=int)
    options.add_argument("--since", type=int, default=2, help="first second that is measured")
    options.add_argument("--seeds", default="1,2,3")
    options.add_argument("--variants", default="today", help=", ".join(VARIANTS))
    options.add_argument("--faults", default="none", help=", ".join(KINDS))
    options.add_argument("--jobs", type=int, default=1)
    options.add_argument("--out")
    options.add_argument("--name", default="evenness")
    return options


def numbers(text: str) -> list[int]:
    """Whole numbers, separated by commas."""
    return [int(number) for number in text.split(",")]


def main() -> None:
    """Run the command line."""
    arguments = parser().parse_args()
    if not arguments.even and not arguments.follow:
        costs.print_table(
            numbers(arguments.gateways or GATEWAYS_OF_COSTS),
            hosts=arguments.hosts,
            rate=arguments.rate,
            seconds=arguments.seconds or SECONDS_OF_COSTS,
        )
        return
    scene = evenness.Scene(
        gateways=int(arguments.gateways or GATEWAYS_OF_A_PLAY),
        hosts=arguments.hosts,
        seconds=arguments.seconds or SECONDS_OF_A_PLAY,
        since=arguments.since,
    )
    rates, seeds = numbers(arguments.rates), numbers(arguments.seeds)
    faults = arguments.faults.split(",")
    if arguments.follow:
        follow.show(scene, rates, faults, seeds, arguments.out, arguments.name)
        return
    variants = arguments.variants.split(",")
    played = evenness.play_all(scene, variants, faults, rates, seeds=seeds, jobs=arguments.jobs)
    evenness.show(played, arguments.out, arguments.name)


if __name__ == "__main__":
    main()
