"""The scale run: rungs of ever more hollow gateways, each predicted from the smaller ones before it runs.

    python -m benchmarks.scale.ladder [--rungs 60,125,250,1000,4000,16000] [--seconds 1200] [--memory MB]
        [--parts membership,hosts,demand,leases] [--cells N] [--name simulated] [--seed 1] [--after NAME]

Each rung runs in a process of its own, which ends with this one whatever ends it, and leaves nothing
behind. The ladder stops by itself at half of the machine's memory, or when its time is over, and says where
and why. Results are stored in docs/measured/scale/ladders/ladder-NAME.json after each rung.
"""

from __future__ import annotations

import argparse
import json
import subprocess
from collections.abc import Iterable
from typing import Any

from benchmarks.scale import climbing
from benchmarks.scale.children import command
from benchmarks.scale.climbing import PlayedRung
from benchmarks.scale.limits import Limits
from benchmarks.scale.measurement import LADDERS
from benchmarks.scale.rung import add_arguments, hosts_of
from gaproute.hollow.cells import CELL_PARTS

RUNGS = "60,125,250,1000,4000,16000"


def play(size: int, arguments: argparse.Namespace, limits: Limits) -> PlayedRung:
    """Play a rung in a process of its own."""
    child: list[object] = ["benchmarks.scale.rung", size, "--seed", arguments.seed]
    child += ["--parts", arguments.parts, "--memory", limits.memory, "--seconds", limits.seconds_left()]
    for option in ("hosts", "cells"):
        if getattr(arguments, option) is not None:
            child += [f"--{option}", getattr(arguments, option)]
    process = subprocess.Popen(command(child), stdout=subprocess.PIPE, text=True)
    try:
        printed, _ = process.communicate()
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()
    if process.returncode:
        return PlayedRung({}, f"the rung's process ended with {process.returncode}")
    result = json.loads(printed.splitlines()[-1])
    return PlayedRung(result["figures"], result["stopped"])


def climb(
    arguments: argparse.Namespace,
    limits: Limits,
    keep: climbing.KeepRungs,
    rungs: Iterable[climbing.Rung] = (),
) -> None:
    """Play rung after rung, after `rungs`; `keep(rungs, stopped)` is called after each."""
    climbing.climb(climbing.sizes_of(arguments), lambda size: play(size, arguments, limits), keep, rungs)


def conditions(arguments: argparse.Namespace) -> dict[str, Any]:
    """What was played, for the ladder's file."""
    return {
        "clock": "simulated",
        "seed": arguments.seed,
        "parts": list(CELL_PARTS) if arguments.cells else arguments.parts.split(","),
        "hosts": hosts_of(arguments),
        "cells": arguments.cells,
    }


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale.ladder", description=__doc__)
    climbing.add_arguments(parser, rungs=RUNGS, seconds=1200, name="simulated")
    add_arguments(parser)
    parser.add_argument("--after", help="the name of a stored ladder, whose rungs are not played again")
    arguments = parser.parse_args()
    limits = climbing.limits_of(arguments)
    rungs = climbing.complete_rungs(LADDERS, arguments.after) if arguments.after else []
    file = climbing.LadderFile(LADDERS, arguments.name, limits, conditions(arguments))
    climb(arguments, limits, file.keep, rungs)


if __name__ == "__main__":
    main()
