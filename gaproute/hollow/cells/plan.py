"""A fleet of cells by a few numbers: which gateways and hosts are in which cell, and its table."""

from functools import cache

from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.cells.table import Cell, EntryGateway, initial_points, validate
from gaproute.decisions.cells.version import Version
from gaproute.interface import ListedHost, State

FLEET = "hollow"
GATEWAYS = 33  # of a cell
HOSTS = 256  # of a cell
ENTRIES = 3  # of a cell
ZONES, REGIONS = 13, 5  # zone z lies in region z mod 5
CAPACITY = 4.0  # of a host


class CellPlan:
    """`rows`: the fleet's gateways. Gateway n is in cell n mod `cells`."""

    def __init__(self, rows, hosts=HOSTS):
        self.rows, self.hosts = rows, hosts
        self.cells = max(1, round(len(rows) / GATEWAYS))
        self.host_rows = cache(self.host_rows)

    def cell_of(self, name):
        """The number of the gateway's cell."""
        return int(name.rpartition("-")[2]) % self.cells

    def gateways(self, cell):
        """The rows of a cell's gateways."""
        return self.rows[cell :: self.cells]

    def place(self, name):
        """Where the gateway stands."""
        zone = self.cell_of(name) % ZONES
        return GatewayLocation(name, f"region{zone % REGIONS}", f"zone{zone}")

    @staticmethod
    def name(cell):
        """The cell's name."""
        return f"cell{cell:04}"

    def row(self, cell, hosts=None):
        """The cell's row in the table; `hosts`: another number than planned."""
        zone, name = cell % ZONES, self.name(cell)
        entries = tuple(EntryGateway(row.name, row.where) for row in self.gateways(cell)[:ENTRIES])
        hosts = self.hosts if hosts is None else hosts
        points = initial_points(name, 1.0, 1.0)
        capacity = CAPACITY * hosts
        return Cell(name, f"region{zone % REGIONS}", f"zone{zone}", capacity, hosts, points, entries)

    def table(self):
        """The first table."""
        return validate(FLEET, Version(1, 1), [self.row(cell) for cell in range(self.cells)])

    def host_rows(self, cell):
        """The host list of a cell, by the cell's name; the same object each time."""
        zone = int(cell[len("cell") :]) % ZONES
        return tuple(
            ListedHost(f"{cell}-host-{number:03}", zone, number % 97, State.ACTIVE, CAPACITY, 1)
            for number in range(self.hosts)
        )
