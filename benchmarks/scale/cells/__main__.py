"""Plays of a fleet of cells: `python -m benchmarks.scale.cells [NAME ...]`; all where none is named.

Each writes its table to docs/measured/scale/cells/NAME.json as the plays end, with their seeds.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

from benchmarks.scale.cells import baselines, evenness, failures, meetings, moves, throughput
from benchmarks.scale.cells.fleet import Shape
from benchmarks.scale.measurement import MEASURED

FOLDER = MEASURED / "cells"
SECOND = 1_000_000_000

NamedPlay = tuple[str, Callable[[], dict[str, Any]]]


def meetings_plays() -> Iterator[NamedPlay]:
    """Rare functions, with hosts idle and busy, and with a tenth of the gateways at the last table."""
    busy = Shape(15, 6, 16_000, entries=6, host_capacity=1.0)
    for seed in (1, 2):
        for what, shape, background in (("idle hosts", meetings.SHAPE, 0.0), ("busy hosts", busy, 300.0)):
            for tables, old in (("one table", 0.0), ("a tenth at the last table", 0.1)):
                yield (
                    f"{tables}, {what}, seed {seed}",
                    partial(meetings.play, shape, 3_000, 240 * SECOND, 560, 320, old, background, seed),
                )


def evenness_plays() -> Iterator[NamedPlay]:
    """Zipf 1 at 490 cells with hosts of three sizes; then a steeper law."""
    for exponent, seed in ((1.0, 1), (1.0, 2), (1.2, 1)):
        yield (
            f"exponent {exponent}, seed {seed}",
            partial(evenness.play, evenness.SHAPE, 65, 180, 90, seed, exponent),
        )


def moves_plays() -> Iterator[NamedPlay]:
    """Both ways to give functions homes, at three numbers of cells."""
    for cells in (100, 490, 2_450):
        yield f"multi-probe, {cells} cells", partial(moves.play, "multi-probe", cells, 100_000)
        if cells < 1_000:
            yield f"rendezvous, {cells} cells", partial(moves.play, "rendezvous", cells, 20_000)


def failures_plays() -> Iterator[NamedPlay]:
    """Each kind of failure for a minute."""
    for seed in (1, 2, 3):
        for kind in failures.KINDS:
            yield f"{kind}, seed {seed}", partial(failures.play, kind, seed)


def alone_plays() -> Iterator[NamedPlay]:
    """A region alone for an hour, at a lower rate."""
    spans = failures.Spans(quiet=300, failed=3_600, after=600)
    yield "seed 1", partial(failures.play, "region alone", 1, rate=60.0, spans=spans, functions=600)


def baselines_plays() -> Iterator[NamedPlay]:
    """Other ways of bounding the view."""
    for seed in (1, 2):
        for way in baselines.WAYS:
            yield f"{way}, seed {seed}", partial(baselines.play, way, seed)


def throughput_plays() -> Iterator[NamedPlay]:
    """Forwarding as fast as it goes, and without, in turn: the machine's drift affects both alike."""
    for seed in (1, 2, 3):
        for kind in ("both", "unforwarded"):
            yield f"{kind}, seed {seed}", partial(throughput.play, kind, seed)


TABLES: dict[str, Callable[[], Iterator[NamedPlay]]] = {
    "meetings": meetings_plays,
    "evenness": evenness_plays,
    "moves": moves_plays,
    "failures": failures_plays,
    "alone": alone_plays,
    "baselines": baselines_plays,
    "borne": throughput_plays,
}


def main() -> None:
    """Run the command line."""
    names = sys.argv[1:] or list(TABLES)
    if unknown := [name for name in names if name not in TABLES]:
        sys.exit(f"no such table: {', '.join(unknown)}; there are {', '.join(TABLES)}")
    FOLDER.mkdir(parents=True, exist_ok=True)
    for name in names:
        table: dict[str, Any] = {}
        for row, play in TABLES[name]():
            table[row] = play()
            (FOLDER / f"{name}.json").write_text(json.dumps(table, indent=1) + "\n")
            print(f"{name}: {row}: {table[row]}", flush=True)


if __name__ == "__main__":
    main()
