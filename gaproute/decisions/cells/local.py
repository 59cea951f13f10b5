"""The cells of which this gateway knows the hosts: a `route.Gateway` for each.

Invariants: all of them share one load ration, so that knowing more cells orders no more loads; what came of
a relay goes to the gateway that sent it, also after its cell has left the view.
"""

from gaproute.decisions.routing import Gateway
from gaproute.decisions.routing.ration import Ration
from gaproute.interface import Report, Wait

SECOND = 1_000_000_000

LOAD_MAX_AGE = SECOND  # for which the sum over a cell's hosts is kept


class LocalCells:
    """Gateways by cell. A cell counts as known once its whole host list has come."""

    def __init__(self, seed, terms):
        self.seed, self.terms = seed, terms
        self.ration = Ration(terms.load_orders_free, terms.load_order_share, terms.load_order_window)
        self.gateways = {}  # cell: Gateway
        self.loads = {}  # cell: (time, tasks in hand at its hosts)
        self.housekeepers = {}  # cell: [its housekeeping, when that wants to be resumed]
        self.end_by = None

    def retain(self, names):
        """Let go of all other cells."""
        for name in [name for name in self.gateways if name not in names]:
            del self.gateways[name]
            self.housekeepers.pop(name, None)
            self.loads.pop(name, None)

    def listed(self, now, name, rows, complete):
        """Host list of a cell in the view, or changes to it; changes before the whole are passed over."""
        gateway = self.gateways.get(name)
        if gateway is None:
            if not complete:
                return
            gateway = Gateway(self.seed, self.terms, now)
            gateway.ration = self.ration
            if self.end_by is not None:
                gateway.end_by = self.end_by
            self.add(name, gateway)
        gateway.listed(now, rows, complete)

    def add(self, name, gateway):
        """Know a cell by a gateway that was made for it."""
        self.gateways[name] = gateway

    def set_end(self, when):
        """The process ends: every task has its answer by then."""
        self.end_by = when
        for gateway in self.gateways.values():
            gateway.end_by = when

    def of_worker(self, worker):
        """The gateway that knows the host, or None."""
        for gateway in self.gateways.values():
            if worker in gateway.workers:
                return gateway
        return None

    def load(self, now, name):
        """Tasks in hand at a known cell's hosts, as far as this gateway knows."""
        at, load = self.loads.get(name, (None, 0.0))
        if at is None or now - at >= LOAD_MAX_AGE:
            gateway = self.gateways[name]
            load = float(sum(gateway.queued(worker, 1, now) for worker in gateway.fleet))
            self.loads[name] = now, load
        return load

    def report(self, now, name):
        """What an entry tells of its cell with each answer."""
        return Report(in_hand=self.load(now, name)) if name in self.gateways else None

    def housekeep(self, now):
        """Advance every cell's housekeeping that is due; yields its wishes, returns when it is due again."""
        due = now + SECOND
        for name, gateway in list(self.gateways.items()):
            housekeeper = self.housekeepers.get(name)
            if housekeeper is None:
                housekeeper = self.housekeepers[name] = [gateway.housekeep(now), now]
                wish = next(housekeeper[0])
            elif now >= housekeeper[1]:
                wish = housekeeper[0].send((now, None))
            else:
                due = min(due, housekeeper[1])
                continue
            while not isinstance(wish, Wait):
                yield wish
                wish = housekeeper[0].send(None)
            housekeeper[1] = wish.until
            due = min(due, wish.until)
        return due
