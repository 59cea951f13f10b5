"""The offsets that give each part of a gateway a random seed of its own."""

from enum import IntEnum


class SeedOffset(IntEnum):
    """The number added to the gateway's seed for a part, so that no two parts draw the same random numbers.

    The decisions use the gateway's seed without an offset.
    """

    OBSERVATIONS = 1
    MEMBERSHIP = 2
    ADMISSION = 3
    GOSSIP = 4
    LEASES = 5
    CELL_TABLE = 6  # the choice of gateways to which a table is sent
    CELL_SOURCES = 8  # the order of change log sources, and the delays between attempts
