"""Other ways to pick a host, to be measured beside the product's own; rules and guards are the same."""

from __future__ import annotations

from gaproute.decisions.routing import Gateway
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.host_selector import HostSelector
from gaproute.decisions.routing.request_attempts import RequestAttempts
from gaproute.interface import Request


class PlainSelector(HostSelector):
    """Picks one of the hosts that the rules allow by chance, without any score."""

    def choose(self, now: int, request: Request, attempts: RequestAttempts) -> Host | None:
        """The host that gets the request now; None: none yet."""
        allowed = self.allowed_hosts(now, request, attempts, self.hosts.active)
        able = [host for host in allowed if host not in attempts.failed_hosts]
        return self.pick(able) if able else None

    def pick(self, able: list[Host]) -> Host:
        """One of these hosts by chance."""
        return able[self.random.below(len(able))]


class LeastQueueSelector(PlainSelector):
    """Picks the host with the fewest own requests in flight for its capacity; ties break by chance."""

    def pick(self, able: list[Host]) -> Host:
        """One of those with the fewest."""
        least = min(len(host.in_flight) / host.capacity for host in able)
        return super().pick([host for host in able if len(host.in_flight) / host.capacity == least])


class RandomChoice(Gateway):
    """Picks by chance."""

    selector_type = PlainSelector


class LeastQueue(Gateway):
    """Picks the host with the shortest queue."""

    selector_type = LeastQueueSelector
