"""Choices to measure beside the module's own: the same rules, requests and guards, another way to pick a
host."""

from gaproute.decisions.routing import Gateway
from gaproute.decisions.routing.host_selector import HostSelector


class PlainSelector(HostSelector):
    """Keeps the rules as the module does and leaves out what its choice adds."""

    def choose(self, now, request, attempts):
        able = [
            host
            for host in self.allowed_hosts(now, request, attempts, self.hosts.active)
            if host not in attempts.failed_hosts
        ]
        return self.pick(able) if able else None

    def pick(self, able):
        """One of these hosts by chance."""
        return able[self.chance.below(len(able))]


class LeastQueueSelector(PlainSelector):
    """Fewest own requests in flight for its capacity; ties by chance."""

    def pick(self, able):
        """One of those with the fewest."""
        least = min(len(host.in_flight) / host.capacity for host in able)
        return super().pick([host for host in able if len(host.in_flight) / host.capacity == least])


class RandomChoice(Gateway):
    """Picks by chance."""

    selector_type = PlainSelector


class LeastQueue(Gateway):
    """Picks the host with the shortest queue."""

    selector_type = LeastQueueSelector
