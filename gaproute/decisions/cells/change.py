"""Changes to the cell table, and the one table that a gateway uses.

Invariants: within one fleet the current version only grows; a table or change that is rejected leaves the
current table as it was; a change is applied completely or not at all.
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
    """The difference between the tables of versions `base` and `version`: rows that are set, and removed
    cells.
    """

    fleet: str
    base: Version
    version: Version
    rows: tuple[Cell, ...] = ()
    removed: tuple[str, ...] = ()


def apply_change(
    table: CellTable, change: TableChange, trim: Callable[[Cell], Cell] | None = None
) -> CellTable:
    """The table after the change. Errors: `TableError` where it cannot be applied completely."""
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
        raise TableError("the change removes every cell")
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
    """Sets the cells of the change's rows; returns the row of each cell, counted from 1."""
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
    """The table by which a gateway decides: `table` is the last good one, None before the first.

    `needs_full_table`: no table has come yet, or a change did not fit.
    """

    def __init__(self, fleet: str, trim: Callable[[Cell], Cell] | None = None) -> None:
        """`trim` makes the row that is stored of a checked row."""
        self.fleet, self.trim = fleet, trim
        self.table: CellTable | None = None
        self.needs_full_table = True

    def replace(self, table: CellTable) -> None:
        """Takes over a complete table, as `validate` made it. Errors: `TableError` where it is rejected."""
        if table.fleet != self.fleet:
            raise OtherFleetError(self.fleet, table.fleet)
        if self.table is not None and table.version <= self.table.version:
            raise StaleVersionError(self.table.version, table.version)
        if self.trim is not None:
            cells = {cell.name: self.trim(cell) for cell in table.cells}
            table = make_table(table.fleet, table.version, cells)
        self.table, self.needs_full_table = table, False

    def apply(self, change: TableChange) -> None:
        """Applies a change.

        Errors: `TableError`; `FullTableNeededError` where the complete table must be requested.
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
