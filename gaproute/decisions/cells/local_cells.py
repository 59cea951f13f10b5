"""The cells whose hosts this gateway knows: a `routing.Gateway` for each.

Invariants: all of them share one limit on load orders, so that knowing more cells does not allow more loads;
the outcome of an attempt goes to the gateway that sent it, even after its cell has left the view.
"""

from collections.abc import Collection, Iterator, Sequence
from typing import NamedTuple

from gaproute.decisions.cells.housekeeping import Housekeeper
from gaproute.decisions.routing import Gateway
from gaproute.decisions.routing.load_order_limiter import LoadOrderLimiter
from gaproute.decisions.routing.parameters import NEVER
from gaproute.interface import Action, HostLoadReport, ListedHost, RoutingSettings
from gaproute.units import SECOND

LOAD_MAX_AGE = SECOND  # for which the sum of the loads of a cell's hosts is cached
HOUSEKEEPING_INTERVAL = SECOND  # the longest time between two checks for housekeeping that is due


class _CachedLoad(NamedTuple):
    """Requests in flight at a cell's hosts, and when they were counted."""

    counted_at: int
    load: float


class LocalCells:
    """Gateways by cell. A cell counts as known once its complete host list has come.

    `end_by`: when every request must have its answer as the process ends, ns; `NEVER` while it does not end.
    """

    def __init__(self, seed: int, terms: RoutingSettings) -> None:
        self.seed, self.terms = seed, terms
        self.load_order_limiter = LoadOrderLimiter.from_settings(terms)
        self.gateways: dict[str, Gateway] = {}  # by cell
        self.loads: dict[str, _CachedLoad] = {}  # by cell
        self.housekeepers: dict[str, Housekeeper] = {}  # by cell
        self.end_by: int = NEVER

    def retain(self, names: Collection[str]) -> None:
        """Forgets all other cells."""
        for name in [name for name in self.gateways if name not in names]:
            del self.gateways[name]
            self.housekeepers.pop(name, None)
            self.loads.pop(name, None)

    def update_hosts(self, now: int, name: str, rows: Sequence[ListedHost], *, complete: bool) -> None:
        """Takes over the host list of a cell in view, or changes to it; changes before the first list are
        ignored.
        """
        gateway = self.gateways.get(name)
        if gateway is None:
            if not complete:
                return
            gateway = self.new_gateway(now)
            self.add(name, gateway)
        gateway.update_hosts(now, rows, complete=complete)

    def new_gateway(self, now: int) -> Gateway:
        """Makes a gateway that shares the limit on load orders and the end of the process."""
        gateway = Gateway(self.seed, self.terms, now, self.load_order_limiter)
        gateway.end_by = self.end_by
        return gateway

    def add(self, name: str, gateway: Gateway) -> None:
        """Adds a cell with a gateway that was made for it."""
        self.gateways[name] = gateway

    def set_end(self, when: int) -> None:
        """Sets the time by which every request must have its answer, as the process ends."""
        self.end_by = when
        for gateway in self.gateways.values():
            gateway.end_by = when

    def of_host(self, host: str) -> Gateway | None:
        """The gateway that knows the host, or None."""
        for gateway in self.gateways.values():
            if host in gateway.hosts_by_id:
                return gateway
        return None

    def load(self, now: int, name: str) -> float:
        """Requests in flight at the hosts of a known cell, as far as this gateway knows."""
        cached = self.loads.get(name)
        if cached is None or now - cached.counted_at >= LOAD_MAX_AGE:
            gateway = self.gateways[name]
            load = float(sum(gateway.request_count(host, 1, now) for host in gateway.active_hosts))
            cached = self.loads[name] = _CachedLoad(now, load)
        return cached.load

    def report(self, now: int, name: str) -> HostLoadReport | None:
        """The load of the cell, which an entry sends with each answer; None for a cell that it does not
        know.
        """
        return HostLoadReport(in_hand=self.load(now, name)) if name in self.gateways else None

    def housekeep(self, now: int) -> Iterator[Action]:
        """Advances the housekeeping of every cell where it is due; yields its actions."""
        for name, gateway in list(self.gateways.items()):
            housekeeper = self.housekeepers.get(name)
            if housekeeper is None:
                housekeeper = self.housekeepers[name] = Housekeeper(gateway, now)
            if now >= housekeeper.due:
                yield from housekeeper.advance(now)

    def next_housekeeping(self, now: int) -> int:
        """When `housekeep` is due again, ns."""
        due = (housekeeper.due for housekeeper in self.housekeepers.values())
        return min(now + HOUSEKEEPING_INTERVAL, min(due, default=now + HOUSEKEEPING_INTERVAL))
