"""A fleet of cells by a few numbers: which gateways and hosts are in which cell, and its cell table."""

from __future__ import annotations

from collections.abc import Sequence

from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.cells.table import (
    Cell,
    CellTable,
    EntryGateway,
    initial_points,
    validate,
)
from gaproute.decisions.cells.version import Version
from gaproute.hollow.simulation import GatewayRow
from gaproute.interface import ListedHost, ListedHostState

FLEET = "hollow"
GATEWAYS = 33  # of a cell
HOSTS = 256  # of a cell
ENTRIES = 3  # entry gateways of a cell
ZONES, REGIONS = 13, 5  # zone z lies in region z mod 5
RACKS = 97  # of a cell
CAPACITY = 4.0  # of a host


class CellPlan:
    """Gateway n of `rows` is in cell n mod `cells`; each cell has `hosts` hosts."""

    def __init__(self, rows: Sequence[GatewayRow], hosts: int = HOSTS) -> None:
        self.rows, self.hosts = rows, hosts
        self.cells = max(1, round(len(rows) / GATEWAYS))
        self._host_rows: dict[str, tuple[ListedHost, ...]] = {}  # by the cell's name

    def cell_of(self, name: str) -> int:
        """The number of the gateway's cell."""
        return int(name.rpartition("-")[2]) % self.cells

    def gateways(self, cell: int) -> Sequence[GatewayRow]:
        """The rows of a cell's gateways."""
        return self.rows[cell :: self.cells]

    def location(self, name: str) -> GatewayLocation:
        """Where the gateway stands."""
        zone = self.cell_of(name) % ZONES
        return GatewayLocation(name, f"region{zone % REGIONS}", f"zone{zone}")

    @staticmethod
    def cell_name(cell: int) -> str:
        """The cell's name."""
        return f"cell{cell:04}"

    def table_row(self, cell: int, hosts: int | None = None) -> Cell:
        """The cell's row in the table; `hosts`: another number of hosts than planned."""
        zone, name = cell % ZONES, self.cell_name(cell)
        hosts = self.hosts if hosts is None else hosts
        return Cell(
            name,
            f"region{zone % REGIONS}",
            f"zone{zone}",
            CAPACITY * hosts,
            hosts,
            initial_points(name, 1.0, 1.0),
            tuple(EntryGateway(row.name, row.where) for row in self.gateways(cell)[:ENTRIES]),
        )

    def table(self) -> CellTable:
        """The first table."""
        return validate(FLEET, Version(1, 1), [self.table_row(cell) for cell in range(self.cells)])

    def host_rows(self, cell_name: str) -> tuple[ListedHost, ...]:
        """The host list of a cell; the same object each time."""
        if cell_name not in self._host_rows:
            self._host_rows[cell_name] = self._make_host_rows(cell_name)
        return self._host_rows[cell_name]

    def _make_host_rows(self, cell_name: str) -> tuple[ListedHost, ...]:
        zone = int(cell_name.removeprefix("cell")) % ZONES
        return tuple(
            ListedHost(
                f"{cell_name}-host-{number:03}", zone, number % RACKS, ListedHostState.ACTIVE, CAPACITY, 1
            )
            for number in range(self.hosts)
        )
