"""Which cells a gateway knows by their hosts; all others it reaches through their entry gateways.

It attends to a few cells of its own zone, by rendezvous hashing of its name, and to those that name it as an
entry: so each cell has some tens of gateways that know its hosts well. It adopts further cells that it sends
much to, and lets them go when they are no longer used.

Invariants: the hosts of all cells in the view stay within `MAX_HOSTS_IN_VIEW`, but for one cell that is
always attended to; a cell is adopted and let go by rates that lie apart, so that the view is steady.
"""

from math import exp

from xxhash import xxh3_64_intdigest

from gaproute.decisions.cells.demand import LONG_MEMORY, SECOND, SHORT_MEMORY, DecayingCount

ASSIGNED_CELLS = 2  # cells of the own zone: with a thousand gateways and 38 cells in a zone, 50 to a cell
MAX_HOSTS_IN_VIEW = 512  # hosts in the view, whatever the fleet's size
ADD_RATE = 10.0  # calls a second to a cell for which its host list is worth keeping
REMOVE_FACTOR = 4  # times fewer, at which it is not
REVIEW_INTERVAL = 10 * SECOND  # between two looks at what is used


class CellView:
    """The cells that this gateway should know: `attended` and `adopted`, names in a stable order."""

    def __init__(self, now, place, max_hosts=MAX_HOSTS_IN_VIEW):
        self.began, self.place, self.max_hosts = now, place, max_hosts
        self.table = None
        self.assigned, self.extra = (), ()
        self.used = {}  # cell: Count of own calls
        self.reviewed = now

    def adopt(self, table):
        """Go by a newer table."""
        self.table = table
        self.used = {name: count for name, count in self.used.items() if name in table.by_name}
        self.assigned = self._assigned(table)
        kept = [name for name in self.extra if name in table.by_name and name not in self.assigned]
        self.extra = self._within_bound(kept)

    def names(self):
        """All cells in the view."""
        return self.assigned + self.extra

    def hosts(self):
        """Hosts of all cells in the view, by the table."""
        return sum(self.table.by_name[name].hosts for name in self.names())

    def record_use(self, now, name):
        """An own call goes to the cell."""
        count = self.used.get(name)
        if count is None:
            count = self.used[name] = DecayingCount(now)
        count.add(now, 1.0)

    def review(self, now):
        """Adopt and let go; whether the view changed. Cheap unless a review is due."""
        if self.table is None or now - self.reviewed < REVIEW_INTERVAL:
            return False
        self.reviewed, before = now, self.extra
        kept = [name for name in self.extra if max(self._rates(now, name)) >= ADD_RATE / REMOVE_FACTOR]
        known = {*self.assigned, *kept}
        steady = [
            (-min(self._rates(now, name)) / self.table.by_name[name].hosts, name)
            for name in self.used
            if name not in known and min(self._rates(now, name)) >= ADD_RATE
        ]
        self.extra = self._within_bound(kept + [name for _, name in sorted(steady)])
        return self.extra != before

    def _rates(self, now, name):
        """Own calls a second to the cell: of late, and on the long run."""
        count = self.used.get(name)
        if count is None:
            return 0.0, 0.0
        age, passed = max(now - self.began, SECOND), now - count.at
        return tuple(
            value * exp(-passed / memory) / (memory * (1 - exp(-age / memory))) * SECOND
            for value, memory in ((count.fast, SHORT_MEMORY), (count.slow, LONG_MEMORY))
        )

    def _assigned(self, table):
        own = [cell for cell in table.cells if cell.zone == self.place.zone]
        own.sort(key=lambda cell: (-_rank(self.place.name, cell.name), cell.name))
        named = [cell for cell in own if any(entry.name == self.place.name for entry in cell.entries)]
        chosen, hosts = [], 0
        for cell in dict.fromkeys(named + own[:ASSIGNED_CELLS]):
            if not chosen or hosts + cell.hosts <= self.max_hosts:
                chosen.append(cell.name)
                hosts += cell.hosts
        return tuple(chosen)

    def _within_bound(self, names):
        """The first of the names that fit beside the cells attended to."""
        left = self.max_hosts - sum(self.table.by_name[name].hosts for name in self.assigned)
        fitting = []
        for name in names:
            if self.table.by_name[name].hosts <= left:
                fitting.append(name)
                left -= self.table.by_name[name].hosts
        return tuple(fitting)


def _rank(gateway, cell):
    return xxh3_64_intdigest(f"{gateway}\0{cell}".encode())
