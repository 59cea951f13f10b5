"""What this gateway saw itself, made into pages: the only facts that it tells."""

from gaproute.shared.gossip.arrivals import ArrivalRates
from gaproute.shared.gossip.messages import (
    DEMAND,
    HANDS,
    LIFE,
    MOST,
    SCALE,
    SECOND,
    SLOTS,
    WARM,
    EntrySet,
    key,
)

HOSTS = 8192  # hosts of which tasks in hand or room are kept
COPIES = 512  # copies kept of each page's functions, those seen last
NAMES = 65_536  # names whose keys are kept at hand
SERVES = (SECOND // 10, SECOND // 2, SECOND, 0)  # a page is told again unchanged, only older, for so
#                          long: 25 words a second must not sort a thousand hosts 25 times


class Own:
    def __init__(self, now):
        self.arrivals = ArrivalRates(now)
        self.figures = ({}, {})  # tasks in hand, room: {host key: figure}
        self.copies = [{} for _ in range(SLOTS[WARM])]  # {(host, function): when seen}, the last last
        self.counters = {}  # (kind, slot): version of the page told last
        self.made = {}  # kind: (when, its page)
        self.keys = {}

    def key(self, name):
        found = self.keys.get(name)
        if found is None:
            if len(self.keys) >= NAMES:
                self.keys.clear()
            found = self.keys[name] = key(name)
        return found

    def figure(self, kind, host, figure):
        table, host = self.figures[kind], self.key(host)
        if kind == HANDS and figure <= 0:
            table.pop(host, None)
        elif host in table or len(table) < HOSTS:
            table[host] = min(max(0.0, figure), SCALE[-1])

    def warm(self, now, host, function):
        function = self.key(function)
        copies, copy = self.copies[function % SLOTS[WARM]], (self.key(host), function)
        copies.pop(copy, None)
        copies[copy] = now
        if len(copies) > COPIES:
            del copies[next(iter(copies))]

    def cold(self, host, function):
        function = self.key(function)
        self.copies[function % SLOTS[WARM]].pop((self.key(host), function), None)

    def forget(self, hosts):
        """Drops all of these hosts (keys)."""
        self.made.clear()
        for table in self.figures:
            for host in hosts:
                table.pop(host, None)
        for copies in self.copies:
            for copy in [copy for copy in copies if copy[0] in hosts]:
                del copies[copy]

    def page(self, now, kind, slot=0):
        """The page to be told: made now, or lately and older by that."""
        made, page = self.made.get(kind, (now, None))
        if page is None or now - made >= SERVES[kind]:
            made, page = self.made[kind] = now, self._make(now, kind, slot)
        return page._replace(age=now - made)

    def _make(self, now, kind, slot):
        rest = 0.0
        if kind == DEMAND:
            rest, entries = self.arrivals.most_wanted(now)
        elif kind == WARM:
            entries = []
            for (host, function), seen in reversed(self.copies[slot].items()):
                if len(entries) >= MOST[WARM] or now - seen > LIFE[WARM]:
                    break
                entries.append((host, function, now - seen))
        else:
            table = self.figures[kind]
            hosts = sorted(table, key=lambda host: (-table[host], host))[: MOST[kind]]
            entries = [(host, table[host]) for host in hosts]
            if kind == HANDS:
                rest = max(0.0, sum(table.values()) - sum(figure for _, figure in entries))
        counter = self.counters[kind, slot] = self.counters.get((kind, slot), 0) + 1
        return EntrySet(kind, slot, counter, 0, min(rest, SCALE[-1]), tuple(entries))
