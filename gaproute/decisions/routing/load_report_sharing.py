"""Load reports that gateways send each other; no I/O here: time and random numbers are handed in.

Probes have a price, which requests pay for. A gateway that sees few requests could send few probes, and its
reports would be old before they are used. All gateways use the same hosts, so each gateway probes the host
with the oldest report and sends the new report to all others. A shared report carries only the load of a
host: it gives no credit to a host that warms up, causes no load order and lifts no limit. A gateway that
receives none relies on its own probes and requests.
"""

from collections.abc import Sequence

from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.reports.load_report_codec import LoadReportCodec
from gaproute.decisions.routing.host import Host
from gaproute.interface import HostLoadReport, RoutingSettings

MAX_COST_SHARE = 0.006  # of the result: what probes and shared reports may cost together
MAX_PROBE_BUDGET = 4  # probes that requests may save up: no burst after a rest, no gap at a steady pace
# The host to probe is drawn among the hosts with the oldest reports, one in so many of the fleet: all
# gateways know the same reports, and must not all probe the same host at one moment.
OLDEST_HOSTS_DIVISOR = 4
MESSAGE_BYTES = 256  # size that the price counts as one message


class LoadReportSharing:
    """Chooses the hosts to probe, within what the requests pay for, and encodes reports for the others."""

    def __init__(self, settings: RoutingSettings) -> None:
        self.codec = LoadReportCodec(settings.reported_figures)
        self.is_enabled = settings.peers_allowed and settings.gateways > 1 and bool(self.codec.figures)
        sharing_price = settings.peer_price * settings.gateways * self.codec.size / MESSAGE_BYTES
        price = settings.probe_price + (sharing_price if self.is_enabled else 0.0)
        self.probes_are_free = price <= 0
        self.probes_per_request = MAX_COST_SHARE / price if price > 0 else 0.0
        self.probe_budget = 0.0  # probes that requests have paid for and that were not sent yet

    def set_hosts(self, host_ids: Sequence[str]) -> None:
        """Take over the ids of the active hosts, which messages refer to."""
        self.codec.set_hosts(host_ids)

    def record_delivery(self) -> None:
        """Count a request, which pays its part of a probe."""
        self.probe_budget = min(self.probe_budget + self.probes_per_request, MAX_PROBE_BUDGET)

    def can_afford_probe(self) -> bool:
        """Whether requests have paid for a probe, or probes are free."""
        return self.probes_are_free or self.probe_budget >= 1

    def host_to_probe(
        self, now: int, active: Sequence[Host], interval: int, random: RandomGenerator
    ) -> Host | None:
        """The host to probe, or None while all reports are younger than `interval` (ns) or none is paid."""
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
        """The message for all other gateways, or None where reports are not shared."""
        if not self.is_enabled or report is None:
            return None
        return self.codec.encode(host_id, report)

    def decode(self, message: bytes) -> tuple[str, HostLoadReport] | None:
        """(host id, report) of a message of another gateway; None where it cannot be used."""
        return self.codec.decode(message)
