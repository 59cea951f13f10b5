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
        """Another table is held."""
        for cell in after.cells:
            old = before.by_name.get(cell.name)
            if old is not cell:
                self._set(old, cell, after.version)
        for cell in before.cells:
            if cell.name not in after.by_name:
                self._remove(cell.name, after.version)
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

    def _remove(self, name: str, version: Version):
        self.numbers.pop(name, None)
        self.shapes.pop(name, None)
        self.removed.pop(name, None)
        self.removed[name] = version


def _shape(cell):
    return cell.region, cell.zone, cell.points, cell.entries
