"""Bounds on the content of a cell table. A table beyond them is rejected, so that memory is bounded."""

MAX_CELLS = 4_096  # in one table: over a million hosts at the usual size of a cell
MAX_HOSTS_PER_CELL = 1_024  # gateways of the cell store an order of all its hosts for each function
MAX_ENTRIES_PER_CELL = 32
MAX_POINT_RANGES_PER_CELL = 64  # each split of a cell adds one range at most
MAX_RING_POINTS_PER_CELL = 1_024  # 32 times the usual number
MAX_RING_POINTS = 262_144  # in one table: twice the usual number for `MAX_CELLS` cells
MAX_CAPACITY = 1e9  # of one cell, in the unit that the operators of the fleet chose
MAX_NAME_LENGTH = 128  # characters, of a name or an address

RING_POINTS_PER_MEAN_CELL = 32  # with 16, small cells were half empty
