"""Changes to the cell table, and the holder of a gateway's current table.

Invariants: the version of the current table only grows; a rejected table or change leaves the current table
as it was; a change is applied completely or not at all.
"""

from collections.abc import Callable
from dataclasses import dataclass

from gaproute.decisions.cells import bounds
from gaproute.decisions.cells.errors import (
    FullTableNeededError,
    OtherFleetError,
    RowError,
    StaleVersionError,
    TableError,
    TooManyCellsError,
)
from gaproute.decisions.cells.table import (
    Cell,
    CellTable,
    check_cell,
    check_points,
    check_zones,
    make_table,
)
from gaproute.decisions.cells.version import Version


@dataclass(frozen=True, slots=True)
class TableChange:
    """The difference between the tables of versions `base` and `version`.

    `rows` are the cells to add or replace, `removed` the names of the cells to remove.
    """

    fleet: str
    base: Version
    version: Version
    rows: tuple[Cell, ...] = ()
    removed: tuple[str, ...] = ()


def apply_change(
    table: CellTable, change: TableChange, trim: Callable[[Cell], Cell] | None = None
) -> CellTable:
    """The table after the change, with `trim` applied to the new rows.

    Errors: `TableError` if the change cannot be applied completely.
    """
    if change.fleet != table.fleet:
        raise OtherFleetError(table.fleet, change.fleet)
    if change.version <= table.version:
        raise StaleVersionError(table.version, change.version)
    if change.base != table.version:
        raise FullTableNeededError(table.version, change.base)
    cells = dict(table.by_name)
    _remove_cells(cells, change)
    rows = _set_cells(cells, change)
    if not cells:
        raise TableError("the change removes every cell of the table")
    if len(cells) > bounds.MAX_CELLS:
        raise TooManyCellsError(bounds.MAX_CELLS)
    regions = {cell.zone: cell.region for cell in table.cells if cells.get(cell.name) is cell}
    check_zones(rows, change.rows, regions)
    origins = {points.origin for cell in change.rows for points in cell.points}
    check_points(rows, cells.values(), origins)
    if trim is not None:
        cells.update({cell.name: trim(cell) for cell in change.rows})
    return make_table(table.fleet, change.version, cells)


def _remove_cells(cells: dict[str, Cell], change: TableChange) -> None:
    if len(change.removed) > bounds.MAX_CELLS:
        raise TooManyCellsError(bounds.MAX_CELLS)
    for name in change.removed:
        if cells.pop(name, None) is None:
            raise TableError(f"the change removes cell {name!r:.80}, which is not in the table")


def _set_cells(cells: dict[str, Cell], change: TableChange) -> dict[str, int]:
    """Adds or replaces the cells of the change; returns the row number of each cell, from 1."""
    if len(change.rows) > bounds.MAX_CELLS:
        raise TooManyCellsError(bounds.MAX_CELLS)
    rows: dict[str, int] = {}
    for row, cell in enumerate(change.rows, start=1):
        check_cell(row, cell)
        if cell.name in rows:
            raise RowError(row, cell.name, f"the cell is also in row {rows[cell.name]}")
        if cell.name in change.removed:
            raise RowError(row, cell.name, "the cell is both set and removed")
        rows[cell.name], cells[cell.name] = row, cell
    return rows


class TableHolder:
    """Holds the current cell table: `table` is the last valid one, or None before the first.

    `needs_full_table`: no table has been received yet, or a change could not be applied.
    """

    def __init__(self, fleet: str, trim: Callable[[Cell], Cell] | None = None) -> None:
        """`trim` reduces a checked row to what this gateway stores of it."""
        self.fleet, self.trim = fleet, trim
        self.table: CellTable | None = None
        self.needs_full_table = True

    def replace(self, table: CellTable) -> None:
        """Replaces the table by one that `validate` returned. Errors: `TableError` if it is rejected."""
        if table.fleet != self.fleet:
            raise OtherFleetError(self.fleet, table.fleet)
        if self.table is not None and table.version <= self.table.version:
            raise StaleVersionError(self.table.version, table.version)
        if self.trim is not None:
            cells = {cell.name: self.trim(cell) for cell in table.cells}
            table = make_table(table.fleet, table.version, cells)
        self.table, self.needs_full_table = table, False

    def apply(self, change: TableChange) -> None:
        """Applies a change to the current table.

        Errors: `TableError`; `FullTableNeededError` if the complete table must be requested.
        """
        if change.fleet != self.fleet:
            raise OtherFleetError(self.fleet, change.fleet)
        if self.table is None:
            self.needs_full_table = True
            raise FullTableNeededError(None, change.base)
        try:
            self.table = apply_change(self.table, change, self.trim)
        except StaleVersionError:
            raise
        except TableError:
            self.needs_full_table = True
            raise
