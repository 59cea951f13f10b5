"""Which cells a gateway knows by their hosts; all others it reaches through their entry gateways.

It attends to a few cells of its own zone, by rendezvous hashing of its name, and to those that name it as an
entry: so each cell has some tens of gateways that know its hosts well. It adopts further cells that it sends
much to, and lets them go when they are no longer used.

Invariants: the hosts of all cells in the view stay within `HOSTS_BOUND`, but for one cell that is always
attended to; a cell is adopted and let go by rates that lie apart, so that the view is steady.
"""

from math import exp

from xxhash import xxh3_64_intdigest

from gaproute.decisions.cells.demand import FAST, SECOND, SLOW, Count

ATTENDED = 2  # cells of the own zone: with a thousand gateways and 38 cells in a zone, 50 to a cell
HOSTS_BOUND = 512  # hosts in the view, whatever the fleet's size
ADOPT_RATE = 10.0  # calls a second to a cell for which its host list is worth keeping
LET_GO = 4  # times fewer, at which it is not
REVIEW = 10 * SECOND  # between two looks at what is used


class View:
    """The cells that this gateway should know: `attended` and `adopted`, names in a stable order."""

    def __init__(self, now, place, hosts_bound=HOSTS_BOUND):
        self.began, self.place, self.hosts_bound = now, place, hosts_bound
        self.table = None
        self.attended, self.adopted = (), ()
        self.used = {}  # cell: Count of own calls
        self.reviewed = now

    def adopt(self, table):
        """Go by a newer table."""
        self.table = table
        self.used = {name: count for name, count in self.used.items() if name in table.by_name}
        self.attended = self._attended(table)
        kept = [name for name in self.adopted if name in table.by_name and name not in self.attended]
        self.adopted = self._within_bound(kept)

    def names(self):
        """All cells in the view."""
        return self.attended + self.adopted

    def hosts(self):
        """Hosts of all cells in the view, by the table."""
        return sum(self.table.by_name[name].hosts for name in self.names())

    def sent(self, now, name):
        """An own call goes to the cell."""
        count = self.used.get(name)
        if count is None:
            count = self.used[name] = Count(now)
        count.add(now, 1.0)

    def review(self, now):
        """Adopt and let go; whether the view changed. Cheap unless a review is due."""
        if self.table is None or now - self.reviewed < REVIEW:
            return False
        self.reviewed, before = now, self.adopted
        kept = [name for name in self.adopted if max(self._rates(now, name)) >= ADOPT_RATE / LET_GO]
        known = {*self.attended, *kept}
        steady = [
            (-min(self._rates(now, name)) / self.table.by_name[name].hosts, name)
            for name in self.used
            if name not in known and min(self._rates(now, name)) >= ADOPT_RATE
        ]
        self.adopted = self._within_bound(kept + [name for _, name in sorted(steady)])
        return self.adopted != before

    def _rates(self, now, name):
        """Own calls a second to the cell: of late, and on the long run."""
        count = self.used.get(name)
        if count is None:
            return 0.0, 0.0
        age, passed = max(now - self.began, SECOND), now - count.at
        return tuple(
            value * exp(-passed / memory) / (memory * (1 - exp(-age / memory))) * SECOND
            for value, memory in ((count.fast, FAST), (count.slow, SLOW))
        )

    def _attended(self, table):
        own = [cell for cell in table.cells if cell.zone == self.place.zone]
        own.sort(key=lambda cell: (-_rank(self.place.name, cell.name), cell.name))
        named = [cell for cell in own if any(entry.name == self.place.name for entry in cell.entries)]
        chosen, hosts = [], 0
        for cell in dict.fromkeys(named + own[:ATTENDED]):
            if not chosen or hosts + cell.hosts <= self.hosts_bound:
                chosen.append(cell.name)
                hosts += cell.hosts
        return tuple(chosen)

    def _within_bound(self, names):
        """The first of the names that fit beside the cells attended to."""
        left = self.hosts_bound - sum(self.table.by_name[name].hosts for name in self.attended)
        fitting = []
        for name in names:
            if self.table.by_name[name].hosts <= left:
                fitting.append(name)
                left -= self.table.by_name[name].hosts
        return tuple(fitting)


def _rank(gateway, cell):
    return xxh3_64_intdigest(f"{gateway}\0{cell}".encode())
