"""The host lists of the cells that a gateway knows, from files and from a source: what they cost at rest."""

import multiprocessing
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from benchmarks.scale.costs.cell_hosts import lines, members, names
from benchmarks.scale.measurement import Measurements, measure
from benchmarks.scale.meters import CPU_TIME, MS_PER_SECOND
from gaproute.appliance.cell_lists import CellLists, ListsByCell
from gaproute.appliance.followed_lists import FollowedLists
from gaproute.config.directives.fleet import CellHostsLine
from gaproute.decisions.chance import RandomGenerator
from gaproute.loop import Loop
from gaproute.standins.cell_source import CellSource

SECOND = 1_000_000_000
PARAMETER = "cells known"
CELLS = (1, 4, 16, 64)
RESTING = 3  # seconds that rest is metered for
HOSTS = 16  # of a cell
LOOK = SECOND // 20  # ns between two looks at a file
COMMENT, TCP_HEADERS = 3, 52  # bytes of a comment; of IPv4 and TCP with timestamps around it


def _resting(loop: Loop, seconds: float) -> float:
    """Milliseconds of CPU a second of a loop on which nothing changes."""
    began = time.process_time()
    loop.run(until=loop.sleep(int(seconds * SECOND)))
    return (time.process_time() - began) / seconds * MS_PER_SECOND


def _ignore(*event: object) -> None:
    """Do nothing: no list is rejected here, and the source does not fail."""


def files_rest_cpu(cells: int, seed: int, seconds: float = RESTING) -> float:
    """Milliseconds of CPU a second of looking at the files of so many cells."""
    loop = Loop()
    changes: list[ListsByCell] = []
    with tempfile.TemporaryDirectory(prefix="cell-hosts-") as folder:
        for place, cell in enumerate(names(cells)):
            Path(folder, f"{cell}.hosts").write_text(lines(place, HOSTS, seed))
        lists = CellLists(
            loop, CellHostsLine.model_validate({"look": LOOK, "folder": folder}), changes.append, _ignore
        )
        lists.set_cells(dict.fromkeys(names(cells), "z"))
        spent = _resting(loop, seconds)
        lists.close()
    assert len(changes[-1]) == cells
    loop.close()
    return spent


def _serve(cells: int, seed: int, addresses: "multiprocessing.Queue[str]") -> None:
    """Run a source of host lists, a process of its own, that sends a comment each second."""
    loop = Loop()
    source = CellSource(loop, "north", comment=SECOND)
    for place, cell in enumerate(names(cells)):
        source.publish(cell, *members(place, HOSTS, seed))
    addresses.put(source.address)
    loop.run()


@contextmanager
def served(cells: int, seed: int) -> Iterator[str]:
    """Run a source of so many cells; gives its address."""
    context = multiprocessing.get_context("spawn")
    addresses = context.Queue()
    process = context.Process(target=_serve, args=(cells, seed, addresses), daemon=True)
    process.start()
    yield addresses.get()
    process.kill()
    process.join()


def followed_rest_cpu(cells: int, seed: int, seconds: float = RESTING) -> float:
    """Milliseconds of CPU a second of connections to a source that sends comments alone."""
    loop = Loop()
    changes: list[ListsByCell] = []
    with served(cells, seed) as where:
        line = CellHostsLine.model_validate({"look": LOOK, "from": where})
        lists = FollowedLists(loop, "north", line, changes.append, _ignore, _ignore, RandomGenerator(seed))
        lists.set_cells(dict.fromkeys(names(cells), "z"))
        while not changes or len(changes[-1]) < cells:
            loop.run(until=loop.sleep(LOOK))
        spent = _resting(loop, seconds)
        lists.close()
    assert len(changes[-1]) == cells
    loop.close()
    return spent


def followed_rest_bytes(cells: int, seed: int) -> float:
    """Bytes a second of comments, received, and of their acknowledgements, sent."""
    return cells * (COMMENT + TCP_HEADERS + TCP_HEADERS)


MEASUREMENTS: Measurements = {
    "cell-files-rest-cpu-by-cells": lambda: measure(
        "cell-files-rest-cpu-by-cells",
        "CPU of looking at the host files of cells that do not change",
        "ms/s",
        PARAMETER,
        CELLS,
        files_rest_cpu,
        f"a look each 50 ms; metered for {RESTING} s. {CPU_TIME}",
    ),
    "cell-follow-rest-cpu-by-cells": lambda: measure(
        "cell-follow-rest-cpu-by-cells",
        "CPU of following cells that do not change",
        "ms/s",
        PARAMETER,
        CELLS,
        followed_rest_cpu,
        f"a connection each, a sign of life each second; metered for {RESTING} s on loopback. {CPU_TIME}",
    ),
    "cell-follow-rest-bytes-by-cells": lambda: measure(
        "cell-follow-rest-bytes-by-cells",
        "bytes of following cells that do not change, both ways",
        "bytes/s",
        PARAMETER,
        CELLS,
        followed_rest_bytes,
        "a sign of life each second and its acknowledgement, with headers of IPv4 and TCP; arithmetic",
    ),
}
