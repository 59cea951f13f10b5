"""The errors for which a cell table or a change to it is rejected."""

from gaproute.decisions.cells.version import Version
from gaproute.errors import GaprouteError


class TableError(GaprouteError, ValueError):
    """A table or change is rejected; the last valid table stays in use."""


class RowError(TableError):
    """One row of a table or change is invalid. `row` is its number in the order received, from 1."""

    def __init__(self, row: int, cell: str, reason: str) -> None:
        super().__init__(f"row {row}, cell {cell!r}: {reason}")
        self.row, self.cell, self.reason = row, cell, reason


class TooManyCellsError(TableError):
    """A table or change has more cells than allowed; reading stopped at the first one too many."""

    def __init__(self, max_cells: int) -> None:
        super().__init__(f"a cell table or change has more than the {max_cells} cells allowed")
        self.max_cells = max_cells


class OtherFleetError(TableError):
    """The table or change belongs to another fleet."""

    def __init__(self, own: str, other: str) -> None:
        super().__init__(f"the cell table is of fleet {other!r}, but this gateway belongs to fleet {own!r}")
        self.own, self.other = own, other


class StaleVersionError(TableError):
    """The version is not above the current one: it has an earlier term, or was received before."""

    def __init__(self, current: Version, rejected: Version) -> None:
        super().__init__(f"version {rejected} of the cell table is not above the current version {current}")
        self.current, self.rejected = current, rejected


class FullTableNeededError(TableError):
    """The change applies to a version other than the current one, so the complete table is needed."""

    def __init__(self, current: Version | None, base: Version) -> None:
        super().__init__(
            f"the change applies to version {base} of the cell table, but the current version is {current}:"
            " the complete table is needed"
        )
        self.current, self.base = current, base
