"""What a gateway of a fleet of cells stands on beside what every hollow gateway does."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from gaproute.decisions.cells.location import GatewayLocation
from gaproute.hollow.parts import GatewayEnvironment
from gaproute.shared.dissemination import Peer
from gaproute.storage.cell_table_file import StoredTable


@dataclass(kw_only=True)
class CellGatewayEnvironment(GatewayEnvironment):
    """`seeds`: configured peers outside the own cell; `kept`: the table on the gateway's disk, None for none.

    `open_giver(address)` and `open_puller(loop, name)` make what answers and what asks for whole tables;
    `host_rows(cell)` tells a cell's host list; `reach(entry, cell)`: whether that entry gateway is there and
    knows the cell; `shared_tables`, `shared_candidates`: tables, and the peers that they name, by version and
    digest for those that share them.
    """

    place: GatewayLocation
    fleet_name: str
    seeds: tuple[Peer, ...]
    kept: StoredTable | None
    open_giver: Callable
    open_puller: Callable
    host_rows: Callable
    reach: Callable
    shared_tables: dict[Any, Any]
    shared_candidates: dict[Any, Any]
