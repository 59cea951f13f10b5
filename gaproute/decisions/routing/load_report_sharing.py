"""Load reports that gateways send each other: no sockets, chance and clock handed in.

Where a gateway sees few requests it can pay for few probes, and its reports are old before they are used. All
see the same hosts, so each probes the one whose report is the oldest, and sends the report to all others.
A report is only of load: whoever gets none goes by its own probes and requests as before. It gives no
credit, orders nothing and lifts no limit.
"""

from collections.abc import Sequence

from gaproute.decisions.chance import Chance
from gaproute.decisions.reports.load_report_codec import LoadReportCodec
from gaproute.decisions.routing.host import Host
from gaproute.interface import Report, Terms

COST_SHARE = 0.006  # of the result: what probes and shared reports may cost together
SAVED_PROBES = 4  # that requests may save up: after a rest no burst, at a steady pace no gap
OLDEST_PART = 4  # the part of the fleet with the oldest reports, by chance among which one is probed:
#                  gateways get the same, and must not all ask the same host at one moment
MESSAGE_BYTES = 256  # that the price counts as one message


class LoadReportSharing:
    """Chooses the hosts to probe, within what the requests pay for, and encodes reports for the others."""

    def __init__(self, terms: Terms) -> None:
        self.codec = LoadReportCodec(terms.reported_figures)
        self.shares = terms.peers_allowed and terms.gateways > 1 and bool(self.codec.figures)
        sharing_price = terms.peer_price * terms.gateways * self.codec.size / MESSAGE_BYTES
        price = terms.probe_price + (sharing_price if self.shares else 0.0)
        self.free = price <= 0
        self.probes_per_request = COST_SHARE / price if price > 0 else 0.0
        self.paid_probes = 0.0  # that the requests so far have paid for

    def hosts_listed(self, host_ids: Sequence[str]) -> None:
        """These are the active hosts."""
        self.codec.set_hosts(host_ids)

    def request_delivered(self) -> None:
        """A request pays its part of a probe."""
        self.paid_probes = min(self.paid_probes + self.probes_per_request, SAVED_PROBES)

    def may_probe(self) -> bool:
        """Whether a probe is paid for."""
        return self.free or self.paid_probes >= 1

    def host_to_probe(self, now: int, active: Sequence[Host], interval: int, chance: Chance) -> Host | None:
        """The host to probe, or None where all reports are fresh; `interval`: how long a report serves."""
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

    def encode(self, host_id: str, report: Report | None) -> bytes | None:
        """The message for all other gateways; None where there is none."""
        if not self.shares or report is None:
            return None
        return self.codec.encode(host_id, report)

    def decode(self, message: bytes) -> tuple[str, Report] | None:
        """(host, report) of a message of another gateway; None where it cannot be used."""
        return self.codec.decode(message)
