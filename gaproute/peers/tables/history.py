"""Since which version each row of the table held is as it is.

Invariants: the history says nothing of versions below `horizon`; a row changed after a version stands under a
later one; at most `MAX_REMOVED` removed names are remembered.
"""

from gaproute.decisions.cells.table import Cell, CellTable, Version

MAX_REMOVED = 512  # beyond it the history begins later


class RowHistory:
    """`numbers`: when a row's hosts or capacity changed last; `shapes`: when anything else of it did."""

    def __init__(self, horizon: Version):
        self.horizon = horizon
        self.numbers, self.shapes, self.removed = {}, {}, {}  # name: version

    def changed(self, before: CellTable, after: CellTable):
        """Another table is held: all rows are looked at."""
        rows = [cell for cell in after.cells if before.by_name.get(cell.name) is not cell]
        gone = [cell.name for cell in before.cells if cell.name not in after.by_name]
        self.rows_changed(before, after.version, rows, gone)

    def rows_changed(self, before: CellTable, version: Version, rows, removed):
        """These rows were set and those names removed."""
        for cell in rows:
            self._set(before.by_name.get(cell.name), cell, version)
        for name in removed:
            self.numbers.pop(name, None)
            self.shapes.pop(name, None)
            self.removed.pop(name, None)
            self.removed[name] = version
        while len(self.removed) > MAX_REMOVED:
            oldest = next(iter(self.removed))
            self.horizon = max(self.horizon, self.removed.pop(oldest))

    def since(self, version: Version):
        """(names removed, names of rows changed as a whole, names of those changed in numbers) since that
        version, None where it is not known."""
        if version < self.horizon:
            return None
        removed = [name for name, when in self.removed.items() if when > version]
        rows = [name for name, when in self.shapes.items() if when > version]
        whole = set(rows)
        numbers = [name for name, when in self.numbers.items() if when > version and name not in whole]
        return removed, rows, numbers

    def _set(self, before: Cell | None, cell: Cell, version: Version):
        if before is None or _shape(before) != _shape(cell):
            self.shapes[cell.name] = version
            self.removed.pop(cell.name, None)
        elif before != cell:
            self.numbers[cell.name] = version


def _shape(cell):
    return cell.region, cell.zone, cell.points, cell.entries
