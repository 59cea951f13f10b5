"""One rung on the simulated clock, in a process of its own: `python -m benchmarks.scale.rung SIZE`.

Prints one line of JSON: `figures` by name, and `stopped` with the reason where a limit ended the rung early.
With `--cells N` the fleet goes by cells, N of which are played in full (`cell_rung.py`).
"""

from __future__ import annotations

import argparse
import json

from benchmarks.scale.base_rung import BaseRung
from benchmarks.scale.cell_rung import CellRung
from benchmarks.scale.limits import LimitReachedError, Limits
from benchmarks.scale.plain_rung import PlainRung
from gaproute.hollow import PARTS
from gaproute.hollow.cells.plan import HOSTS as HOSTS_OF_A_CELL

HOSTS = 240  # of a fleet without cells


def make_rung(arguments: argparse.Namespace) -> BaseRung:
    """The rung that the command line asks for."""
    limits, hosts = Limits(arguments.memory, arguments.seconds), hosts_of(arguments)
    if arguments.cells:
        return CellRung(arguments.size, arguments.seed, limits, full_cells=arguments.cells, hosts=hosts)
    parts = tuple(arguments.parts.split(","))
    return PlainRung(arguments.size, arguments.seed, limits, parts=parts, hosts=hosts)


def hosts_of(arguments: argparse.Namespace) -> int:
    """The hosts of the fleet, or of each cell."""
    hosts: int | None = arguments.hosts
    return hosts or (HOSTS_OF_A_CELL if arguments.cells else HOSTS)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options that a rung and a ladder of rungs share."""
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--parts", default=",".join(PARTS), help="of a fleet without cells")
    parser.add_argument("--hosts", type=int, help=f"{HOSTS}, or {HOSTS_OF_A_CELL} in each cell")
    parser.add_argument("--cells", type=int, help="the fleet goes by cells, so many of them played in full")


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale.rung", description=__doc__)
    parser.add_argument("size", type=int)
    parser.add_argument("--memory", type=float, required=True, help="MB")
    parser.add_argument("--seconds", type=float, required=True)
    add_arguments(parser)
    rung, stopped = make_rung(parser.parse_args()), ""
    try:
        rung.play()
    except LimitReachedError as reason:
        stopped = str(reason)
    except MemoryError:
        stopped = "memory: none was left"
    print(json.dumps({"figures": rung.figures, "stopped": stopped}), flush=True)


if __name__ == "__main__":
    main()
