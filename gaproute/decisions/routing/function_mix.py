"""Which functions the last requests were for."""

from collections import deque
from collections.abc import Iterable

from gaproute.decisions.routing.host_table import HostTable
from gaproute.decisions.routing.parameters import MIX_SIZE

LEAST_MIX = MIX_SIZE // 4  # requests over which shares are taken at least


class FunctionMix:
    """The functions of this gateway's last requests."""

    def __init__(self, hosts: HostTable) -> None:
        self.hosts = hosts
        self.recent: deque[str] = deque(maxlen=MIX_SIZE)

    def add(self, name: str) -> None:
        """A request of the function came."""
        self.recent.append(name)

    def prepend(self, names: Iterable[str]) -> None:
        """Take these for older requests: own ones push them out."""
        self.recent.extendleft(names)

    def share(self, name: str) -> float:
        """The function's share of the last requests."""
        return self.recent.count(name) / max(len(self.recent), LEAST_MIX)

    def breadth(self, name: str) -> float:
        """How many hosts a function could fill: its share of the last requests, times the active hosts.

        It needs no number of own requests, so it is right at gateways that see few. From one host on the
        function is hot: it spills early, and SPREAD_FACTOR times as many first choices of the stable hash
        count alike, so that gateways spread it; a rare one waits for its instance, as loads for it jam the
        store.
        """
        return self.share(name) * len(self.hosts.active)
