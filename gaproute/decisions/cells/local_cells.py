"""The known cells, whose host lists this gateway has: a `routing.Gateway` for each.

Invariants: all known cells share one limit on load orders, so that knowing more cells does not allow more
loads; the outcome of an attempt goes to the gateway that sent the attempt, even after its cell has left the
view.
"""

from collections.abc import Collection, Iterator, Sequence
from typing import NamedTuple

from gaproute.decisions.cells.housekeeping import Housekeeper
from gaproute.decisions.routing import Gateway
from gaproute.decisions.routing.load_order_limiter import LoadOrderLimiter
from gaproute.decisions.routing.parameters import NEVER
from gaproute.interface import Action, HostLoadReport, ListedHost, RoutingSettings
from gaproute.units import SECOND

LOAD_CACHE_TIME = SECOND  # for the sum of the loads of the hosts of a cell
MAX_HOUSEKEEPING_INTERVAL = SECOND  # between two checks for due housekeeping


class _CachedLoad(NamedTuple):
    """The number of requests in flight at the hosts of a cell, and the time at which they were counted."""

    counted_at: int
    load: float


class LocalCells:
    """The gateways of known cells. A cell is known once its complete host list has been received.

    `end_by`: the time by which every request must have its answer because the process ends, ns, or `NEVER`.
    """

    def __init__(self, seed: int, routing_settings: RoutingSettings) -> None:
        self.seed, self.routing_settings = seed, routing_settings
        self.load_order_limiter = LoadOrderLimiter.from_settings(routing_settings)
        self.gateways: dict[str, Gateway] = {}  # by cell
        self.loads: dict[str, _CachedLoad] = {}  # by cell
        self.housekeepers: dict[str, Housekeeper] = {}  # by cell
        self.end_by: int = NEVER

    def retain(self, names: Collection[str]) -> None:
        """Drops all cells except the named ones."""
        for name in [name for name in self.gateways if name not in names]:
            del self.gateways[name]
            self.housekeepers.pop(name, None)
            self.loads.pop(name, None)

    def update_hosts(self, now: int, name: str, rows: Sequence[ListedHost], *, complete: bool) -> None:
        """Updates the hosts of a cell in view, by its complete list or by changes to it.

        Changes that arrive before the first complete list are ignored.
        """
        gateway = self.gateways.get(name)
        if gateway is None:
            if not complete:
                return
            gateway = self.new_gateway(now)
            self.add(name, gateway)
        gateway.update_hosts(now, rows, complete=complete)

    def new_gateway(self, now: int) -> Gateway:
        """Makes a gateway for a cell, with the shared limit on load orders and the current `end_by`."""
        gateway = Gateway(self.seed, self.routing_settings, now, self.load_order_limiter)
        gateway.end_by = self.end_by
        return gateway

    def add(self, name: str, gateway: Gateway) -> None:
        """Adds a known cell and its gateway."""
        self.gateways[name] = gateway

    def set_end_by(self, when: int) -> None:
        """Sets the time by which every request must have its answer because the process ends, ns."""
        self.end_by = when
        for gateway in self.gateways.values():
            gateway.end_by = when

    def gateway_of_host(self, host: str) -> Gateway | None:
        """The gateway of the cell that has the host, or None."""
        for gateway in self.gateways.values():
            if host in gateway.hosts_by_id:
                return gateway
        return None

    def load(self, now: int, name: str) -> float:
        """The number of requests in flight at the hosts of a known cell, as this gateway estimates it."""
        cached = self.loads.get(name)
        if cached is None or now - cached.counted_at >= LOAD_CACHE_TIME:
            gateway = self.gateways[name]
            load = float(sum(gateway.request_count(host, 1, now) for host in gateway.active_hosts))
            cached = self.loads[name] = _CachedLoad(now, load)
        return cached.load

    def load_report(self, now: int, name: str) -> HostLoadReport | None:
        """The load of a known cell, which an entry gateway sends with each answer; None for other cells."""
        return HostLoadReport(in_hand=self.load(now, name)) if name in self.gateways else None

    def housekeep(self, now: int) -> Iterator[Action]:
        """Yields the actions of the housekeeping that is due, over all known cells."""
        for name, gateway in list(self.gateways.items()):
            housekeeper = self.housekeepers.get(name)
            if housekeeper is None:
                housekeeper = self.housekeepers[name] = Housekeeper(gateway, now)
            if now >= housekeeper.due:
                yield from housekeeper.advance(now)

    def next_housekeeping(self, now: int) -> int:
        """The time at which `housekeep` is due again, ns."""
        due = (housekeeper.due for housekeeper in self.housekeepers.values())
        return min(now + MAX_HOUSEKEEPING_INTERVAL, min(due, default=now + MAX_HOUSEKEEPING_INTERVAL))
