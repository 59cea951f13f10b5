"""Cell tables for tests and simulations: made by a few numbers, the same every time."""

from gaproute.decisions.cells.table import Cell, EntryGateway, initial_points, validate
from gaproute.decisions.cells.version import Version

FLEET = "north"
SIZES = (0.5, 1.0, 1.5)  # capacities of cells, over the mean


def cell(name, zone=0, capacity=100.0, mean=100.0, zones=13, regions=5, hosts=51, entries=2):
    """One cell in a zone by number; zone z lies in region z mod 5."""
    ways = tuple(EntryGateway(f"{name}-gateway{way}", f"127.0.0.1:{9000 + way}") for way in range(entries))
    zone %= zones
    points = initial_points(name, capacity, mean)
    return Cell(name, f"region{zone % regions}", f"zone{zone}", capacity, hosts, points, ways)


def cells(count, sizes=(1.0,), **fields):
    """`count` cells, dealt over the zones and the sizes in turn."""
    return [
        cell(f"cell{place}", zone=place, capacity=100.0 * sizes[place // 13 % len(sizes)], **fields)
        for place in range(count)
    ]


def table(rows, number=1, term=1):
    """A table of the rows."""
    return validate(FLEET, Version(term, number), rows)
