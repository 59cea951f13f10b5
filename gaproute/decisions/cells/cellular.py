"""The decisions of a gateway in a fleet of cells: chooses the cell of each request, then the host within it.

`CellularGateway` has the interface of `gaproute.decisions.routing.Gateway`. While its table has at most one
cell, it delegates to one such gateway. With several cells, it has a `routing.Gateway` for each cell whose
host list it has (a known cell), and forwards requests for all other cells to their entry gateways.

Invariant: all known cells share one limit on load orders.
"""

from collections.abc import Sequence
from typing import Any

from gaproute.decisions.cells.actions import Actions, wakeup_of
from gaproute.decisions.cells.attempt_recorder import AttemptRecorder
from gaproute.decisions.cells.cell_router import CellRouter
from gaproute.decisions.cells.choice import CellSelector
from gaproute.decisions.cells.demand import Demand, FleetScope
from gaproute.decisions.cells.entries import CellUnknown, EntrySelector, Forwarded
from gaproute.decisions.cells.health import CellHealth
from gaproute.decisions.cells.homes import HomeCells
from gaproute.decisions.cells.housekeeping import Housekeeper
from gaproute.decisions.cells.loads import CellLoads
from gaproute.decisions.cells.local_cells import LocalCells
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.cells.remote_cells import RemoteCells
from gaproute.decisions.cells.request_progress import RequestProgress
from gaproute.decisions.cells.spill import SpillBudget
from gaproute.decisions.cells.table import CellTable
from gaproute.decisions.cells.views import CellView
from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.routing import Gateway
from gaproute.interface import (
    HostLoadReport,
    ListedHost,
    Outcome,
    RejectReason,
    Request,
    Result,
    RoutingSettings,
    Wait,
)

# Combined with the seed, so that the random numbers for cells differ from those for hosts
CHANCE_SALT = 0x63656C6C


class CellularGateway:
    """The decisions of one gateway; times are ns of the clock of `now`.

    `single_gateway` decides while there is at most one cell, else it is None. `previous_single_gateway` is
    the one that decided before the fleet had several cells. `homes`, `selector` and `router` decide while
    `single_gateway` is None.
    """

    def __init__(
        self, seed: int, routing_settings: RoutingSettings, now: int, location: GatewayLocation | None = None
    ) -> None:
        """Without a `location`, tables with several cells are rejected."""
        self.routing_settings, self.location = routing_settings, location
        self.single_gateway: Gateway | None = Gateway(seed, routing_settings, now)
        self.previous_single_gateway: Gateway | None = None
        self.table: CellTable | None = None
        self.chance = RandomGenerator(seed ^ CHANCE_SALT)
        self.local = LocalCells(seed, routing_settings)
        self.entries = EntrySelector(location.name if location else "")
        self.demand = Demand(now, self._fleet_scope(1.0))
        self.health = CellHealth(self.entries.own_name, self.chance, location)
        self.loads, self.spill = CellLoads(), SpillBudget()
        self.recorder = AttemptRecorder(self.local, self.entries, self.health, self.demand, self.loads)
        self.remote = RemoteCells(
            self.entries, self.health, self.local, cancel_allowed=routing_settings.cancel_allowed
        )
        self.view = CellView(now, location) if location else None
        self.homes: HomeCells | None = None
        self.selector: CellSelector | None = None
        self.router: CellRouter | None = None

    def __getattr__(self, name: str) -> Any:
        # Drivers and transports read attributes of `routing.Gateway`: these are delegated to the single
        # gateway.
        single = self.__dict__.get("single_gateway")
        if single is None:
            raise AttributeError(
                f"{name!r} is an attribute of a single cell's gateway; there are several cells"
            )
        return getattr(single, name)

    # The table and the host lists

    def adopt(self, now: int, table: CellTable) -> None:
        """Replaces the cell table by a newer one. Errors: ValueError for several cells without a location."""
        several = len(table.cells) > 1
        if several and self.view is None:
            raise ValueError("a gateway without a location cannot use a table with several cells")
        if several and self.single_gateway is not None:
            self._switch_to_several_cells(table)
        self.table = table
        self.recorder.adopt(table)
        if self.router is not None:
            self.router.table = table
        if several:
            self._adopt_several_cells(table)
        elif self.single_gateway is None:
            self._switch_to_one_cell(now, table)

    def cells_to_follow(self) -> tuple[str, ...]:
        """The cells whose host lists the caller has to follow for this gateway."""
        if self.single_gateway is not None:
            return (self.table.cells[0].name,) if self.table else ()
        return self._cells_in_view()

    def update_hosts(
        self, now: int, rows: Sequence[ListedHost], *, complete: bool, cell: str | None = None
    ) -> None:
        """Updates the hosts of a cell, or those of the whole fleet while it has at most one cell."""
        if self.single_gateway is not None:
            self.single_gateway.update_hosts(now, rows, complete=complete)
        elif cell is not None and cell in self._cells_in_view():
            self.local.update_hosts(now, cell, rows, complete=complete)

    def _cells_in_view(self) -> tuple[str, ...]:
        return self.view.cell_names() if self.view is not None else ()

    def _adopt_several_cells(self, table: CellTable) -> None:
        assert self.location is not None  # `adopt` has checked it
        assert self.view is not None
        if self.homes is None:
            self.homes = HomeCells(table, regions=(self.location.region,))
        self.homes.adopt(table)
        if self.selector is None:
            self.selector = CellSelector(
                self.location, self.homes, self.demand, self.loads, self.health, self.chance
            )
        self.selector.adopt(table)
        self.health.adopt(table)
        self.entries.adopt(table)
        self.loads.adopt(table.by_name)
        self.view.adopt(table)
        self.local.retain(self.view.cell_names())
        self.demand.scope = self._fleet_scope(self.selector.regional_cells / len(table.cells))
        if self.router is None:
            self.router = CellRouter(
                table, self.selector, self.view, self.local, self.remote, self.recorder, self.spill
            )
        self.router.selector = self.selector

    def _switch_to_several_cells(self, table: CellTable) -> None:
        """Changes from one cell to several.

        The gateway of the single cell stays in use if its cell is still in the table and in the view.
        """
        single = self.single_gateway
        if self.table is not None and self.table.cells[0].name in table.by_name and single is not None:
            self.local.add(self.table.cells[0].name, single)
            self.local.load_order_limiter = single.load_order_limiter
        self.previous_single_gateway, self.single_gateway = single, None

    def _switch_to_one_cell(self, now: int, table: CellTable) -> None:
        """Changes from several cells to one."""
        known = self.local.gateways.get(table.cells[0].name)
        self.single_gateway = known if known is not None else self.local.new_gateway(now)
        self.previous_single_gateway = self.homes = self.selector = None
        self.local.retain(())

    def _fleet_scope(self, regional_share: float) -> FleetScope:
        gateways = self.routing_settings.gateways
        regional = max(1, round(gateways * regional_share))
        return FleetScope(gateways, regional, max(1, self.routing_settings.keep_alive))

    # Requests

    def serve(self, now: int, request: Request, forwarded: Forwarded | None = None) -> Actions[None]:
        """Yields the actions for one request, up to its final answer.

        `forwarded` is set if another gateway forwarded the request to this one.
        """
        if self.single_gateway is None:
            assert self.router is not None
            return self.router.serve(
                RequestProgress(now, request, self.routing_settings, forwarded), forwarded
            )
        if forwarded is not None and not self._knows_hosts_of(forwarded.cell):
            return self._reject_unknown_cell(RequestProgress(now, request, self.routing_settings, forwarded))
        actions: Actions[None] = self.single_gateway.serve(now, request)
        return actions

    def attempt_ended(self, now: int, outcome: Outcome) -> None:
        """Records the outcome of an attempt, whether or not its request is still in flight."""
        if self.recorder.record_outcome(now, outcome):
            return
        gateway = self.single_gateway or self.previous_single_gateway  # sent while there was one cell
        if gateway is not None:
            gateway.attempt_ended(now, outcome)

    def probe_ended(self, now: int, host: str, report: HostLoadReport | None, *, good: bool) -> bytes | None:
        """Records the result of a health check; returns the message for all other gateways, or None."""
        gateway = self.single_gateway or self.local.gateway_of_host(host)
        if gateway is None:
            return None
        payload: bytes | None = gateway.probe_ended(now, host, report, good=good)
        return payload

    def load_order_ended(
        self, now: int, host: str, function: str, result: Result | None, copies: int
    ) -> None:
        """Records the end of a load order."""
        gateway = self.single_gateway or self.local.gateway_of_host(host)
        if gateway is not None:
            gateway.load_order_ended(now, host, function, result, copies)

    def peer_message_received(self, now: int, payload: bytes, cell: str | None = None) -> None:
        """Processes another gateway's message about the load of a host."""
        gateway = self.single_gateway or (self.local.gateways.get(cell) if cell is not None else None)
        if gateway is not None:
            gateway.peer_message_received(now, payload)

    def _knows_hosts_of(self, cell: str) -> bool:
        """Whether that cell is the only one and it has an active host."""
        assert self.single_gateway is not None
        return (
            self.table is not None and cell in self.table.by_name and bool(self.single_gateway.active_hosts)
        )

    def _reject_unknown_cell(self, progress: RequestProgress) -> Actions[None]:
        """Rejects a request that was forwarded to this gateway for a cell that it does not know."""
        yield CellUnknown(progress.retry_after, RejectReason.CELL_UNKNOWN)

    # Housekeeping and shutdown

    @property
    def end_by(self) -> int:
        """The time by which every request must have its final answer, because the process ends (ns)."""
        end_by: int = self.single_gateway.end_by if self.single_gateway is not None else self.local.end_by
        return end_by

    @end_by.setter
    def end_by(self, when: int) -> None:
        if self.single_gateway is not None:
            self.single_gateway.end_by = when
        self.local.set_end_by(when)

    def housekeep(self, now: int) -> Actions[None]:
        """Yields the actions of the housekeeping of all known cells, and reviews the view.

        The housekeeping of a cell consists of health checks, list updates and cleanup.
        """
        housekeeper: Housekeeper | None = None  # of the single cell
        while True:
            if self.single_gateway is not None:
                if housekeeper is None or housekeeper.gateway is not self.single_gateway:
                    housekeeper = Housekeeper(self.single_gateway, now)
                yield from housekeeper.advance(now)
                due = housekeeper.due
            else:
                housekeeper = None
                yield from self.local.housekeep(now)
                due = self.local.next_housekeeping(now)
                if self.view is not None and self.view.review(now):
                    self.local.retain(self.view.cell_names())
            resumed = yield Wait(due)
            now = wakeup_of(resumed).now
