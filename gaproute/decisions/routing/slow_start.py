"""Slow start: hosts that warm up get no more requests than they can bear."""

from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.host_table import HostTable
from gaproute.interface import RoutingSettings
from gaproute.units import SECOND

SAFE_LOAD_SHARE = 0.8  # of the load at which a host that warms up fails: the rest is a margin
ALL_COLD_CREDIT_SHARE = (
    0.25  # of the share in the settings, for requests: answers then show what hosts that warm up can do
)
ALL_COLD_CREDIT_RATE = 1 / SECOND  # of these at each host at most: within the margin of the smallest host


class SlowStart:
    """Gives hosts that warm up credit for attempts, by the share of its capacity that each has at least."""

    def __init__(self, settings: RoutingSettings, hosts: HostTable) -> None:
        self.hosts = hosts
        self.initial_share, self.warm_up_time = settings.warm_up_share, settings.warm_up_time
        # The largest share of its capacity with which a host that warms up is counted.
        self.max_counted_share = SAFE_LOAD_SHARE * settings.warm_up_overload * settings.warm_up_share
        self.gateways = max(1, settings.gateways)
        self.last_request_at = -1  # when a request last gave credit

    def available_share(self, host: Host, now: int) -> float:
        """The share of its capacity that a host has at least."""
        left = max(0, host.warm_at - now) / max(1, self.warm_up_time)
        return 1.0 - (1.0 - self.initial_share) * left

    def record_request(self, now: int) -> None:
        """Gives credit for a request where no host is warm, so that some request is tried at all.

        All gateways together give each host at most a fixed credit per second, as the rate of requests is no
        measure: the fewer are answered, the more clients send again.
        """
        active = self.hosts.active
        if now >= self.hosts.all_warm_at or not all([now < host.warm_at for host in active]):
            return
        share = ALL_COLD_CREDIT_SHARE * self.initial_share / (len(active) / 2)
        most = ALL_COLD_CREDIT_RATE * (now - self.last_request_at) / self.gateways
        self.last_request_at = now
        for host in active:
            host.add_credit(now, min(self.hosts.relative_capacity(host) * share, most))

    def record_answer(self, now: int, by: Host) -> None:
        """Give credit to hosts that warm up, for an answer of the host `by`.

        An answer of a warm host gives each warming host as much as a warm host answers on average, reduced by
        the warming host's capacity and by the share of it that is certain. Credit follows answers and not
        time, so it stays right in bursts, while hosts reject most requests, and at a gateway that has just
        started. Where fewer than half of the hosts are warm, the average is taken over half of the fleet, and
        an answer of a warming host gives credit to that host alone, up to one attempt for each answer where
        no host is warm: a host can bear at least what it answers.
        """
        active = self.hosts.active
        warming = [host for host in active if now < host.warm_at]
        half = len(active) / 2
        warm = len(active) - len(warming)
        if now < by.warm_at:
            by.add_credit(now, max(0.0, 1 - warm / half))
            return
        for host in warming:
            share = min(self.available_share(host, now), self.max_counted_share)
            host.add_credit(now, self.hosts.relative_capacity(host) * share / max(warm, half))
