"""Ways to give functions home cells: evenness, cost, and what moves when a cell comes, goes or is split."""

from math import log
from statistics import pstdev
from time import process_time_ns

from xxhash import xxh3_64_intdigest

from benchmarks.scale.cells.fleet import Shape, bare_cell, table
from gaproute.decisions.cells.homes import HomeCells
from gaproute.decisions.cells.table import split_cell

FUNCTIONS = 100_000
CELLS = 490


class Rendezvous:
    """Weighted rendezvous hashing: the alternative, linear in cells."""

    def __init__(self, made):
        self.cells = [(cell.name, cell.name.encode(), cell.capacity) for cell in made.cells]

    def first(self, function):
        """The function's home."""
        key = function.encode() + b"\0"
        return max(
            (-capacity / log((xxh3_64_intdigest(key + told) + 1) / (1 << 64)), name)
            for name, told, capacity in self.cells
        )[1]


def tables(cells):
    """{what happened: the table after it}."""
    shape = Shape(cells, 51, 0)
    rows = [bare_cell(number, shape) for number in range(cells + 1)]
    before = rows[:-1]
    halves = split_cell(before[7], "split")
    return {
        "before": table(shape, 1, before),
        "added": table(shape, 2, rows),
        "lost": table(shape, 2, before[:7] + before[8:]),
        "split": table(shape, 2, [*before[:7], *before[8:], *halves]),
    }


def ideal(made, what):
    """The share of functions that must move."""
    capacity = {cell.name: cell.capacity for cell in made["before"].cells}
    total = sum(capacity.values())
    if what == "added":
        new = made["added"].by_name[f"cell{len(capacity)}"].capacity
        return new / (total + new)
    return capacity["cell7"] / total * (0.5 if what == "split" else 1.0)


def play(way, cells=CELLS, functions=FUNCTIONS):
    """Figures of one way, "multi-probe" or "rendezvous"."""
    kind = {"multi-probe": HomeCells, "rendezvous": Rendezvous}[way]
    made = tables(cells)
    names = [f"function{number}" for number in range(functions)]
    orders, begun = kind(made["before"]), process_time_ns()
    before = [orders.first(name) for name in names]
    cost = (process_time_ns() - begun) / functions
    capacity = {cell.name: cell.capacity for cell in made["before"].cells}
    counts = dict.fromkeys(capacity, 0)
    for home in before:
        counts[home] += 1
    mean = functions / sum(capacity.values())
    over = [counts[name] / capacity[name] / mean for name in capacity]
    figures = {
        "us for each function": round(cost / 1000, 1),
        "fullest over mean": round(max(over), 3),
        "emptiest over mean": round(min(over), 3),
        "deviation over mean": round(pstdev(over), 3),
    }
    for what in ("added", "lost", "split"):
        after = kind(made[what])
        moved = sum(after.first(name) != home for name, home in zip(names, before, strict=True))
        figures[f"moved over ideal, cell {what}"] = round(moved / functions / ideal(made, what), 3)
    return figures
