"""The decisions by cells as a part: fed the table and the host lists of the cells that they want.

Once a second the way of a call is sought: into a known cell, or to an entry gateway that the table names.
"""

from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.routing.housekeeping import CLEANUP_INTERVAL
from gaproute.hollow.cells.ways import Ways
from gaproute.hollow.parts import Part

SECOND = 1_000_000_000
LOOK = SECOND  # between two looks at what is wanted


class KnownHosts:
    """All cells known, as the gossip of demand sees one gateway's decisions."""

    def __init__(self, gateway):
        self.cellular = gateway

    def gateways(self):
        """The decisions of each cell known."""
        return list(self.cellular.local.gateways.values())

    @property
    def active_hosts(self):
        """The hosts that take calls."""
        return [host for gateway in self.gateways() for host in gateway.active_hosts]

    @property
    def hosts_by_id(self):
        """{name: host}"""
        return {name: host for gateway in self.gateways() for name, host in gateway.hosts_by_id.items()}

    def observations_since(self, now, since):
        """What was seen of copies since then."""
        for gateway in self.gateways():
            yield from gateway.observations_since(now, since)


class CellHosts(Part):
    """Needs the part `tables`. `gateway` is what the gossip of demand is fed from."""

    def __init__(self, surroundings, parts):
        self.surroundings, self.loop, self.tables = surroundings, surroundings.loop, parts["tables"]
        now, terms = self.loop.now(), surroundings.configuration.terms
        self.cellular = CellularGateway(surroundings.seed, terms, now, surroundings.place)
        self.gateway, self.followers = KnownHosts(self.cellular), []
        self.ways = Ways(surroundings, self.cellular)
        self.given, self.lists = {}, 0  # cell: the rows that the decisions were given last
        self.due, self.tidy_at = now, now + CLEANUP_INTERVAL
        self.tables.carrier.on_table(self._adopted)

    def _adopted(self, table):
        self.cellular.adopt(self.loop.now(), table)
        self._feed()

    def _feed(self):
        """Gives the decisions the lists that they want and lack, or that changed."""
        rows = {cell: self.surroundings.host_rows(cell) for cell in self.cellular.wanted()}
        fresh = {cell: listed for cell, listed in rows.items() if self.given.get(cell) is not listed}
        changed = fresh or rows.keys() != self.given.keys()
        self.given = rows
        for cell, listed in fresh.items():
            self.cellular.update_hosts(self.loop.now(), listed, True, cell)
            self.lists += 1
        if changed:
            lives = {row.host: row.started for listed in rows.values() for row in listed}
            for follower in self.followers:
                follower(lives)

    def tick(self, now):
        """Seeks a way, looks at what is wanted, forgets hosts that left."""
        self.due = now + LOOK
        if self.cellular.table is None:
            return
        self.ways.call(now)
        if self.cellular.view.review(now):
            self.cellular.local.retain(self.cellular.view.names())
        self._feed()
        if now >= self.tidy_at:
            self.tidy_at = now + CLEANUP_INTERVAL
            for gateway in self.gateway.gateways():
                gateway.forget_departed_hosts()

    @property
    def ready(self):
        """Whether the host lists of all cells wanted are held."""
        wanted = self.cellular.wanted() if self.cellular.table is not None else ()
        return bool(wanted) and all(cell in self.cellular.local.gateways for cell in wanted)

    def counters(self):
        """`entries`: hosts listed and held; beside them the counts of `Ways`."""
        known = self.gateway.gateways()
        return {
            "entries": sum(map(len, self.given.values())) + sum(len(each.hosts_by_id) for each in known),
            "lists": self.lists,
            "cells": len(known),
        } | self.ways.counts
