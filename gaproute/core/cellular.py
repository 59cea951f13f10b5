"""The core of a gateway in a fleet of cells: it forwards calls to other gateways and takes theirs."""

from gaproute.core.core import Core
from gaproute.decisions.cells.entries import CellUnknown, ForwardAttempt


class CellularCore(Core):
    """`entries` gives `client_for(forward)`: what sends by way of an entry gateway, as `hosts` does."""

    def __init__(self, loop, gateway, terms, hosts, record, name, entries):
        super().__init__(loop, gateway, terms, hosts, record, name)
        self.entries = entries
        self.forwarded_in = self.forwarded_out = 0

    def serve(self, now, task):
        """The task's generator."""
        forwarded = self.held[task.id].call.forwarded
        if forwarded is not None:
            self.forwarded_in += 1
        return self.gateway.serve(now, task, forwarded)

    def send(self, key, number, wish, now):
        """Carry out a relay: to a host, or to an entry gateway of another cell."""
        if isinstance(wish, ForwardAttempt):
            self.forwarded_out += 1
            self.begin(self.entries.client_for(wish), key, number, wish.host, wish.until, now)
        else:
            super().send(key, number, wish, now)

    def refuse(self, key, wish):
        """Carry out a decline; its final tells where this gateway did not know the cell."""
        self.held[key].cell_unknown = isinstance(wish, CellUnknown)
        super().refuse(key, wish)

    def cell_listed(self, cell, rows):
        """The whole host list of a cell."""
        now = self.loop.now()
        self.gateway.listed(now, rows, True, cell=cell)
        self.begin_housekeeping(now)
