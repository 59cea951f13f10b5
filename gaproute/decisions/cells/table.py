"""The cell table: which cells the fleet has, where they lie and which gateways lead into them.

A table is immutable and has a version, so that gateways can say which one they decided by. `validate` is the
only way to make one from rows that came from outside.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from math import isfinite
from types import MappingProxyType
from typing import NamedTuple

from gaproute.decisions.cells import bounds
from gaproute.decisions.cells.errors import RowError, TableError, TooManyCellsError


class Version(NamedTuple):
    """Versions are ordered: whoever begins a new term outranks all writers of earlier ones."""

    term: int
    number: int

    def __str__(self):
        return f"{self.term}.{self.number}"


class PointRange(NamedTuple):
    """`count` ring points from `first` on, of those that the name `origin` gives.

    A cell begins with points of its own name; the origin stays when a split hands points to a new cell, so
    that no point moves on the ring.
    """

    origin: str
    first: int
    count: int


class EntryGateway(NamedTuple):
    """A gateway that knows the hosts of a cell and takes calls for it from others."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class Cell:
    """One cell. `capacity` is in a unit of the fleet's choice, the same for all cells."""

    name: str
    region: str
    zone: str
    capacity: float
    hosts: int
    points: tuple[PointRange, ...]
    entries: tuple[EntryGateway, ...] = ()


@dataclass(frozen=True, slots=True)
class CellTable:
    """A whole valid table: `cells` in the order of their names, by name in `by_name`."""

    fleet: str
    version: Version
    cells: tuple[Cell, ...]
    by_name: MappingProxyType


def initial_points(name: str, capacity: float, mean_capacity: float) -> tuple[PointRange, ...]:
    """Ring points of a new cell, in proportion to its capacity."""
    count = round(bounds.POINTS_PER_MEAN_CELL * capacity / mean_capacity)
    return (PointRange(name, 0, min(max(1, count), bounds.MAX_CELL_POINTS)),)


def split_cell(cell: Cell, name: str, entries: tuple[EntryGateway, ...] = ()) -> tuple[Cell, Cell]:
    """The cell and a new one that takes half of its ring points, hosts and capacity.

    Functions move from the old cell to the new one only, and about half of them do.
    """
    total = sum(points.count for points in cell.points)
    if total < 2 or cell.hosts < 2:
        raise TableError(f"cell {cell.name!r} has too few hosts or ring points to be split")
    kept, given, left = [], [], total - total // 2
    for points in cell.points:
        stay = min(left, points.count)
        left -= stay
        if stay:
            kept.append(points._replace(count=stay))
        if stay < points.count:
            given.append(PointRange(points.origin, points.first + stay, points.count - stay))
    half = cell.hosts // 2
    capacity = cell.capacity * half / cell.hosts
    old = replace(cell, points=tuple(kept), hosts=cell.hosts - half, capacity=cell.capacity - capacity)
    new = replace(cell, name=name, points=tuple(given), hosts=half, capacity=capacity, entries=entries)
    return old, new


def validate(fleet: str, version: Version, rows: Iterable[Cell]) -> CellTable:
    """The table of these rows. Raises `TableError`; a `RowError` names the row by its place, from 1 on."""
    _check_head(fleet, version)
    cells, places = {}, {}
    for place, cell in enumerate(rows, start=1):
        if place > bounds.MAX_CELLS:
            raise TooManyCellsError(bounds.MAX_CELLS)
        check_cell(place, cell)
        if cell.name in cells:
            raise RowError(place, cell.name, f"the cell is also in row {places[cell.name]}")
        cells[cell.name], places[cell.name] = cell, place
    if not cells:
        raise TableError("the table has no cells")
    check_zones(places, cells.values())
    check_points(places, cells.values())
    return make_table(fleet, version, cells)


def make_table(fleet: str, version: Version, cells: dict[str, Cell]) -> CellTable:
    """A table of cells that have been checked."""
    ordered = dict(sorted(cells.items()))
    return CellTable(fleet, version, tuple(ordered.values()), MappingProxyType(ordered))


def _check_head(fleet, version):
    if not _is_name(fleet):
        raise TableError(f"the fleet's name {fleet!r:.80} is empty, too long or no text")
    if not (isinstance(version, Version) and all(type(part) is int and part >= 0 for part in version)):
        raise TableError(f"the version {version!r:.80} is not two integers from 0 on")


def check_cell(place: int, cell: Cell):
    """Raise `RowError` where a cell taken alone is wrong."""
    reason = _wrong_names(cell) or _wrong_sizes(cell) or _wrong_points(cell) or _wrong_entries(cell)
    if reason is not None:
        raise RowError(place, str(cell.name)[: bounds.MAX_NAME], reason)


def _is_name(name):
    return isinstance(name, str) and 0 < len(name) <= bounds.MAX_NAME and name.isprintable()


def _wrong_names(cell):
    for what in ("name", "region", "zone"):
        if not _is_name(getattr(cell, what)):
            return f"the {what} is empty, too long or no printable text"
    return None


def _wrong_sizes(cell):
    if type(cell.hosts) is not int or not 0 < cell.hosts <= bounds.MAX_HOSTS:
        return f"{cell.hosts!r:.40} hosts are not 1 to {bounds.MAX_HOSTS}"
    capacity = cell.capacity
    if (
        type(capacity) not in (int, float)
        or not isfinite(capacity)
        or not 0 < capacity <= bounds.MAX_CAPACITY
    ):
        return f"the capacity {capacity!r:.40} is not above 0 and at most {bounds.MAX_CAPACITY:.0f}"
    return None


def _wrong_points(cell):
    if not 0 < len(cell.points) <= bounds.MAX_RANGES:
        return f"{len(cell.points)} ranges of ring points are not 1 to {bounds.MAX_RANGES}"
    total = 0
    for points in cell.points:
        if not _is_name(points.origin):
            return "the origin of ring points is empty, too long or no printable text"
        if type(points.first) is not int or type(points.count) is not int:
            return "ring points are not counted by integers"
        total += points.count
        if points.first < 0 or points.count < 1 or points.first + points.count > bounds.MAX_RING_POINTS:
            return f"the ring points {points.first}+{points.count} are out of range"
    if total > bounds.MAX_CELL_POINTS:
        return f"{total} ring points are more than {bounds.MAX_CELL_POINTS}"
    return None


def _wrong_entries(cell):
    if len(cell.entries) > bounds.MAX_ENTRIES:
        return f"{len(cell.entries)} entry gateways are more than {bounds.MAX_ENTRIES}"
    if not all(_is_name(entry.name) and _is_name(entry.address) for entry in cell.entries):
        return "an entry gateway's name or address is empty, too long or no printable text"
    if len({entry.name for entry in cell.entries}) < len(cell.entries):
        return "an entry gateway is named twice"
    return None


def check_zones(places: dict[str, int], cells: Iterable[Cell], regions: dict[str, str] | None = None):
    """Raise `RowError` where a zone lies in two regions; `regions`: those of zones known before."""
    regions = dict(regions or {})
    for cell in cells:
        region = regions.setdefault(cell.zone, cell.region)
        if region != cell.region:
            reason = f"zone {cell.zone!r} lies in region {region!r}, not {cell.region!r}"
            raise RowError(places[cell.name], cell.name, reason)


def check_points(places: dict[str, int], cells: Iterable[Cell], origins=None):
    """Raise where two cells have the same ring point, or all have too many; `origins`: look at these only."""
    ranges, total = {}, 0
    for cell in cells:
        for points in cell.points:
            total += points.count
            if origins is None or points.origin in origins:
                ranges.setdefault(points.origin, []).append((points.first, points.count, cell.name))
    if total > bounds.MAX_RING_POINTS:
        raise TableError(f"{total} ring points in all are more than {bounds.MAX_RING_POINTS}")
    for origin, taken in ranges.items():
        taken.sort()
        for (first, count, owner), (following, _, other) in zip(taken, taken[1:], strict=False):
            if following < first + count:
                owner, blamed = sorted((owner, other), key=lambda name: places.get(name, 0))
                reason = f"ring point {following} of {origin!r} is also of cell {owner!r}"
                raise RowError(places.get(blamed, 0), blamed, reason)
