"""How much hosts that warm up are sent: no more than they can do."""

from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.host_table import HostTable
from gaproute.decisions.routing.parameters import SECOND
from gaproute.interface import Terms

SAFE_SHARE = 0.8  # of the load under which a host that warms up falls over: the rest is for chance
FIRST_SHARE = (
    0.25  # of the share in the terms, for requests: answers then show what hosts that warm up can do
)
FIRST_RATE = 1 / SECOND  # of these at each host at most: within the slack for chance of the smallest


class SlowStart:
    """Gives hosts that warm up credit for attempts. Known is only the share that each can do at least."""

    def __init__(self, terms: Terms, hosts: HostTable) -> None:
        self.hosts = hosts
        self.first_share, self.warm_up_time = terms.warm_up_share, terms.warm_up_time
        self.most_share = SAFE_SHARE * terms.warm_up_overload * terms.warm_up_share  # that one counts for
        self.gateways = max(1, terms.gateways)
        self.last_request_at = -1  # when first credit last came of a request

    def available_share(self, host: Host, now: int) -> float:
        """Share of its capacity that a host has at least."""
        left = max(0, host.warm_at - now) / max(1, self.warm_up_time)
        return 1.0 - (1.0 - self.first_share) * left

    def record_request(self, now: int) -> None:
        """With no host warm the first attempts to each come of requests, at most so many a second of all
        gateways together: requests come as fast as clients wish, and the less is answered the more they ask
        again.
        """
        active = self.hosts.active
        if now >= self.hosts.all_warm_at or not all([now < host.warm_at for host in active]):
            return
        share = FIRST_SHARE * self.first_share / (len(active) / 2)
        most = FIRST_RATE * (now - self.last_request_at) / self.gateways
        self.last_request_at = now
        for host in active:
            host.add_credit(now, min(self.hosts.relative_capacity(host) * share, most))

    def answered(self, now: int, by: Host) -> None:
        """Give the hosts that warm up credit for an answer of the host `by`.

        Each answer of a warm host earns every other its share of the mean per warm host, by capacity.
        Counted in answers it holds for bursts, storms of refusals and fresh gateways. Half the fleet stands
        for the warm hosts when fewer are warm: then an answer of a host that warms up earns too, up to one
        for one with none warm, and that one alone: nobody knows how each gains, but what it answers it can
        do. For the same reason none counts for more than what it surely bears.
        """
        active = self.hosts.active
        warming = [host for host in active if now < host.warm_at]
        half = len(active) / 2
        warm = len(active) - len(warming)
        if now < by.warm_at:
            by.add_credit(now, max(0.0, 1 - warm / half))
            return
        for host in warming:
            share = min(self.available_share(host, now), self.most_share)
            host.add_credit(now, self.hosts.relative_capacity(host) * share / max(warm, half))
