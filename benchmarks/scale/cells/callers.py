"""Gateways of which only the choice of a cell is played."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from itertools import islice
from random import Random
from typing import NamedTuple

from benchmarks.scale.cells.fleet import location_of
from benchmarks.scale.cells.gateways import CallEnd
from benchmarks.scale.cells.terms import CALL_TIME, IDEMPOTENT
from benchmarks.scale.cells.world import HOP_MARK, CellWorld
from gaproute import interface as face
from gaproute.decisions.cells.choice import CellSelector
from gaproute.decisions.cells.demand import Demand, FleetScope
from gaproute.decisions.cells.entries import EntrySelector, ForwardAttempt, Forwarded
from gaproute.decisions.cells.health import CellHealth
from gaproute.decisions.cells.homes import HomeCells
from gaproute.decisions.cells.loads import CellLoads
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.cells.table import CellTable
from gaproute.decisions.chance import RandomGenerator

MAX_CELLS_TRIED = 3

OnFound = Callable[
    [face.InstanceStatus | None], object
]  # takes what the host found; None where the call failed


class Caller(NamedTuple):
    """What one gateway has of its own."""

    location: GatewayLocation
    demand: Demand
    entries: EntrySelector
    table: CellTable


class Callers:
    """Each decides by its own count of arrivals, and a share of them by an older table."""

    def __init__(
        self, world: CellWorld, table: CellTable, old_table: CellTable, *, old_share: float, random: Random
    ) -> None:
        self._world, self._random, self._old_share = world, random, old_share
        self._tables = (table, old_table)
        self._callers: dict[int, Caller] = {}  # by number
        self._selectors: dict[tuple[str, bool], CellSelector] = {}  # by region, and whether the table is old

    def call(self, number: int, function: str, on_found: OnFound) -> None:
        """A call that comes to the gateway of that number; `on_found` is called once."""
        location = location_of(number, self._world.shape)
        gateway = self._world.gateways.get(location.name)
        if gateway is not None:
            self._world.call(gateway, function, on_end=lambda end, found: on_found(found))
            return
        caller = self._caller(number, location)
        selector = self._selector(caller)
        selector.demand = caller.demand
        now = self._world.clock.now
        caller.demand.record_arrival(now, function)
        choices = islice(selector.choices(now, function), MAX_CELLS_TRIED)
        self._forward(caller, function, [choice.cell for choice in choices], on_found)

    def _caller(self, number: int, location: GatewayLocation) -> Caller:
        if number not in self._callers:
            shape = self._world.shape
            scope = FleetScope(shape.gateways, shape.gateways // shape.regions, self._world.keep_alive)
            table = self._tables[self._random.random() < self._old_share]
            demand, entries = Demand(0, scope), EntrySelector(location.name)
            self._callers[number] = Caller(location, demand, entries, table)
        return self._callers[number]

    def _selector(self, caller: Caller) -> CellSelector:
        """That of the caller's region and table; its demand is set for each call."""
        location, table = caller.location, caller.table
        key = location.region, table is not self._tables[0]
        if key not in self._selectors:
            homes = HomeCells(table, regions=(location.region,))
            health = CellHealth(location.name, RandomGenerator(1), location)
            health.adopt(table)
            chance = RandomGenerator(len(self._selectors))
            self._selectors[key] = CellSelector(location, homes, caller.demand, CellLoads(), health, chance)
        return self._selectors[key]

    def _forward(self, caller: Caller, function: str, cells: Sequence[str], on_found: OnFound) -> None:
        """To an entry of the first cell; what is rejected goes on to the next."""
        if not cells:
            on_found(None)
            return
        now = self._world.clock.now
        entry = caller.entries.pick(now, caller.table.by_name[cells[0]])
        gateway = self._world.gateways.get(entry.name) if entry is not None else None
        if entry is None or gateway is None or not gateway.is_up:
            self._forward(caller, function, cells[1:], on_found)
            return

        def on_end(end: CallEnd, reason: str, found: face.InstanceStatus) -> None:
            if end is CallEnd.DELIVERED:
                on_found(found)
            else:
                self._world.count(f"entry {end}")
                self._forward(caller, function, cells[1:], on_found)

        request_id = f"c{self._world.next_serial()}{HOP_MARK}"
        action = ForwardAttempt(entry, 0, Forwarded(cells[0], 1))
        request = face.Request(request_id, 0, CALL_TIME, function, 1, None, IDEMPOTENT)
        delay = self._world.network.delay(caller.location.zone, gateway.zone)
        assert delay is not None  # nothing is lost or cut in these plays
        self._world.clock.after(delay, gateway.take, request, on_end, action.forwarded)
