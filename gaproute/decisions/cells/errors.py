"""Why a cell table or a change to it is rejected."""

from gaproute.decisions.cells.version import Version
from gaproute.errors import GaprouteError


class TableError(GaprouteError, ValueError):
    """A table or change is rejected; the last good table stays in use."""


class RowError(TableError):
    """One row of a table is invalid. `row` counts from 1, in the order given."""

    def __init__(self, row: int, cell: str, reason: str) -> None:
        super().__init__(f"row {row}, cell {cell!r}: {reason}")
        self.row, self.cell, self.reason = row, cell, reason


class TooManyCellsError(TableError):
    """A table has more rows than allowed; reading stopped at the first row too many."""

    def __init__(self, max_cells: int) -> None:
        super().__init__(f"more than {max_cells} cells")
        self.max_cells = max_cells


class OtherFleetError(TableError):
    """The table or change is of another fleet."""

    def __init__(self, own: str, other: str) -> None:
        super().__init__(f"of fleet {other!r}; this gateway is of {own!r}")
        self.own, self.other = own, other


class StaleVersionError(TableError):
    """The version is not above the current one: it is of an earlier term, or was seen before."""

    def __init__(self, current: Version, rejected: Version) -> None:
        super().__init__(f"version {rejected} is not above {current}")
        self.current, self.rejected = current, rejected


class FullTableNeededError(TableError):
    """The change starts from a version other than the current one, so the complete table is needed."""

    def __init__(self, current: Version | None, base: Version) -> None:
        super().__init__(f"a change from version {base}, but {current} is current: ask for the whole table")
        self.current, self.base = current, base
