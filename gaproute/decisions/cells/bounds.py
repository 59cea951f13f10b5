"""Bounds on the content of a cell table; a table beyond them is rejected, so that memory is bounded."""

MAX_CELLS = 4_096  # in one table: a million hosts and more at the usual size of a cell
MAX_HOSTS_PER_CELL = 1_024  # in one cell: its gateways store an order of all of them for each function
MAX_ENTRIES_PER_CELL = 32  # entry gateways of one cell
MAX_POINT_RANGES_PER_CELL = 64  # ranges of ring points of one cell; each split of a cell adds one at most
MAX_RING_POINTS_PER_CELL = 1_024  # ring points of one cell: 32 times the usual number
MAX_RING_POINTS = 262_144  # of a whole table: twice the usual number for each of the most cells
MAX_CAPACITY = 1e9  # of one cell, in the unit that the fleet chose
MAX_NAME_LENGTH = 128  # characters of a name or an address

RING_POINTS_PER_MEAN_CELL = 32  # ring points of a cell of mean capacity; with 16, small cells were half empty
