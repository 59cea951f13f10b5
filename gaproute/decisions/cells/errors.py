"""Why a cell table or a change to it is rejected."""

from gaproute.decisions.cells.version import Version
from gaproute.errors import GaprouteError


class TableError(GaprouteError, ValueError):
    """A table or change that cannot be taken; the last good table stands."""


class RowError(TableError):
    """One row of a table is wrong. `row` counts from 1 in the order given."""

    def __init__(self, row: int, cell: str, reason: str) -> None:
        super().__init__(f"row {row}, cell {cell!r}: {reason}")
        self.row, self.cell, self.reason = row, cell, reason


class TooManyCellsError(TableError):
    """More rows than a table may hold; reading stopped at the first one too many."""

    def __init__(self, bound: int) -> None:
        super().__init__(f"more than {bound} cells")
        self.bound = bound


class OtherFleetError(TableError):
    """The table or change is of another fleet."""

    def __init__(self, own: str, other: str) -> None:
        super().__init__(f"of fleet {other!r}; this gateway is of {own!r}")
        self.own, self.other = own, other


class StaleVersionError(TableError):
    """The version is not above the one held: of an earlier term, or seen before."""

    def __init__(self, held: Version, offered: Version) -> None:
        super().__init__(f"version {offered} is not above {held}")
        self.held, self.offered = held, offered


class FullTableNeededError(TableError):
    """The change starts from a version that is not the one held: only the whole table can help."""

    def __init__(self, held: Version | None, base: Version) -> None:
        super().__init__(f"a change from version {base}, but {held} is held: ask for the whole table")
        self.held, self.base = held, base
