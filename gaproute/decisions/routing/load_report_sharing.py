"""Load reports that gateways share with each other; without I/O, times and random numbers are arguments.

Probes have a cost, and each request adds to the budget for them. A gateway that sees few requests could send
few probes, and its reports would be outdated before they are used. All gateways use the same hosts, so each
gateway probes the host with the oldest report and sends the new report to all others. A shared report
contains only the load of a host: it gives no credit to a host that warms up, causes no load order and lifts
no limit. A gateway that receives no reports relies on its own probes and requests.
"""

from collections.abc import Sequence

from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.reports.load_report_codec import LoadReportCodec
from gaproute.decisions.routing.host import Host
from gaproute.interface import HostLoadReport, RoutingSettings

MAX_COST_SHARE = 0.006  # share of the result that probes and shared reports may cost together
# Number of probes up to which requests add to the budget: it allows no burst of probes after a pause, and
# leaves no gap between probes at a steady rate of requests.
MAX_PROBE_BUDGET = 4
# The host to probe is drawn from the hosts with the oldest reports, one in so many hosts of the fleet: all
# gateways know the same reports and must not all probe the same host at one moment.
OLDEST_HOSTS_DIVISOR = 4
MESSAGE_BYTES = 256  # bytes to which the price of a message to another gateway refers


class LoadReportSharing:
    """Chooses the hosts to probe within the budget, and encodes and decodes shared load reports."""

    def __init__(self, settings: RoutingSettings) -> None:
        self.codec = LoadReportCodec(settings.reported_figures)
        self.is_enabled = settings.peers_allowed and settings.gateways > 1 and bool(self.codec.figures)
        sharing_price = settings.peer_price * settings.gateways * self.codec.encoded_size / MESSAGE_BYTES
        price = settings.probe_price + (sharing_price if self.is_enabled else 0.0)
        self.probes_are_free = price <= 0
        self.probes_per_request = MAX_COST_SHARE / price if price > 0 else 0.0
        self.probe_budget = 0.0  # probes that the requests so far allow and that were not sent yet

    def set_hosts(self, host_ids: Sequence[str]) -> None:
        """Sets the ids of the active hosts, to which messages refer."""
        self.codec.set_hosts(host_ids)

    def record_delivery(self) -> None:
        """Adds the share of a delivered request to the probe budget."""
        self.probe_budget = min(self.probe_budget + self.probes_per_request, MAX_PROBE_BUDGET)

    def can_afford_probe(self) -> bool:
        """Whether the budget allows a probe, or probes have no cost."""
        return self.probes_are_free or self.probe_budget >= 1

    def host_to_probe(
        self, now: int, active: Sequence[Host], interval: int, random: RandomGenerator
    ) -> Host | None:
        """Returns the host to probe.

        Returns None while all reports are younger than `interval` (ns) or the budget allows no probe.
        """
        if not active or not self.can_afford_probe():
            return None
        reported = sorted([(max(host.reported_at, host.probed_at), host.index) for host in active])
        oldest = (
            reported[: max(1, len(reported) // OLDEST_HOSTS_DIVISOR)] if self.is_enabled else reported[:1]
        )
        reported_at, index = oldest[random.below(len(oldest))]
        if now - reported_at < interval:
            return None
        self.probe_budget = max(0.0, self.probe_budget - 1)
        active[index].probed_at = now
        return active[index]

    def encode(self, host_id: str, report: HostLoadReport | None) -> bytes | None:
        """Returns the message for all other gateways, or None if reports are not shared."""
        if not self.is_enabled or report is None:
            return None
        return self.codec.encode(host_id, report)

    def decode(self, message: bytes) -> tuple[str, HostLoadReport] | None:
        """Returns (host id, report) from a message of another gateway, or None if it cannot be used."""
        return self.codec.decode(message)
