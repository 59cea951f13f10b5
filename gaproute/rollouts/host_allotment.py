"""One gateway's state for one host: planned lanes, leases, rollouts in flight and the host's last report."""

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from gaproute.shared.leases.requests import LeaseRequest, LeaseState
from gaproute.units import MILLI

RETRY_PAUSE = 300 * MILLI  # time between a rejected lease request and the next request
# Largest number of lanes of one lease. Smaller leases need more renewals; a larger lease holds more lanes
# that are released only together.
MAX_LEASE_LANES = 4
# A host that is warming up gets a quarter of its rollouts; the rest of its reduced capacity is production's.
WARM_UP_DIVISOR = 4


class HostAvailability(NamedTuple):
    """A host's report of its lanes.

    `asked_at`: when the gateway queried the host, in ns of the own clock.
    `free_lanes`: free lanes beyond the reserved lanes.
    `production_waiting`: whether production waits for a lane or has begun to use the reserved lanes.
    `warming_up`: whether the host started recently.
    """

    asked_at: int
    free_lanes: int
    production_waiting: bool
    warming_up: bool = False


class HostAllotment:
    """The lanes of one host that are allotted to one gateway.

    `targets`: planned lanes by campaign; `leases`: number of rollouts in flight by lease.
    `surplus_leases`: leases that get no more rollouts and are released once none is in flight under them.
    `in_flight`: number of rollouts in flight by campaign.
    `ignore_until`: reports of queries before this time are ignored.
    `max_lease_lanes`: lanes of the next lease request. A rejection halves it, since the pool may have only
    some of the requested lanes free.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.targets: dict[str, int] = {}
        self.leases: dict[LeaseRequest, int] = {}
        self.surplus_leases: list[LeaseRequest] = []
        self.in_flight: Counter[str] = Counter()
        self.asked_at: int | None = None
        self.free_lanes, self.production_waiting, self.warming_up = 0, True, False
        self.ignore_until = 0
        self.retry_at, self.max_lease_lanes = 0, MAX_LEASE_LANES

    def remove_ended_leases(self, now: int) -> None:
        """Removes leases that were rejected or have ended, once no rollout under them is in flight."""
        for lease in [lease for lease in self.leases if not lease.is_open]:
            if lease.state == LeaseState.REJECTED:
                self.max_lease_lanes, self.retry_at = max(1, self.max_lease_lanes // 2), now + RETRY_PAUSE
            if not self.leases[lease]:
                del self.leases[lease]

    def open_leases(self) -> list[LeaseRequest]:
        """The leases that are requested or held, without surplus leases."""
        return [lease for lease in self.leases if lease.is_open and lease not in self.surplus_leases]

    def mark_surplus_leases(self, open_leases: Sequence[LeaseRequest]) -> int:
        """Marks leases beyond the targets for release, those with the fewest rollouts first.

        Returns the number of lanes of the remaining leases.
        """
        lanes, target = sum(lease.amount for lease in open_leases), sum(self.targets.values())
        for lease in sorted(open_leases, key=lambda lease: (self.leases[lease], lease.amount)):
            if lanes - lease.amount >= target:
                self.surplus_leases.append(lease)
                lanes -= lease.amount
        return lanes

    def pop_empty_surplus_leases(self) -> list[LeaseRequest]:
        """Removes and returns the surplus leases under which no rollout is in flight."""
        empty = [lease for lease in self.surplus_leases if self.leases.get(lease) == 0]
        self.surplus_leases = [lease for lease in self.surplus_leases if self.leases.get(lease)]
        for lease in empty:
            del self.leases[lease]
        return empty

    def restore_lease_size(self, now: int, open_leases: Sequence[LeaseRequest]) -> None:
        """Restores the full lease size if a lease is held and `RETRY_PAUSE` has passed since `retry_at`."""
        held = any(lease.state == LeaseState.HELD for lease in open_leases)
        if held and now >= self.retry_at + RETRY_PAUSE:
            self.max_lease_lanes = MAX_LEASE_LANES

    def accepts_report(self, report: HostAvailability) -> bool:
        """Whether the report is neither to be ignored nor older than the last report."""
        if report.asked_at < self.ignore_until:
            return False
        return self.asked_at is None or report.asked_at >= self.asked_at

    def apply_report(self, report: HostAvailability, sent_since: int) -> None:
        """Applies a report. `sent_since`: number of rollouts sent since the host was queried."""
        self.asked_at = report.asked_at
        self.production_waiting, self.warming_up = report.production_waiting, report.warming_up
        self.free_lanes = max(0, report.free_lanes) - sent_since

    def is_below_target(self, campaign: str) -> bool:
        """Whether the campaign has fewer rollouts in flight than its target."""
        target = self.targets.get(campaign, 0)
        if self.warming_up:
            target = min(target, max(1, sum(self.targets.values()) // WARM_UP_DIVISOR))
        return self.in_flight[campaign] < target

    def has_free_lane(self, now: int, max_age: int) -> bool:
        """Whether the host reported, within `max_age` ns, a free lane and that no production waits."""
        fresh = self.asked_at is not None and now - self.asked_at < max_age
        return fresh and not self.production_waiting and self.free_lanes > 0

    def find_usable_lease(self, until: int) -> LeaseRequest | None:
        """A lease that has a free lane and is valid at the time `until`, or None."""
        for lease, rollouts in self.leases.items():
            if lease not in self.surplus_leases and rollouts < lease.amount and lease.is_valid_at(until):
                return lease
        return None

    def add_rollout(self, campaign: str, lease: LeaseRequest) -> None:
        """Counts a rollout that was sent."""
        self.free_lanes -= 1
        self.in_flight[campaign] += 1
        self.leases[lease] += 1

    def remove_rollout(self, campaign: str, lease: LeaseRequest, *, host_full: bool) -> None:
        """Removes an ended rollout from the counts. `host_full`: rejected because no lane was free."""
        self.in_flight[campaign] -= 1
        if not self.in_flight[campaign]:
            del self.in_flight[campaign]
        self.leases[lease] -= 1
        self.free_lanes = 0 if host_full else self.free_lanes + 1
