"""What is added to a gateway's seed for each of its parts."""

from enum import IntEnum


class SeedOffset(IntEnum):
    """One number for each part, so that no two parts draw the same random numbers.

    The decisions have the seed itself.
    """

    OBSERVATIONS = 1
    MEMBERSHIP = 2
    ADMISSION = 3
    GOSSIP = 4
    LEASES = 5
    CELL_TABLE = 6  # which gateways are sent a table
    CELL_SOURCES = 8  # the order of change log sources, and the times between attempts
