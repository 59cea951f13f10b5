"""The stable hash: a ranking of the hosts for each function that is the same at every gateway."""

from collections.abc import Iterable
from hashlib import blake2b
from heapq import nsmallest

from gaproute.decisions.routing.functions import Function
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.host_table import HostTable

# Hosts that are ranked at first, or one in RANKED_HOSTS_DIVISOR active hosts if that is more: lower ranks are
# rarely needed.
MIN_RANKED_HOSTS = 32
RANKED_HOSTS_DIVISOR = 16
KEY_BYTES = 8


def rendezvous_keys(name: str, hosts: Iterable[Host]) -> list[tuple[bytes, str]]:
    """Returns (key, id) of each host by rendezvous hashing; the order of the keys is the same at every
    gateway and after every restart.
    """
    hasher = blake2b(f"{name} ".encode(), digest_size=KEY_BYTES)
    keys = []
    for host in hosts:
        key = hasher.copy()
        key.update(host.id.encode())
        keys.append((key.digest(), host.id))
    return keys


class Ranking:
    """Ranks the active hosts for each function; the ranks are stored in the `Function`."""

    def __init__(self, hosts: HostTable) -> None:
        self.hosts = hosts

    def ranks(self, name: str, function: Function, depth: int = MIN_RANKED_HOSTS) -> dict[str, int]:
        """Returns the ranks of at least the first `depth` hosts; in a large fleet only a few are needed."""
        hosts = self.hosts
        ranked = len(function.ranked_hosts)
        if function.ranked_version != hosts.version or ranked < min(depth, len(hosts.active)):
            depth = max(depth, len(hosts.active) // RANKED_HOSTS_DIVISOR, ranked)
            first = nsmallest(depth, rendezvous_keys(name, hosts.active))
            function.ranked_hosts = [hosts.by_id[host_id] for _, host_id in first]
            function.ranks = {host_id: rank for rank, (_, host_id) in enumerate(first)}
            function.ranked_version = hosts.version
        return function.ranks
