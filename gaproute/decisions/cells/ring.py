"""A hash ring with several probes for each key (Appleton and O'Reilly, Multi-probe consistent hashing, 2015).

A cell owns points on the ring. A function is hashed to `PROBES` places; the cell whose point follows one of
them at the least distance is its first home, that of the next distance the second, and so on. Evenness comes
from the probes, so few points for each cell do, and the cost is that of the probes: it does not grow with
the fleet but for the logarithm of the points.

Invariants: equal cells give equal orders, however the ring came about; a cell that comes or goes leaves the
order of all others as it was, within one round of probes; a split leaves every point where it was.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Iterator

from xxhash import xxh3_64_intdigest

from gaproute.decisions.cells.table import Cell

PROBES = 21  # places of a function: the fullest point has then about 1.05 of the mean
ROUNDS = 4  # of so many probes, before the cells not met by any are ordered one by one
RING = 1 << 64  # places on the ring


def point_place(origin: str, index: int) -> int:
    """Where a cell's point lies on the ring."""
    return xxh3_64_intdigest(origin.encode(), index)


class Ring:
    """Points in the order of their places, and the cell that owns each."""

    def __init__(self, cells: Iterable[Cell] = ()):
        self.cells = {cell.name: cell for cell in cells}
        self.zones = Counter(cell.zone for cell in self.cells.values())  # zone: its cells
        marks = sorted(
            (point_place(points.origin, index), cell.name)
            for cell in self.cells.values()
            for points in cell.points
            for index in range(points.first, points.first + points.count)
        )
        self.places = [place for place, _ in marks]
        self.owners = [owner for _, owner in marks]

    def change(self, cells: dict[str, Cell], names: Iterable[str]):
        """Take over the cells named as they are in `cells`; those missing there are removed."""
        names = sorted(names)
        for name in names:
            if name in self.cells:
                self._drop(self.cells[name], cells.get(name))
        for name in names:
            if name in cells:
                self._add(cells[name], self.cells.get(name))
            self._rename(name, cells.get(name))

    def _rename(self, name, cell):
        """Hold the new row of a cell, or none."""
        if name in self.cells:
            self.zones -= Counter((self.cells.pop(name).zone,))  # a zone without cells is dropped
        if cell is not None:
            self.cells[name] = cell
            self.zones[cell.zone] += 1

    def _add(self, cell, before):
        """Add the points that the cell had not before."""
        for place in _places(cell) - _places(before):
            at = bisect_left(self.places, place)
            while at < len(self.places) and self.places[at] == place and self.owners[at] < cell.name:
                at += 1
            self.places.insert(at, place)
            self.owners.insert(at, cell.name)

    def _drop(self, cell, after):
        """Remove the points that the cell has no more."""
        for place in _places(cell) - _places(after):
            at = bisect_left(self.places, place)
            while self.owners[at] != cell.name:
                at += 1
            del self.places[at], self.owners[at]

    def order(self, function: str) -> Iterator[str]:
        """All cells, one by one, in the function's order."""
        key, given = function.encode(), set()
        for start in range(0, ROUNDS * PROBES, PROBES):
            for _, name in sorted(self._probe(key, seed) for seed in range(start, start + PROBES)):
                if name not in given:
                    given.add(name)
                    yield name
            if len(given) == len(self.cells):
                return
        rest = [name for name in self.cells if name not in given]
        rest.sort(key=lambda name: (xxh3_64_intdigest(key + b"\0" + name.encode()), name))
        yield from rest

    def _probe(self, key, seed):
        """(distance to the next point, its owner) of one of the key's places."""
        place = xxh3_64_intdigest(key, seed)
        at = bisect_left(self.places, place)
        if at == len(self.places):
            at = 0
        return (self.places[at] - place) % RING, self.owners[at]


def _places(cell):
    """The places of a cell's points; none of no cell."""
    return {
        point_place(points.origin, index)
        for points in (cell.points if cell is not None else ())
        for index in range(points.first, points.first + points.count)
    }
