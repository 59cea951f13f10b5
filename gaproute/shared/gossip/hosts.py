"""The hosts that are listed here, by their keys, and from when on gossip about each counts."""

from collections.abc import Callable, Mapping

MAX_TOMBSTONES = 8192  # hosts that went or restarted, kept until all that was seen before has expired


class ListedHosts:
    """Which keys gossip may name. Times are ns on this gateway's clock."""

    def __init__(self) -> None:
        self.names: dict[int, str] = {}  # by key
        self._starts: dict[int, object] = {}  # by key: the host's start as listed
        self.tombstones: dict[int, int] = {}  # by key: what was seen until then is void, the oldest first
        self.key_collisions = 0  # names left out, as another has the same key

    def update(self, now: int, hosts: Mapping[str, object], key: Callable[[str], int]) -> list[int]:
        """Takes the list. `hosts`: by name the start, any value that changes with it. Returns the keys of the
        hosts that went or restarted."""
        names: dict[int, str] = {}
        starts: dict[int, object] = {}
        self.key_collisions = 0
        for name, start in hosts.items():
            host = key(name)
            if names.setdefault(host, name) == name:
                starts[host] = start
            else:
                self.key_collisions += 1
        gone = [host for host, start in self._starts.items() if host not in starts or starts[host] != start]
        self._bury(now, gone)
        self.names, self._starts = names, starts
        return gone

    def expire(self, now: int, retention: int) -> None:
        """Drops the oldest tombstone once it is older than `retention` ns."""
        oldest = next(iter(self.tombstones), None)
        if oldest is not None and now - self.tombstones[oldest] > retention:
            del self.tombstones[oldest]

    def is_current(self, host: int, seen: int) -> bool:
        """Whether the host is listed and did not restart since something was seen of it."""
        return host in self.names and seen > self.tombstones.get(host, seen - 1)

    def _bury(self, now: int, hosts: list[int]) -> None:
        for host in hosts:
            self.tombstones.pop(host, None)
            self.tombstones[host] = now
        while len(self.tombstones) > MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]
