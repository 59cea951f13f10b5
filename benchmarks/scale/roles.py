"""What each role at the operators' size has to bear: rows of the budget, each from one measurement."""

from benchmarks.scale import rows_cells, rows_every_host, rows_shared
from benchmarks.scale.row import Row

__all__ = ["ROWS", "Row"]

ROWS = (*rows_every_host.ROWS, *rows_cells.ROWS, *rows_shared.ROWS)
