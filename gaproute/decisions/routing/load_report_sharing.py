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

COST_SHARE = 0.006  # of the result: what probes and shared reports may cost together
SAVED_PROBES = 4  # probes that requests may save up: no burst after a rest, no gap at a steady pace
# The host to probe is drawn among the hosts with the oldest reports, one in so many of the fleet: all
# gateways know the same reports, and must not all probe the same host at one moment.
OLDEST_PART = 4
MESSAGE_BYTES = 256  # size that the price counts as one message


class LoadReportSharing:
    """Chooses the hosts to probe, within what the requests pay for, and encodes reports for the others."""

    def __init__(self, terms: RoutingSettings) -> None:
        self.codec = LoadReportCodec(terms.reported_figures)
        self.shares = terms.peers_allowed and terms.gateways > 1 and bool(self.codec.figures)
        sharing_price = terms.peer_price * terms.gateways * self.codec.size / MESSAGE_BYTES
        price = terms.probe_price + (sharing_price if self.shares else 0.0)
        self.free = price <= 0
        self.probes_per_request = COST_SHARE / price if price > 0 else 0.0
        self.paid_probes = 0.0  # probes that requests have paid for and that were not sent yet

    def hosts_listed(self, host_ids: Sequence[str]) -> None:
        """Take over the ids of the active hosts, which messages refer to."""
        self.codec.set_hosts(host_ids)

    def request_delivered(self) -> None:
        """Count a request, which pays its part of a probe."""
        self.paid_probes = min(self.paid_probes + self.probes_per_request, SAVED_PROBES)

    def may_probe(self) -> bool:
        """Whether requests have paid for a probe, or probes are free."""
        return self.free or self.paid_probes >= 1

    def host_to_probe(
        self, now: int, active: Sequence[Host], interval: int, chance: RandomGenerator
    ) -> Host | None:
        """The host to probe, or None while all reports are younger than `interval` (ns) or none is paid."""
        if not active or not self.may_probe():
            return None
        reported = sorted([(max(host.reported_at, host.probed_at), host.index) for host in active])
        oldest = reported[: max(1, len(reported) // OLDEST_PART)] if self.shares else reported[:1]
        reported_at, index = oldest[chance.below(len(oldest))]
        if now - reported_at < interval:
            return None
        self.paid_probes = max(0.0, self.paid_probes - 1)
        active[index].probed_at = now
        return active[index]

    def encode(self, host_id: str, report: HostLoadReport | None) -> bytes | None:
        """The message for all other gateways, or None where reports are not shared."""
        if not self.shares or report is None:
            return None
        return self.codec.encode(host_id, report)

    def decode(self, message: bytes) -> tuple[str, HostLoadReport] | None:
        """(host id, report) of a message of another gateway; None where it cannot be used."""
        return self.codec.decode(message)
