"""The listed hosts by key, and the time before which observations of a host are invalid."""

from collections.abc import Callable, Mapping

# Hosts that are gone or have restarted; stored until all observations from before that have expired
MAX_HOST_TOMBSTONES = 8192


class ListedHosts:
    """The hosts that gossip may name, by key. Times are ns of this gateway's clock."""

    def __init__(self) -> None:
        self.names_by_key: dict[int, str] = {}
        self._start_markers: dict[int, object] = {}  # by key: the start of the host in the host list
        # By key: the time up to which observations of the host are invalid; the oldest first
        self.tombstones: dict[int, int] = {}
        self.key_collisions = 0  # listed names that are left out because another name has the same key

    def set_hosts(self, now: int, hosts: Mapping[str, object], key_of: Callable[[str], int]) -> list[int]:
        """Replaces the listed hosts; returns the keys of hosts that are gone or have restarted.

        `hosts`: by name, the start of the host as any value that changes at a restart.
        """
        names: dict[int, str] = {}
        starts: dict[int, object] = {}
        self.key_collisions = 0
        for name, start in hosts.items():
            host = key_of(name)
            if names.setdefault(host, name) == name:
                starts[host] = start
            else:
                self.key_collisions += 1
        gone = [
            host for host, start in self._start_markers.items() if host not in starts or starts[host] != start
        ]
        self._add_tombstones(now, gone)
        self.names_by_key, self._start_markers = names, starts
        return gone

    def expire_oldest_tombstone(self, now: int, retention: int) -> None:
        """Drops the oldest tombstone if it is older than `retention` ns."""
        oldest = next(iter(self.tombstones), None)
        if oldest is not None and now - self.tombstones[oldest] > retention:
            del self.tombstones[oldest]

    def is_current(self, host: int, seen_at: int) -> bool:
        """Whether an observation counts: the host is listed, and has not restarted since `seen_at`."""
        return host in self.names_by_key and seen_at > self.tombstones.get(host, seen_at - 1)

    def _add_tombstones(self, now: int, hosts: list[int]) -> None:
        for host in hosts:
            self.tombstones.pop(host, None)
            self.tombstones[host] = now
        while len(self.tombstones) > MAX_HOST_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]
