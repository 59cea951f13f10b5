"""A gateway of a fleet of cells: it picks the cell of each call, then leaves the call to that cell.

`CellularGateway` is driven as `gaproute.decisions.routing.Gateway` is, and is one for as long as its
table has at most one cell: the calls go straight through. With several cells it has a `routing.Gateway`
for each cell that it knows, and forwards the calls of all others to their entry gateways.

Invariant: all cells known share one load ration.
"""

from gaproute.decisions.cells.choice import CellSelector
from gaproute.decisions.cells.demand import Demand, FleetScope
from gaproute.decisions.cells.entries import EntrySelector, Forwarded
from gaproute.decisions.cells.health import CellHealth
from gaproute.decisions.cells.homes import HomeCells
from gaproute.decisions.cells.journey import Journey
from gaproute.decisions.cells.loads import CellLoads
from gaproute.decisions.cells.local import LocalCells
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.cells.spill import SpillBudget
from gaproute.decisions.cells.tasks import CellTasks
from gaproute.decisions.cells.views import CellView
from gaproute.decisions.chance import Chance
from gaproute.decisions.routing import Gateway
from gaproute.interface import Outcome, Request, Wait

CHANCE_SALT = 0x63656C6C  # the chance that picks cells is another than that which picks hosts


class CellularGateway(CellTasks):
    """See the module. `place`: this gateway's name, region and zone; None: it never has several cells."""

    def __init__(self, seed, terms, now, place: GatewayLocation | None = None):
        self.terms, self.place = terms, place
        self.single = Gateway(seed, terms, now)  # used while there is at most one cell
        self.previous_single = None  # the gateway used before the fleet had several cells
        self.table = None
        self.attempts = {}  # (task, relay): CellAttempt
        self.local = LocalCells(seed, terms)
        self.entries = EntrySelector(place.name if place else "")
        self.chance = Chance(seed ^ CHANCE_SALT)
        self.view = CellView(now, place) if place else None
        self.demand = Demand(now, FleetScope(terms.gateways, terms.gateways, max(1, terms.keep_alive)))
        self.health = CellHealth(self.entries.own_name, self.chance, place)
        self.loads, self.spill = CellLoads(), SpillBudget()
        self.homes = self.selector = None

    def __getattr__(self, name):
        # What else drivers and carriers ask of a gateway is that of the one cell.
        single = self.__dict__.get("single")
        if single is None:
            raise AttributeError(f"{name!r} is of one cell's gateway, and there are several cells")
        return getattr(single, name)

    # The table and the host lists

    def adopt(self, now: int, table):
        """Go by a newer cell table, as the holder took it."""
        several = len(table.cells) > 1
        if several and self.place is None:
            raise ValueError("a gateway without a place cannot go by several cells")
        if several and self.single is not None:
            self._divide(table)
        self.table = table
        if not several:
            if self.single is None:
                self._unite(now, table)
            return
        if self.homes is None:
            self.homes = HomeCells(table, regions=(self.place.region,))
            self.selector = CellSelector(
                self.place, self.homes, self.demand, self.loads, self.health, self.chance
            )
        self.homes.adopt(table)
        self.selector.adopt(table)
        self.health.adopt(table)
        self.entries.adopt(table)
        self.loads.adopt(table.by_name)
        self.view.adopt(table)
        self.local.retain(self.view.names())
        self._rescope()

    def wanted(self) -> tuple[str, ...]:
        """The cells whose host lists this gateway should be given."""
        if self.single is not None:
            return (self.table.cells[0].name,) if self.table else ()
        return self.view.names()

    def listed(self, now, rows, complete, cell=None):
        """Hosts of a cell, or of the whole fleet while there is one cell."""
        if self.single is not None:
            self.single.listed(now, rows, complete)
        elif cell in self.view.names():
            self.local.listed(now, cell, rows, complete)

    def _divide(self, table):
        """From one cell to several. Its gateway goes on where its cell is still there and in view."""
        if self.table is not None and self.table.cells[0].name in table.by_name:
            self.local.add(self.table.cells[0].name, self.single)
            self.local.ration = self.single.ration
        self.previous_single, self.single = self.single, None

    def _unite(self, now, table):
        """From several cells to one."""
        self.single = self.local.gateways.get(table.cells[0].name)
        if self.single is None:
            self.single = Gateway(self.local.seed, self.terms, now)
            self.single.ration = self.local.ration
            if self.local.end_by is not None:
                self.single.end_by = self.local.end_by
        self.previous_single = self.homes = self.selector = None
        self.local.retain(())

    def _rescope(self):
        share = self.selector.regional_cells / len(self.table.cells)
        gateways = self.terms.gateways
        self.demand.scope = FleetScope(
            gateways, max(1, round(gateways * share)), max(1, self.terms.keep_alive)
        )

    # Tasks

    def serve(self, now: int, task: Request, forwarded: Forwarded | None = None):
        """One task, from acceptance to its one final answer; `forwarded` where another gateway sent it."""
        if self.single is None:
            return self.travel(Journey(now, task, self.terms, forwarded), forwarded)
        if forwarded is not None and not self._leads_into(forwarded.cell):
            return self.reject_unknown(Journey(now, task, self.terms, forwarded))
        return self.single.serve(now, task)

    def _leads_into(self, cell):
        """Whether, with one cell at most, that is the cell and a host of it is known."""
        return self.table is not None and cell in self.table.by_name and bool(self.single.fleet)

    def heard(self, now: int, outcome: Outcome):
        """Book one relay's outcome, whether or not its task is still held."""
        hand = self.attempts.pop((outcome.request, outcome.attempt), None)
        if hand is not None:
            self.heard_in_cell(now, outcome, hand)
        elif (gateway := self.single or self.previous_single) is not None:  # sent while there was one cell
            gateway.heard(now, outcome)

    def probed(self, now, worker, good, report):
        """A probe's answer; returns what all other gateways are to be told, or None."""
        gateway = self.single or self.local.of_worker(worker)
        return gateway.probed(now, worker, good, report) if gateway is not None else None

    def stood(self, now, worker, function, result, copies):
        """A load order's answer."""
        gateway = self.single or self.local.of_worker(worker)
        if gateway is not None:
            gateway.stood(now, worker, function, result, copies)

    def told(self, now, words, cell=None):
        """Another gateway told of a host's load."""
        gateway = self.single or self.local.gateways.get(cell)
        if gateway is not None:
            gateway.told(now, words)

    # Beside the tasks

    @property
    def end_by(self):
        """When every task must have its answer, as the process ends."""
        return self.single.end_by if self.single is not None else self.local.end_by

    @end_by.setter
    def end_by(self, when):
        if self.single is not None:
            self.single.end_by = when
        self.local.set_end(when)

    def housekeep(self, now):
        """Probes, lists and what is forgotten, of all cells known, and the review of the view."""
        keeper, held = None, None
        while True:
            if self.single is not None:
                if self.single is not held:
                    keeper, held = self.single.housekeep(now), self.single
                    wish = next(keeper)
                else:
                    wish = keeper.send((now, None))
                while not isinstance(wish, Wait):
                    yield wish
                    wish = keeper.send(None)
                due = wish.until
            else:
                held = None
                due = yield from self.local.housekeep(now)
                if self.view.review(now):
                    self.local.retain(self.view.names())
            now, _ = yield Wait(due)
