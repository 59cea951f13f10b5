"""A gateway of a fleet of cells: it picks the cell of each request, then leaves the request to that cell.

`CellularGateway` has the interface of `gaproute.decisions.routing.Gateway`. While its table has at most one
cell it passes requests to one such gateway. With several cells it has a `routing.Gateway` for each cell that
it knows, and forwards the requests of all other cells to their entry gateways.

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

CHANCE_SALT = 0x63656C6C  # makes the random numbers that pick cells differ from those that pick hosts


class CellularGateway:
    """The decisions of one gateway; times are ns of the clock of `now`.

    `single`: the gateway that decides while there is at most one cell, else None; `previous_single`: the one
    before the fleet had several. `homes`, `selector` and `router` decide while `single` is None.
    """

    def __init__(
        self, seed: int, terms: RoutingSettings, now: int, location: GatewayLocation | None = None
    ) -> None:
        """Without a `location` the gateway can never have several cells."""
        self.terms, self.location = terms, location
        self.single: Gateway | None = Gateway(seed, terms, now)
        self.previous_single: Gateway | None = None
        self.table: CellTable | None = None
        self.chance = RandomGenerator(seed ^ CHANCE_SALT)
        self.local = LocalCells(seed, terms)
        self.entries = EntrySelector(location.name if location else "")
        self.demand = Demand(now, self._fleet_scope(1.0))
        self.health = CellHealth(self.entries.own_name, self.chance, location)
        self.loads, self.spill = CellLoads(), SpillBudget()
        self.recorder = AttemptRecorder(self.local, self.entries, self.health, self.demand, self.loads)
        self.remote = RemoteCells(self.entries, self.health, self.local, cancel_allowed=terms.cancel_allowed)
        self.view = CellView(now, location) if location else None
        self.homes: HomeCells | None = None
        self.selector: CellSelector | None = None
        self.router: CellRouter | None = None

    def __getattr__(self, name: str) -> Any:
        # Other attributes that drivers and transports read are those of the gateway of the one cell.
        single = self.__dict__.get("single")
        if single is None:
            raise AttributeError(f"{name!r} is of one cell's gateway, and there are several cells")
        return getattr(single, name)

    # The table and the host lists

    def adopt(self, now: int, table: CellTable) -> None:
        """Uses a newer cell table from now on. Errors: ValueError for several cells without a location."""
        several = len(table.cells) > 1
        if several and self.view is None:
            raise ValueError("a gateway without a place cannot go by several cells")
        if several and self.single is not None:
            self._divide(table)
        self.table = table
        self.recorder.adopt(table)
        if self.router is not None:
            self.router.table = table
        if several:
            self._adopt_cells(table)
        elif self.single is None:
            self._unite(now, table)

    def wanted(self) -> tuple[str, ...]:
        """The cells whose host lists this gateway should be given."""
        if self.single is not None:
            return (self.table.cells[0].name,) if self.table else ()
        return self._cells_in_view()

    def update_hosts(
        self, now: int, rows: Sequence[ListedHost], *, complete: bool, cell: str | None = None
    ) -> None:
        """Takes over the hosts of a cell, or those of the whole fleet while there is one cell."""
        if self.single is not None:
            self.single.update_hosts(now, rows, complete=complete)
        elif cell is not None and cell in self._cells_in_view():
            self.local.update_hosts(now, cell, rows, complete=complete)

    def _cells_in_view(self) -> tuple[str, ...]:
        return self.view.names() if self.view is not None else ()

    def _adopt_cells(self, table: CellTable) -> None:
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
        self.local.retain(self.view.names())
        self.demand.scope = self._fleet_scope(self.selector.regional_cells / len(table.cells))
        if self.router is None:
            self.router = CellRouter(
                table, self.selector, self.view, self.local, self.remote, self.recorder, self.spill
            )
        self.router.selector = self.selector

    def _divide(self, table: CellTable) -> None:
        """Changes from one cell to several; the gateway of the one goes on if its cell is still there and in
        view.
        """
        single = self.single
        if self.table is not None and self.table.cells[0].name in table.by_name and single is not None:
            self.local.add(self.table.cells[0].name, single)
            self.local.load_order_limiter = single.load_order_limiter
        self.previous_single, self.single = single, None

    def _unite(self, now: int, table: CellTable) -> None:
        """Changes from several cells to one."""
        known = self.local.gateways.get(table.cells[0].name)
        self.single = known if known is not None else self.local.new_gateway(now)
        self.previous_single = self.homes = self.selector = None
        self.local.retain(())

    def _fleet_scope(self, regional_share: float) -> FleetScope:
        gateways = self.terms.gateways
        regional = max(1, round(gateways * regional_share))
        return FleetScope(gateways, regional, max(1, self.terms.keep_alive))

    # Requests

    def serve(self, now: int, request: Request, forwarded: Forwarded | None = None) -> Actions[None]:
        """The generator of one request, up to its final answer; `forwarded`: set if another gateway sent
        it.
        """
        if self.single is None:
            assert self.router is not None
            return self.router.serve(RequestProgress(now, request, self.terms, forwarded), forwarded)
        if forwarded is not None and not self._knows_hosts_of(forwarded.cell):
            return self._reject_unknown(RequestProgress(now, request, self.terms, forwarded))
        actions: Actions[None] = self.single.serve(now, request)
        return actions

    def attempt_ended(self, now: int, outcome: Outcome) -> None:
        """Records the outcome of an attempt, whether or not its request is still in flight."""
        if self.recorder.record(now, outcome):
            return
        gateway = self.single or self.previous_single  # the attempt was sent while there was one cell
        if gateway is not None:
            gateway.attempt_ended(now, outcome)

    def probe_ended(self, now: int, host: str, report: HostLoadReport | None, *, good: bool) -> bytes | None:
        """Accounts for a health check; returns the message for all other gateways, or None."""
        gateway = self.single or self.local.of_host(host)
        if gateway is None:
            return None
        payload: bytes | None = gateway.probe_ended(now, host, report, good=good)
        return payload

    def load_order_ended(
        self, now: int, host: str, function: str, result: Result | None, copies: int
    ) -> None:
        """Accounts for the end of a load order."""
        gateway = self.single or self.local.of_host(host)
        if gateway is not None:
            gateway.load_order_ended(now, host, function, result, copies)

    def peer_message_received(self, now: int, payload: bytes, cell: str | None = None) -> None:
        """Takes another gateway's message about the load of a host."""
        gateway = self.single or (self.local.gateways.get(cell) if cell is not None else None)
        if gateway is not None:
            gateway.peer_message_received(now, payload)

    def _knows_hosts_of(self, cell: str) -> bool:
        """Whether the only cell is that one and a host of it is known."""
        assert self.single is not None
        return self.table is not None and cell in self.table.by_name and bool(self.single.active_hosts)

    def _reject_unknown(self, progress: RequestProgress) -> Actions[None]:
        """Rejects a request that was forwarded here for a cell which this gateway does not know."""
        yield CellUnknown(progress.retry_after, RejectReason.CELL_UNKNOWN)

    # Upkeep

    @property
    def end_by(self) -> int:
        """When every request must have its final answer, as the process ends (ns)."""
        end_by: int = self.single.end_by if self.single is not None else self.local.end_by
        return end_by

    @end_by.setter
    def end_by(self, when: int) -> None:
        if self.single is not None:
            self.single.end_by = when
        self.local.set_end(when)

    def housekeep(self, now: int) -> Actions[None]:
        """The generator of health checks, lists and cleanup of all known cells, and of reviews of the
        view.
        """
        housekeeper: Housekeeper | None = None  # of the single cell
        while True:
            if self.single is not None:
                if housekeeper is None or housekeeper.gateway is not self.single:
                    housekeeper = Housekeeper(self.single, now)
                yield from housekeeper.advance(now)
                due = housekeeper.due
            else:
                housekeeper = None
                yield from self.local.housekeep(now)
                due = self.local.next_housekeeping(now)
                if self.view is not None and self.view.review(now):
                    self.local.retain(self.view.names())
            resumed = yield Wait(due)
            now = wakeup_of(resumed).now
