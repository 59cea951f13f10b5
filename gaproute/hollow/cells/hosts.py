"""Hosts as a part in a fleet of cells: the decisions by cells, fed with the table and with host lists.

Once a second the route of a call is sampled: into a known cell, or to an entry gateway that the table names.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.table import CellTable
from gaproute.decisions.routing import Gateway
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.housekeeping import CLEANUP_INTERVAL
from gaproute.decisions.routing.observations import Observation
from gaproute.hollow.cells.environment import CellGatewayEnvironment
from gaproute.hollow.cells.route_sampler import RouteSampler
from gaproute.hollow.cells.tables import CellTablePart
from gaproute.hollow.host_list import HostListListener
from gaproute.hollow.parts import ControlPart, Parts
from gaproute.interface import ListedHost
from gaproute.units import SECOND

CHECK_INTERVAL = SECOND  # between checks which host lists are wanted


class HostsOfKnownCells:
    """The decisions of all known cells as one, as the gossip of demand needs them."""

    def __init__(self, cellular: CellularGateway) -> None:
        self._cellular = cellular

    def gateways(self) -> list[Gateway]:
        """The decisions of each known cell."""
        return list(self._cellular.local.gateways.values())

    @property
    def active_hosts(self) -> list[Host]:
        """The hosts that take requests."""
        return [host for gateway in self.gateways() for host in gateway.active_hosts]

    @property
    def hosts_by_id(self) -> dict[str, Host]:
        """All hosts by their name."""
        return {name: host for gateway in self.gateways() for name, host in gateway.hosts_by_id.items()}

    def observations_since(self, now: int, since: int) -> Iterator[Observation]:
        """What was observed of warm instances since then."""
        for gateway in self.gateways():
            yield from gateway.observations_since(now, since)


class CellHostsPart(ControlPart):
    """Needs the part `tables`. `decisions` is what the gossip of demand is fed from."""

    def __init__(self, environment: CellGatewayEnvironment, parts: Parts) -> None:
        self._environment, self._loop = environment, environment.loop
        now, routing_settings = self._loop.now(), environment.configuration.routing_settings
        self.cellular = CellularGateway(environment.seed, routing_settings, now, environment.location)
        self.decisions = HostsOfKnownCells(self.cellular)
        self.listeners: list[HostListListener] = []
        self._route_sampler = RouteSampler(environment, self.cellular)
        self._lists: dict[str, Sequence[ListedHost]] = {}  # by cell: as the decisions were given them last
        self._lists_given = 0
        self.next_tick: int = now
        self._cleanup_at: int = now + CLEANUP_INTERVAL
        tables: CellTablePart = parts["tables"]
        tables.transport.add_table_callback(self._adopt)

    def tick(self, now: int) -> None:
        """Sample a route, check which host lists are wanted, forget hosts that left."""
        self.next_tick = now + CHECK_INTERVAL
        if self.cellular.table is None:
            return
        self._route_sampler.sample(now)
        view = self.cellular.view
        assert view is not None
        if view.review(now):
            self.cellular.local.retain(view.cell_names())
        self._update_lists()
        if now >= self._cleanup_at:
            self._cleanup_at = now + CLEANUP_INTERVAL
            for gateway in self.decisions.gateways():
                gateway.forget_departed_hosts()

    @property
    def is_ready(self) -> bool:
        """Whether the host lists of all wanted cells are there."""
        wanted = self.cellular.cells_to_follow() if self.cellular.table is not None else ()
        return bool(wanted) and all(cell in self.cellular.local.gateways for cell in wanted)

    def counters(self) -> dict[str, int]:
        """`entries`: hosts listed, and hosts that the decisions hold; with the counts of the routes."""
        known = self.decisions.gateways()
        listed, held = sum(map(len, self._lists.values())), sum(len(each.hosts_by_id) for each in known)
        counters = {"entries": listed + held, "lists": self._lists_given, "cells": len(known)}
        return counters | self._route_sampler.counts

    def _adopt(self, table: CellTable) -> None:
        self.cellular.adopt(self._loop.now(), table)
        self._update_lists()

    def _update_lists(self) -> None:
        """Give the decisions the lists that they want and lack, or that have changed."""
        lists = {cell: self._environment.host_rows(cell) for cell in self.cellular.cells_to_follow()}
        changed = {cell: rows for cell, rows in lists.items() if self._lists.get(cell) is not rows}
        any_change = changed or lists.keys() != self._lists.keys()
        self._lists = lists
        for cell, rows in changed.items():
            self.cellular.update_hosts(self._loop.now(), rows, complete=True, cell=cell)
            self._lists_given += 1
        if any_change:
            starts = {row.host: row.started for rows in lists.values() for row in rows}
            for listener in self.listeners:
                listener(starts)
