"""Which functions the last requests were for."""

from collections import deque
from collections.abc import Iterable

from gaproute.decisions.routing.host_table import HostTable
from gaproute.decisions.routing.parameters import MIX_SIZE

MIN_MIX_SIZE = MIX_SIZE // 4  # a share is taken of at least so many requests


class FunctionMix:
    """The functions of this gateway's last requests."""

    def __init__(self, hosts: HostTable) -> None:
        self.hosts = hosts
        self.recent: deque[str] = deque(maxlen=MIX_SIZE)

    def add(self, name: str) -> None:
        """Adds a request of the function."""
        self.recent.append(name)

    def prepend(self, names: Iterable[str]) -> None:
        """Adds functions of requests that count as older than all own ones, which replace them in time."""
        self.recent.extendleft(names)

    def share(self, name: str) -> float:
        """The function's share of the last requests."""
        return self.recent.count(name) / max(len(self.recent), MIN_MIX_SIZE)

    def host_demand(self, name: str) -> float:
        """How many hosts a function could fill: its share of the last requests, times the active hosts.

        The figure does not depend on how many requests this gateway sees. A function that could fill one host
        or more is hot: its requests go to further hosts early, and SPREAD_FACTOR times as many first choices
        of the stable hash count alike, so that gateways use different ones. Requests of a rare function wait
        for its loaded instance, as further loads would overload the model store.
        """
        return self.share(name) * len(self.hosts.active)
