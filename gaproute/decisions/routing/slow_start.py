"""Slow start: hosts that warm up get no more requests than they can handle."""

from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.host_table import HostTable
from gaproute.interface import RoutingSettings
from gaproute.units import SECOND

SAFE_LOAD_SHARE = 0.8  # share of the load at which a host that warms up fails: the rest is a margin
# Credit that a request gives to a host while no host is warm, as a share of the warm-up share in the
# settings. The answers then show what the hosts can do.
ALL_COLD_CREDIT_SHARE = 0.25
# Upper limit of that credit for each host, per ns: it is within the margin of the smallest host.
ALL_COLD_CREDIT_RATE = 1 / SECOND


class SlowStart:
    """Gives hosts that warm up credit for attempts, by the least share of capacity that each has."""

    def __init__(self, settings: RoutingSettings, hosts: HostTable) -> None:
        self.hosts = hosts
        self.initial_share, self.warm_up_time = settings.warm_up_share, settings.warm_up_time
        # Upper limit of the share of capacity that is assumed of a host that warms up.
        self.max_counted_share = SAFE_LOAD_SHARE * settings.warm_up_overload * settings.warm_up_share
        self.gateways = max(1, settings.gateways)
        self.last_request_at = -1  # time of the last request that gave credit

    def available_share(self, host: Host, now: int) -> float:
        """Returns the least share of its capacity that the host has."""
        left = max(0, host.warm_at - now) / max(1, self.warm_up_time)
        return 1.0 - (1.0 - self.initial_share) * left

    def record_request(self, now: int) -> None:
        """Gives credit for a request while no host is warm, so that some requests are attempted at all.

        All gateways together give each host at most a fixed credit per second. The rate of requests is not a
        suitable measure: the fewer requests are answered, the more clients retry.
        """
        active = self.hosts.active
        if now >= self.hosts.all_warm_at or not all([now < host.warm_at for host in active]):
            return
        share = ALL_COLD_CREDIT_SHARE * self.initial_share / (len(active) / 2)
        max_credit = ALL_COLD_CREDIT_RATE * (now - self.last_request_at) / self.gateways
        self.last_request_at = now
        for host in active:
            host.add_credit(now, min(self.hosts.relative_capacity(host) * share, max_credit))

    def record_answer(self, now: int, answering_host: Host) -> None:
        """Gives credit to hosts that warm up, for an answer of `answering_host`.

        An answer of a warm host gives each warming host as much as a warm host answers on average, reduced by
        the warming host's capacity and by the share of it that is certain. Credit depends on answers and not
        on time, so that it stays right in bursts, while hosts reject most requests, and at a gateway that has
        just started. If fewer than half of the hosts are warm, the average is taken over half of the fleet,
        and an answer of a warming host gives credit to that host alone, up to one attempt for each answer if
        no host is warm: a host can handle at least as much as it answers.
        """
        active = self.hosts.active
        warming = [host for host in active if now < host.warm_at]
        half = len(active) / 2
        warm_count = len(active) - len(warming)
        if now < answering_host.warm_at:
            answering_host.add_credit(now, max(0.0, 1 - warm_count / half))
            return
        for host in warming:
            share = min(self.available_share(host, now), self.max_counted_share)
            host.add_credit(now, self.hosts.relative_capacity(host) * share / max(warm_count, half))
