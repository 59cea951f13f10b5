"""The hosts that are listed here, by their keys, and from when on what is told of each counts."""

TOMBS = 8192  # hosts that went or restarted, kept until all facts of before have faded


class Hosts:
    def __init__(self):
        self.names = {}  # key: name
        self.starts = {}  # key: its start as listed
        self.tombs = {}  # key: facts seen until then are of a past life, the oldest first
        self.alike = 0  # names left out, as another has the same key

    def listed(self, now, hosts, key):
        """`hosts`: {name: its start, any value that changes with it}. Returns the keys of those that went or
        started anew."""
        names, starts, self.alike = {}, {}, 0
        for name, start in hosts.items():
            if names.setdefault(key(name), name) != name:
                self.alike += 1
            else:
                starts[key(name)] = start
        gone = [host for host, start in self.starts.items() if host not in starts or starts[host] != start]
        for host in gone:
            self.tombs.pop(host, None)
            self.tombs[host] = now
        while len(self.tombs) > TOMBS:
            del self.tombs[next(iter(self.tombs))]
        self.names, self.starts = names, starts
        return gone

    def fade(self, now, life):
        first = next(iter(self.tombs), None)
        if first is not None and now - self.tombs[first] > life:
            del self.tombs[first]

    def counts(self, host, seen):
        """Whether what was seen of the host then is of its life now. `seen`: as held here."""
        return host in self.names and seen > self.tombs.get(host, seen - 1)
