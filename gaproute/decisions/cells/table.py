"""The cell table: the cells of the fleet, their locations and their entry gateways.

A table is immutable and has a version, so that gateways can state which table they decided by. Rows from
outside this process become a table through `validate` only.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from itertools import pairwise
from math import isfinite
from types import MappingProxyType
from typing import NamedTuple

from gaproute.decisions.cells import bounds
from gaproute.decisions.cells.errors import RowError, TableError, TooManyCellsError
from gaproute.decisions.cells.version import Version


class PointRange(NamedTuple):
    """`size` ring points, from number `first` on, of the sequence of points that the name `origin` defines.

    The origin of a new cell's points is its name. Points that a split gives to a new cell keep their origin,
    so that they do not move on the ring.
    """

    origin: str
    first: int
    size: int


class EntryGateway(NamedTuple):
    """A gateway that knows the hosts of a cell and accepts requests for it from other gateways."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class Cell:
    """One cell. `capacity` is in a unit that is the same for all cells of the fleet."""

    name: str
    region: str
    zone: str
    capacity: float
    hosts: int
    points: tuple[PointRange, ...]
    entries: tuple[EntryGateway, ...] = ()


@dataclass(frozen=True, slots=True)
class CellTable:
    """A complete, valid table. `cells` are in the order of their names."""

    fleet: str
    version: Version
    cells: tuple[Cell, ...]
    by_name: Mapping[str, Cell]


def initial_points(name: str, capacity: float, mean_capacity: float) -> tuple[PointRange, ...]:
    """The ring points of a new cell, in proportion to its capacity."""
    count = round(bounds.RING_POINTS_PER_MEAN_CELL * capacity / mean_capacity)
    return (PointRange(name, 0, min(max(1, count), bounds.MAX_RING_POINTS_PER_CELL)),)


def split_cell(cell: Cell, name: str, entries: tuple[EntryGateway, ...] = ()) -> tuple[Cell, Cell]:
    """The rows of a cell and of a new cell that takes half of its ring points, hosts and capacity.

    Functions move only from the old cell to the new one; about half of them do.
    """
    total = sum(points.size for points in cell.points)
    if total < 2 or cell.hosts < 2:
        raise TableError(f"cell {cell.name!r} cannot be split: it has fewer than 2 hosts or 2 ring points")
    retained, given = _split_points(cell.points, total - total // 2)
    half = cell.hosts // 2
    capacity = cell.capacity * half / cell.hosts
    old = replace(cell, points=retained, hosts=cell.hosts - half, capacity=cell.capacity - capacity)
    new = replace(cell, name=name, points=given, hosts=half, capacity=capacity, entries=entries)
    return old, new


def _split_points(
    points: Iterable[PointRange], count: int
) -> tuple[tuple[PointRange, ...], tuple[PointRange, ...]]:
    """The ranges of the first `count` points, and the ranges of the others."""
    first, others = [], []
    for points_range in points:
        stay = min(count, points_range.size)
        count -= stay
        if stay:
            first.append(points_range._replace(size=stay))
        if stay < points_range.size:
            others.append(
                PointRange(points_range.origin, points_range.first + stay, points_range.size - stay)
            )
    return tuple(first), tuple(others)


def validate(fleet: str, version: Version, rows: Iterable[Cell]) -> CellTable:
    """Checks the rows and makes a table of them. Errors: `TableError`; a `RowError` has the row number."""
    _check_fleet_and_version(fleet, version)
    cells: dict[str, Cell] = {}
    row_numbers: dict[str, int] = {}
    for number, cell in enumerate(rows, start=1):
        if number > bounds.MAX_CELLS:
            raise TooManyCellsError(bounds.MAX_CELLS)
        check_cell(number, cell)
        if cell.name in cells:
            raise RowError(number, cell.name, f"the cell is also in row {row_numbers[cell.name]}")
        cells[cell.name], row_numbers[cell.name] = cell, number
    if not cells:
        raise TableError("the table has no cells")
    check_zones(row_numbers, cells.values())
    check_points(row_numbers, cells.values())
    return make_table(fleet, version, cells)


def make_table(fleet: str, version: Version, cells: dict[str, Cell]) -> CellTable:
    """Makes a table of cells that have been checked already."""
    ordered = dict(sorted(cells.items()))
    return CellTable(fleet, version, tuple(ordered.values()), MappingProxyType(ordered))


def _check_fleet_and_version(fleet: object, version: object) -> None:
    if not _is_name(fleet):
        raise TableError(f"the fleet name {fleet!r:.80} is empty, too long or not printable text")
    if not (isinstance(version, Version) and all(type(part) is int and part >= 0 for part in version)):
        raise TableError(f"the version {version!r:.80} is not a pair of integers from 0 up")


def check_cell(row: int, cell: Cell) -> None:
    """Checks the fields of one cell. `row`: its row number, from 1. Errors: `RowError`."""
    reason = _name_error(cell) or _size_error(cell) or _ring_point_error(cell) or _entry_error(cell)
    if reason is not None:
        raise RowError(row, str(cell.name)[: bounds.MAX_NAME_LENGTH], reason)


def _is_name(name: object) -> bool:
    return isinstance(name, str) and 0 < len(name) <= bounds.MAX_NAME_LENGTH and name.isprintable()


def _name_error(cell: Cell) -> str | None:
    for what in ("name", "region", "zone"):
        if not _is_name(getattr(cell, what)):
            return f"the {what} is empty, too long or not printable text"
    return None


def _size_error(cell: Cell) -> str | None:
    if type(cell.hosts) is not int or not 0 < cell.hosts <= bounds.MAX_HOSTS_PER_CELL:
        return f"{cell.hosts!r:.40} hosts are not a whole number from 1 to {bounds.MAX_HOSTS_PER_CELL}"
    capacity = cell.capacity
    if (
        type(capacity) not in (int, float)
        or not isfinite(capacity)
        or not 0 < capacity <= bounds.MAX_CAPACITY
    ):
        return f"the capacity {capacity!r:.40} is not above 0 and at most {bounds.MAX_CAPACITY:.0f}"
    return None


def _ring_point_error(cell: Cell) -> str | None:
    if not 0 < len(cell.points) <= bounds.MAX_POINT_RANGES_PER_CELL:
        return f"{len(cell.points)} ranges of ring points are not 1 to {bounds.MAX_POINT_RANGES_PER_CELL}"
    total = 0
    for points in cell.points:
        if not _is_name(points.origin):
            return "the origin of ring points is empty, too long or not printable text"
        if type(points.first) is not int or type(points.size) is not int:
            return "the first number or the size of a range of ring points is not an integer"
        total += points.size
        if points.first < 0 or points.size < 1 or points.first + points.size > bounds.MAX_RING_POINTS:
            return f"the range of ring points {points.first}+{points.size} is out of bounds"
    if total > bounds.MAX_RING_POINTS_PER_CELL:
        return f"{total} ring points in the cell are more than {bounds.MAX_RING_POINTS_PER_CELL}"
    return None


def _entry_error(cell: Cell) -> str | None:
    if len(cell.entries) > bounds.MAX_ENTRIES_PER_CELL:
        return f"{len(cell.entries)} entry gateways of the cell are more than {bounds.MAX_ENTRIES_PER_CELL}"
    if not all(_is_name(entry.name) and _is_name(entry.address) for entry in cell.entries):
        return "the name or address of an entry gateway is empty, too long or not printable text"
    if len({entry.name for entry in cell.entries}) < len(cell.entries):
        return "an entry gateway is named twice"
    return None


def check_zones(
    rows: Mapping[str, int], cells: Iterable[Cell], regions: Mapping[str, str] | None = None
) -> None:
    """Checks that no zone lies in two regions. Errors: `RowError`.

    `rows`: row numbers by cell, for the error; `regions`: known regions by zone.
    """
    region_of = dict(regions or {})
    for cell in cells:
        region = region_of.setdefault(cell.zone, cell.region)
        if region != cell.region:
            reason = f"zone {cell.zone!r} lies in region {region!r} by another cell, not in {cell.region!r}"
            raise RowError(rows[cell.name], cell.name, reason)


class _TakenRange(NamedTuple):
    """A range of ring points of one origin, and the cell that has it."""

    first: int
    size: int
    cell: str


def check_points(
    rows: Mapping[str, int], cells: Iterable[Cell], origins: Collection[str] | None = None
) -> None:
    """Checks that no two cells have the same ring point and that the number of points is within its bound.

    `rows`: row numbers by cell, for the error; `origins`: only their points are compared. Errors:
    `TableError`.
    """
    ranges: dict[str, list[_TakenRange]] = {}
    total = 0
    for cell in cells:
        for points in cell.points:
            total += points.size
            if origins is None or points.origin in origins:
                taken = _TakenRange(points.first, points.size, cell.name)
                ranges.setdefault(points.origin, []).append(taken)
    if total > bounds.MAX_RING_POINTS:
        raise TableError(f"{total} ring points in all are more than {bounds.MAX_RING_POINTS}")
    for origin, taken_ranges in ranges.items():
        _check_overlaps(rows, origin, sorted(taken_ranges))


def _check_overlaps(rows: Mapping[str, int], origin: str, ranges: list[_TakenRange]) -> None:
    """Checks that no two of the sorted ranges overlap. Errors: `RowError` for the later row of the two."""
    for taken, following in pairwise(ranges):
        if following.first < taken.first + taken.size:
            owner, later = sorted((taken.cell, following.cell), key=lambda name: rows.get(name, 0))
            reason = f"ring point {following.first} of origin {origin!r} also belongs to cell {owner!r}"
            raise RowError(rows.get(later, 0), later, reason)
