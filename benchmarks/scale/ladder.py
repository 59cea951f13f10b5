"""The scale run: rungs of ever more hollow gateways, each predicted from the smaller ones before it runs.

    python -m benchmarks.scale.ladder [--rungs 60,125,250,1000,4000,16000] [--seconds 1200] [--memory MB]
        [--parts membership,hosts,demand,leases] [--cells N] [--name simulated] [--seed 1] [--after NAME]

Each rung runs in a process of its own, which ends with this one whatever ends it, and leaves nothing
behind. The ladder stops by itself at half of the machine's memory, or when its time is over, and says where
and why. What has ended is kept in docs/measured/scale/ladders/ladder-NAME.json after each rung.
"""

import argparse
import json
import subprocess
import time

from benchmarks.scale import climbing
from benchmarks.scale.children import command
from benchmarks.scale.measurement import LADDERS
from benchmarks.scale.rung import add_arguments, hosts
from gaproute.hollow.cells import CELL_PARTS

RUNGS = "60,125,250,1000,4000,16000"


def play(size, told, limits):
    """What the rung's process printed."""
    left = limits.seconds - (time.monotonic() - limits.began)
    words = ["benchmarks.scale.rung", size, "--seed", told.seed, "--parts", told.parts]
    words += ["--memory", limits.memory, "--seconds", max(0, left)]
    for option in ("hosts", "cells"):
        if getattr(told, option) is not None:
            words += [f"--{option}", getattr(told, option)]
    made = subprocess.Popen(command(words), stdout=subprocess.PIPE, text=True)
    try:
        printed, _ = made.communicate()
    finally:
        if made.poll() is None:
            made.kill()
            made.wait()
    if made.returncode:
        return climbing.Played({}, f"the rung's process ended with {made.returncode}")
    found = json.loads(printed.splitlines()[-1])
    return climbing.Played(found["figures"], found["stopped"])


def climb(told, limits, keep, rungs=()):
    """Plays rung after rung, after `rungs`; `keep(rungs, stopped)` after each."""
    climbing.climb(climbing.sizes(told), lambda size: play(size, told, limits), keep, rungs)


def conditions(told):
    """What was played."""
    return {
        "clock": "simulated",
        "seed": told.seed,
        "parts": list(CELL_PARTS) if told.cells else told.parts.split(","),
        "hosts": hosts(told),
        "cells": told.cells,
    }


def main():
    """The command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale.ladder", description=__doc__)
    climbing.add_arguments(parser, RUNGS, 1200, "simulated")
    add_arguments(parser)
    parser.add_argument("--after", help="the name of a kept ladder, whose rungs are not played again")
    told = parser.parse_args()
    limits = climbing.limits(told)
    rungs = climbing.whole_rungs(LADDERS, told.after) if told.after else ()
    climb(told, limits, climbing.keeper(LADDERS, told.name, limits, conditions(told)), rungs)


if __name__ == "__main__":
    main()
