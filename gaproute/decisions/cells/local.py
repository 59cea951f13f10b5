"""The cells of which this gateway knows the hosts: a `routing.Gateway` for each.

Invariants: all of them share one limit on load orders, so that knowing more cells orders no more loads; what
came of a relay goes to the gateway that sent it, also after its cell has left the view.
"""

from gaproute.decisions.routing import Gateway
from gaproute.decisions.routing.load_order_limiter import LoadOrderLimiter
from gaproute.interface import Report, Wait

SECOND = 1_000_000_000

LOAD_KEPT = SECOND  # for which the sum over a cell's hosts is kept


class LocalCells:
    """Gateways by cell. A cell counts as known once its whole host list has come."""

    def __init__(self, seed, terms):
        self.seed, self.terms = seed, terms
        self.load_order_limiter = LoadOrderLimiter.of(terms)
        self.gateways = {}  # cell: Gateway
        self.loads = {}  # cell: (time, tasks in hand at its hosts)
        self.keepers = {}  # cell: [its housekeeping, when that wants to be resumed]
        self.end_by = None

    def keep(self, names):
        """Let go of all other cells."""
        for name in [name for name in self.gateways if name not in names]:
            del self.gateways[name]
            self.keepers.pop(name, None)
            self.loads.pop(name, None)

    def listed(self, now, name, rows, complete):
        """Host list of a cell in the view, or changes to it; changes before the whole are passed over."""
        gateway = self.gateways.get(name)
        if gateway is None:
            if not complete:
                return
            gateway = Gateway(self.seed, self.terms, now, self.load_order_limiter)
            if self.end_by is not None:
                gateway.end_by = self.end_by
            self.add(name, gateway)
        gateway.listed(now, rows, complete)

    def add(self, name, gateway):
        """Know a cell by a gateway that was made for it."""
        self.gateways[name] = gateway

    def stop_by(self, when):
        """The process ends: every task has its answer by then."""
        self.end_by = when
        for gateway in self.gateways.values():
            gateway.end_by = when

    def of_host(self, host):
        """The gateway that knows the host, or None."""
        for gateway in self.gateways.values():
            if host in gateway.hosts_by_id:
                return gateway
        return None

    def load(self, now, name):
        """Tasks in hand at a known cell's hosts, as far as this gateway knows."""
        at, load = self.loads.get(name, (None, 0.0))
        if at is None or now - at >= LOAD_KEPT:
            gateway = self.gateways[name]
            load = float(sum(gateway.queued(host, 1, now) for host in gateway.active_hosts))
            self.loads[name] = now, load
        return load

    def report(self, now, name):
        """What an entry tells of its cell with each answer."""
        return Report(in_hand=self.load(now, name)) if name in self.gateways else None

    def housekeep(self, now):
        """Advance every cell's housekeeping that is due; yields its wishes, returns when it is due again."""
        due = now + SECOND
        for name, gateway in list(self.gateways.items()):
            keeper = self.keepers.get(name)
            if keeper is None:
                keeper = self.keepers[name] = [gateway.housekeep(now), now]
                wish = next(keeper[0])
            elif now >= keeper[1]:
                wish = keeper[0].send((now, None))
            else:
                due = min(due, keeper[1])
                continue
            while not isinstance(wish, Wait):
                yield wish
                wish = keeper[0].send(None)
            keeper[1] = wish.until
            due = min(due, wish.until)
        return due
