"""Tables of cells for plays: cells dealt over zones and regions, of three sizes, with entry gateways."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import NamedTuple

from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.cells.table import (
    Cell,
    CellTable,
    EntryGateway,
    initial_points,
    validate,
)
from gaproute.decisions.cells.version import Version
from gaproute.decisions.cells.views import CellView

SIZES = (0.5, 1.0, 1.5)  # of hosts, over the mean; a cell has hosts of one size, as bought together


class Shape(NamedTuple):
    """A fleet by a few numbers."""

    cells: int
    hosts: int  # in a cell
    gateways: int
    entries: int = 32  # in a cell at most
    zones: int = 13
    regions: int = 5
    sizes: tuple[float, ...] = SIZES
    host_capacity: float = 20.0  # calls at a time of a host of size 1


def region_of(zone: int, shape: Shape) -> str:
    """The region of a zone by number."""
    return f"region{zone % shape.regions}"


def location_of(number: int, shape: Shape) -> GatewayLocation:
    """Where the gateway of that number stands."""
    zone = number % shape.zones
    return GatewayLocation(f"gateway{number}", region_of(zone, shape), f"zone{zone}")


def bare_cell(number: int, shape: Shape) -> Cell:
    """The cell of that number, without entries."""
    zone = number % shape.zones
    capacity = shape.hosts * shape.host_capacity * shape.sizes[number // shape.zones % len(shape.sizes)]
    points = initial_points(f"cell{number}", capacity, shape.hosts * shape.host_capacity)
    return Cell(f"cell{number}", region_of(zone, shape), f"zone{zone}", capacity, shape.hosts, points)


def with_entries(cells: Sequence[Cell], shape: Shape) -> list[Cell]:
    """The cells with the gateways that attend to them as entries."""
    bare = validate("play", Version(1, 0), cells)
    entries: dict[str, list[EntryGateway]] = {cell.name: [] for cell in cells}
    for number in range(shape.gateways):
        location = location_of(number, shape)
        view = CellView(0, location)
        view.adopt(bare)
        for name in view.assigned:
            if len(entries[name]) < shape.entries:
                entries[name].append(EntryGateway(location.name, f"{location.name}.address"))
    return [replace(cell, entries=tuple(entries[cell.name])) for cell in cells]


def make_table(shape: Shape, number: int = 1, cells: Sequence[Cell] | None = None) -> CellTable:
    """The fleet's table, or that of the cells given. `number`: of its version."""
    if cells is None:
        cells = with_entries([bare_cell(each, shape) for each in range(shape.cells)], shape)
    return validate("play", Version(1, number), cells)
