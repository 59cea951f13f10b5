"""A hash ring with several probes for each key (Appleton and O'Reilly, Multi-probe consistent hashing, 2015).

A cell owns points on the ring. A function is hashed to `PROBES_PER_ROUND` positions, and the distance from
each position to the next point on the ring is computed. The cell that owns the point at the smallest distance
is the function's first home, the cell at the next distance the second, and so on. The probes make the load
even, so few points for each cell are enough. The cost is that of the probes, and grows with the fleet only by
the logarithm of the number of points.

Invariants: rings of equal cells give equal orders, whichever updates led to them; adding or removing a cell
does not change the order of the other cells within one round of probes; a split does not move any point.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping

from xxhash import xxh3_64_intdigest

from gaproute.decisions.cells.table import Cell

PROBES_PER_ROUND = 21  # the point with the most functions then has about 1.05 times the mean
MAX_ROUNDS = 4  # after these, cells that no probe found are ordered by a hash of function and cell
RING_SIZE = 1 << 64  # number of positions on the ring


def point_position(origin: str, index: int) -> int:
    """The position of a point on the ring."""
    return xxh3_64_intdigest(origin.encode(), index)


class HashRing:
    """The ring: points in the order of their `positions`, `owners` with the cell of each; `cells` by name."""

    def __init__(self, cells: Iterable[Cell] = ()) -> None:
        self.cells = {cell.name: cell for cell in cells}
        self.zones = Counter(cell.zone for cell in self.cells.values())  # number of cells by zone
        points = sorted(
            (position, cell.name) for cell in self.cells.values() for position in _positions(cell)
        )
        self.positions = [position for position, _ in points]
        self.owners = [owner for _, owner in points]

    def update_cells(self, cells: Mapping[str, Cell], names: Iterable[str]) -> None:
        """Adds or replaces the named cells that are in `cells`, and removes the named cells that are not."""
        names = sorted(names)
        for name in names:
            if name in self.cells:
                self._remove_points(self.cells[name], cells.get(name))
        for name in names:
            if name in cells:
                self._add_points(cells[name], self.cells.get(name))
            self._replace_cell(name, cells.get(name))

    def order(self, function: str) -> Iterator[str]:
        """Yields all cells in the order of the function."""
        key, given = function.encode(), set()
        for start in range(0, MAX_ROUNDS * PROBES_PER_ROUND, PROBES_PER_ROUND):
            for _, name in sorted(self._probe(key, seed) for seed in range(start, start + PROBES_PER_ROUND)):
                if name not in given:
                    given.add(name)
                    yield name
            if len(given) == len(self.cells):
                return
        others = [name for name in self.cells if name not in given]
        others.sort(key=lambda name: (xxh3_64_intdigest(key + b"\0" + name.encode()), name))
        yield from others

    def _probe(self, key: bytes, seed: int) -> tuple[int, str]:
        """The distance from one of the key's positions to the next point, and the owner of that point."""
        position = xxh3_64_intdigest(key, seed)
        at = bisect_left(self.positions, position)
        if at == len(self.positions):
            at = 0
        return (self.positions[at] - position) % RING_SIZE, self.owners[at]

    def _replace_cell(self, name: str, cell: Cell | None) -> None:
        """Stores the new row of a cell, or removes the cell (None)."""
        if name in self.cells:
            self.zones -= Counter((self.cells.pop(name).zone,))  # a zone without cells is dropped
        if cell is not None:
            self.cells[name] = cell
            self.zones[cell.zone] += 1

    def _add_points(self, cell: Cell, before: Cell | None) -> None:
        """Adds the points of the cell that its earlier row does not have."""
        for position in _positions(cell) - _positions(before):
            at = bisect_left(self.positions, position)
            while at < len(self.positions) and self.positions[at] == position and self.owners[at] < cell.name:
                at += 1
            self.positions.insert(at, position)
            self.owners.insert(at, cell.name)

    def _remove_points(self, cell: Cell, after: Cell | None) -> None:
        """Removes the points of the cell that its new row does not have."""
        for position in _positions(cell) - _positions(after):
            at = bisect_left(self.positions, position)
            while self.owners[at] != cell.name:
                at += 1
            del self.positions[at], self.owners[at]


def _positions(cell: Cell | None) -> set[int]:
    """The positions of a cell's points; empty for None."""
    return {
        point_position(points.origin, index)
        for points in (cell.points if cell is not None else ())
        for index in range(points.first, points.first + points.size)
    }
