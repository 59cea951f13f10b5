"""Decides which rollouts one gateway may send to which host, under leases and after production.

A rollout is sent only if all of these conditions hold:

- A lease of the host's pool has a free lane and, by the gateway's own clock, remains valid for the rollout's
  transit and its maximum duration. This keeps the sum of all gateways' rollouts within the pool even if
  gateways are partitioned, restarted or run twice: a leased lane is released, or expires, only after the
  rollout on it has ended.
- The host itself reported recently that lanes are free and that no production waits. This stops rollouts
  within `MAX_REPORT_AGE` of production's need even if no other gateway is reachable: a gateway without a
  recent report sends nothing.
- The campaign's rate limit allows it.
"""

from collections.abc import Mapping

from gaproute.rollouts.campaign import Campaign
from gaproute.rollouts.host_allotment import HostAllotment, HostAvailability
from gaproute.rollouts.in_flight import InFlightRollout
from gaproute.rollouts.rate_limit import RateLimit
from gaproute.shared.leases import LeaseClient
from gaproute.shared.leases.requests import LeaseRequest
from gaproute.units import MILLI

# From the query of a host until its report expires. The guarantee is that rollouts stop within 200 ms.
MAX_REPORT_AGE = 150 * MILLI
POLL_INTERVAL = (
    25 * MILLI
)  # between queries of a host with an allotment; production may wait this long for a cancel
MAX_ALLOTMENTS = 1024  # hosts with an allotment; also the most lease requests that a lease client may have
MAX_IN_FLIGHT_ROLLOUTS = 4096


class RolloutDispatcher:
    """One gateway's allotments of hosts and its rollouts in flight. Times are in ns of the own clock.

    `client`: acquires and releases leases; `campaigns`: by name.
    """

    def __init__(self, client: LeaseClient, campaigns: Mapping[str, Campaign], now: int) -> None:
        self.client, self.campaigns = client, campaigns
        self.allotments: dict[str, HostAllotment] = {}  # by host
        self.in_flight: dict[str, InFlightRollout] = {}  # by rollout, in the order of sending
        self.rate_limits = {name: RateLimit(now) for name in campaigns}

    def set_targets(
        self, now: int, targets: Mapping[str, Mapping[str, int]], rates: Mapping[str, float] | None = None
    ) -> None:
        """Follows a new plan. `targets`: lanes by host and campaign; the leases of other hosts are released.

        `rates`: by campaign, rollouts a second; campaigns without an entry keep their rate.
        """
        added = [host for host in targets if host not in self.allotments]
        for host in added[: MAX_ALLOTMENTS - len(self.allotments)]:
            self.allotments[host] = HostAllotment(host)
        for host, allotment in self.allotments.items():
            allotment.targets = {
                name: lanes
                for name, lanes in targets.get(host, {}).items()
                if name in self.campaigns and lanes > 0
            }
        for name, rate in (rates or {}).items():
            if name in self.rate_limits:
                self.rate_limits[name].rate = rate
        self.tick(now)

    def tick(self, now: int) -> None:
        """Adjusts leases to the targets and records the end of rollouts that their hosts must have ended."""
        for rollout in [name for name, sent in self.in_flight.items() if sent.ends_by <= now]:
            self.record_ended(rollout)
        for host in list(self.allotments):
            allotment = self.allotments[host]
            allotment.remove_ended_leases(now)
            self._adjust_leases(now, allotment)
            if not allotment.targets and not allotment.leases:
                del self.allotments[host]

    def _adjust_leases(self, now: int, allotment: HostAllotment) -> None:
        open_leases = allotment.open_leases()
        lanes = allotment.mark_surplus_leases(open_leases)
        for lease in allotment.pop_empty_surplus_leases():
            self.client.release(now, lease)
        allotment.restore_lease_size(now, open_leases)
        target = sum(allotment.targets.values())
        while lanes < target and now >= allotment.retry_at and len(self.client.requests) < MAX_ALLOTMENTS:
            duration = max(self.campaigns[name].lease_duration for name in allotment.targets)
            amount = min(allotment.max_lease_lanes, target - lanes)
            lease = self.client.acquire(now, pool_name(allotment.host), duration, amount)
            allotment.leases[lease] = 0
            lanes += amount

    def hosts_to_poll(self) -> list[str]:
        """The hosts to query for their free lanes."""
        return [host for host, allotment in self.allotments.items() if allotment.targets]

    def record_report(self, now: int, host: str, report: HostAvailability) -> None:
        """Records a host's report; an outdated report is ignored."""
        allotment = self.allotments.get(host)
        if allotment is None or report.asked_at > now or not allotment.accepts_report(report):
            return
        sent_since = sum(
            sent.host == host and sent.sent_at >= report.asked_at for sent in self.in_flight.values()
        )
        allotment.apply_report(report, sent_since)

    def record_production_waiting(self, now: int, host: str) -> None:
        """Records that production found no free lane at the host.

        The gateway sends no rollouts there until the host, queried after this call, reports free lanes.
        """
        allotment = self.allotments.get(host)
        if allotment is not None:
            allotment.production_waiting, allotment.ignore_until = True, now

    def rollouts_to_cancel(self, host: str, lanes: int) -> list[str]:
        """Rollouts to cancel to free lanes for production: the last sent, since they lose the least work."""
        cancellable = [
            name
            for name, sent in self.in_flight.items()
            if sent.host == host and self.campaigns[sent.campaign].cancellable
        ]
        return cancellable[::-1][: max(0, lanes)]

    def find_lease(self, now: int, campaign_name: str, host: str) -> LeaseRequest | None:
        """A lease under which a rollout of the campaign may be sent to the host now, or None."""
        campaign, allotment = self.campaigns.get(campaign_name), self.allotments.get(host)
        if campaign is None or allotment is None or len(self.in_flight) >= MAX_IN_FLIGHT_ROLLOUTS:
            return None
        if not allotment.is_below_target(campaign_name) or not allotment.has_free_lane(now, MAX_REPORT_AGE):
            return None
        if not self.rate_limits[campaign_name].allows(now):
            return None
        return allotment.find_usable_lease(now + campaign.min_lease_time)

    def record_sent(self, now: int, rollout: str, campaign_name: str, host: str, lease: LeaseRequest) -> None:
        """Records that a rollout of the campaign was sent under the lease."""
        self.allotments[host].add_rollout(campaign_name, lease)
        self.rate_limits[campaign_name].record_sent(now)
        ends_by = now + self.campaigns[campaign_name].min_lease_time
        self.in_flight[rollout] = InFlightRollout(campaign_name, host, lease, now, ends_by)

    def record_ended(self, rollout: str, *, host_full: bool = False) -> None:
        """Records that a rollout was answered, which proves that its lane is free, or that its time is over.

        `host_full`: the host rejected the rollout because it had no free lane.
        """
        sent = self.in_flight.pop(rollout, None)
        if sent is not None:
            self.allotments[sent.host].remove_rollout(sent.campaign, sent.lease, host_full=host_full)


def pool_name(host: str) -> str:
    """The name of the lease pool that contains the host's lanes for rollouts."""
    return f"rollouts/{host}"
