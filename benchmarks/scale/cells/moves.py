"""Ways to give functions home cells: evenness, cost, and what moves when a cell comes, goes or is split."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import log
from statistics import pstdev
from time import process_time_ns
from typing import Any, Protocol

from xxhash import xxh3_64_intdigest

from benchmarks.scale.cells.fleet import Shape, bare_cell, make_table
from gaproute.decisions.cells.homes import HomeCells
from gaproute.decisions.cells.table import CellTable, split_cell

FUNCTIONS = 100_000
CELLS = 490
HOSTS = 51  # of a cell
CHANGED = 7  # the number of the cell that is lost or split
BEFORE, ADDED, LOST, SPLIT = "before", "added", "lost", "split"


class Homes(Protocol):
    """A way to give functions home cells."""

    def first(self, function: str) -> str | None:
        """The function's home."""


class RendezvousHomes:
    """Weighted rendezvous hashing: the alternative, linear in cells."""

    def __init__(self, table: CellTable) -> None:
        self._cells = [(cell.name, cell.name.encode(), cell.capacity) for cell in table.cells]

    def first(self, function: str) -> str:
        """The function's home."""
        key = function.encode() + b"\0"
        return max(
            (-capacity / log((xxh3_64_intdigest(key + encoded) + 1) / (1 << 64)), name)
            for name, encoded, capacity in self._cells
        )[1]


WAYS: Mapping[str, Callable[[CellTable], Homes]] = {
    "multi-probe": HomeCells,
    "rendezvous": RendezvousHomes,
}


def make_tables(cells: int) -> dict[str, CellTable]:
    """The table before, and that after each change."""
    shape = Shape(cells, HOSTS, 0)
    rows = [bare_cell(number, shape) for number in range(cells + 1)]
    before = rows[:-1]
    without_changed = before[:CHANGED] + before[CHANGED + 1 :]
    return {
        BEFORE: make_table(shape, 1, before),
        ADDED: make_table(shape, 2, rows),
        LOST: make_table(shape, 2, without_changed),
        SPLIT: make_table(shape, 2, [*without_changed, *split_cell(before[CHANGED], "split")]),
    }


def ideal_share(tables: Mapping[str, CellTable], change: str) -> float:
    """The share of functions that must move."""
    capacity = {cell.name: cell.capacity for cell in tables[BEFORE].cells}
    total = sum(capacity.values())
    if change == ADDED:
        new = tables[ADDED].by_name[f"cell{len(capacity)}"].capacity
        return new / (total + new)
    return capacity[f"cell{CHANGED}"] / total * (0.5 if change == SPLIT else 1.0)


def play(way: str, cells: int = CELLS, functions: int = FUNCTIONS) -> dict[str, Any]:
    """The figures of one of `WAYS`."""
    make_homes, tables = WAYS[way], make_tables(cells)
    names = [f"function{number}" for number in range(functions)]
    homes, began = make_homes(tables[BEFORE]), process_time_ns()
    before = [homes.first(name) for name in names]
    cost = (process_time_ns() - began) / functions
    figures = {"us for each function": round(cost / 1000, 1), **_evenness(tables[BEFORE], before)}
    for change in (ADDED, LOST, SPLIT):
        after = make_homes(tables[change])
        moved = sum(after.first(name) != home for name, home in zip(names, before, strict=True))
        share = moved / functions / ideal_share(tables, change)
        figures[f"moved over ideal, cell {change}"] = round(share, 3)
    return figures


def _evenness(table: CellTable, homes: list[str | None]) -> dict[str, float]:
    """How many functions cells have over their share."""
    capacity = {cell.name: cell.capacity for cell in table.cells}
    counts = dict.fromkeys(capacity, 0)
    for home in homes:
        assert home is not None
        counts[home] += 1
    mean = len(homes) / sum(capacity.values())
    relative = [counts[name] / capacity[name] / mean for name in capacity]
    return {
        "fullest over mean": round(max(relative), 3),
        "emptiest over mean": round(min(relative), 3),
        "deviation over mean": round(pstdev(relative), 3),
    }
