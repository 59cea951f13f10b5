"""Plays of a fleet of cells: `python -m benchmarks.scale.cells [NAME ...]`; all where none is named.

Each writes its table to docs/measured/scale/cells/NAME.json, with the seeds of its plays.
"""

import json
import sys

from benchmarks.scale.cells import baselines, evenness, failures, meetings, moves
from benchmarks.scale.cells.fleet import Shape
from benchmarks.scale.measurement import MEASURED

FOLDER = MEASURED / "cells"
SECOND = 1_000_000_000


def meetings_table():
    """Rare functions, with hosts a third busy, and with a tenth of the gateways at the last table."""
    busy = Shape(30, 10, 16_000, entries=6, host_capacity=1.0)
    quiet = meetings.SHAPE
    return {
        f"{what}, seed {seed}": meetings.play(shape, 3_000, 300 * SECOND, 780, 480, old, background, seed)
        for seed in (1, 2, 3)
        for what, shape, old, background in (
            ("one table, idle hosts", quiet, 0.0, 0.0),
            ("a tenth at the last table, idle hosts", quiet, 0.1, 0.0),
            ("one table, busy hosts", busy, 0.0, 600.0),
            ("a tenth at the last table, busy hosts", busy, 0.1, 600.0),
        )
    }


def evenness_table():
    """Zipf 1 at 490 cells with hosts of three sizes; then other exponents."""
    return {
        f"exponent {exponent}, seed {seed}": evenness.play(evenness.SHAPE, 65, 180, 90, seed, exponent)
        for exponent, seed in ((1.0, 1), (1.0, 2), (1.0, 3), (0.8, 1), (1.2, 1))
    }


def moves_table():
    """Both ways to give functions homes, at three numbers of cells."""
    return {
        f"{way}, {cells} cells": moves.play(way, cells, 20_000 if way == "rendezvous" else 100_000)
        for cells in (100, 490, 2_450)
        for way in ("multi-probe", "rendezvous")
        if (way, cells) != ("rendezvous", 2_450)
    }


def failures_table():
    """Each kind of failure for a minute."""
    return {f"{kind}, seed {seed}": failures.play(kind, seed) for kind in failures.KINDS for seed in (1, 2)}


def alone_table():
    """A region alone for an hour, at a lower rate."""
    return {
        f"region alone for an hour, seed {seed}": failures.play(
            "region alone", seed, rate=60.0, spans=(300, 3_600, 600), functions=600
        )
        for seed in (1,)
    }


def baselines_table():
    """Other ways of bounding the view."""
    return {f"{way}, seed {seed}": baselines.play(way, seed) for way in baselines.WAYS for seed in (1, 2, 3)}


TABLES = {
    "meetings": meetings_table,
    "evenness": evenness_table,
    "moves": moves_table,
    "failures": failures_table,
    "alone": alone_table,
    "baselines": baselines_table,
}


def main():
    """The command line."""
    names = sys.argv[1:] or list(TABLES)
    if unknown := [name for name in names if name not in TABLES]:
        sys.exit(f"no such table: {', '.join(unknown)}; there are {', '.join(TABLES)}")
    FOLDER.mkdir(parents=True, exist_ok=True)
    for name in names:
        table = TABLES[name]()
        (FOLDER / f"{name}.json").write_text(json.dumps(table, indent=1) + "\n")
        for what, figures in table.items():
            print(f"{name}: {what}: {figures}", flush=True)


if __name__ == "__main__":
    main()
