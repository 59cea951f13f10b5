"""The share of each function in the recent requests."""

from collections import deque
from collections.abc import Iterable

from gaproute.decisions.routing.host_table import HostTable
from gaproute.decisions.routing.parameters import MIX_SIZE

MIN_MIX_SIZE = MIX_SIZE // 4  # a share is computed as if there were at least so many requests


class FunctionMix:
    """The functions of the last requests of this gateway."""

    def __init__(self, hosts: HostTable) -> None:
        self.hosts = hosts
        self.recent: deque[str] = deque(maxlen=MIX_SIZE)

    def add(self, name: str) -> None:
        """Records a request of the function."""
        self.recent.append(name)

    def prepend(self, names: Iterable[str]) -> None:
        """Adds functions as the oldest ones, which are the first to be replaced."""
        self.recent.extendleft(names)

    def share(self, name: str) -> float:
        """Returns the share of the function in the last requests."""
        return self.recent.count(name) / max(len(self.recent), MIN_MIX_SIZE)

    def host_demand(self, name: str) -> float:
        """Returns how many hosts the function could fill: its share of requests times the active hosts.

        The number does not depend on how many requests this gateway sees. A function that could fill one host
        or more is hot: its requests go to further hosts early, and SPREAD_FACTOR times as many first choices
        of the stable hash get equal points, so that gateways use different ones. Requests of a rare function
        wait for its loaded instance, because further loads would overload the model store.
        """
        return self.share(name) * len(self.hosts.active)
