"""What one gateway has of one host: planned lanes, leases, rollouts in flight, and the host's last report."""

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from gaproute.shared.leases.requests import LeaseRequest, LeaseState
from gaproute.units import MILLI

RETRY_PAUSE = 300 * MILLI  # until a lease that was rejected is requested again
MAX_LEASE_LANES = 4  # a lease: with fewer, more are renewed; with more, they cannot be released in parts
# A host that warms up gets a quarter of its rollouts; the rest of what it can bear is production's.
COLD_FRACTION = 4


class HostAvailability(NamedTuple):
    """A host's report. `asked_at`: when it was asked, ns of the own clock.

    `free_lanes`: above what is reserved; `production_waiting`: or production uses what is reserved.
    `warming_up`: it has started lately.
    """

    asked_at: int
    free_lanes: int
    production_waiting: bool
    warming_up: bool = False


class HostAllotment:
    """`targets`: planned lanes by campaign; `leases`: with the rollouts in flight under each.

    `closing`: leases that get no more rollouts and are released once empty; `in_flight`: rollouts by
    campaign.
    `ignore_until`: reports that were asked for before then do not count. After a rejection, which may mean
    that only a part of the lanes is there, smaller leases are requested.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.targets: dict[str, int] = {}
        self.leases: dict[LeaseRequest, int] = {}
        self.closing: list[LeaseRequest] = []
        self.in_flight: Counter[str] = Counter()
        self.asked_at: int | None = None
        self.free_lanes, self.production_waiting, self.warming_up = 0, True, False
        self.ignore_until = 0
        self.retry_at, self.max_lease_lanes = 0, MAX_LEASE_LANES

    def forget_closed_leases(self, now: int) -> None:
        """Forgets leases that were rejected or have ended, once no rollout under them is in flight."""
        for lease in [lease for lease in self.leases if not lease.is_open]:
            if lease.state == LeaseState.REJECTED:
                self.max_lease_lanes, self.retry_at = max(1, self.max_lease_lanes // 2), now + RETRY_PAUSE
            if not self.leases[lease]:
                del self.leases[lease]

    def open_leases(self) -> list[LeaseRequest]:
        """The leases that are requested or held and not about to be released."""
        return [lease for lease in self.leases if lease.is_open and lease not in self.closing]

    def mark_surplus(self, open_leases: Sequence[LeaseRequest]) -> int:
        """Marks leases beyond the targets to be released, the emptiest first; returns the lanes that stay."""
        lanes, target = sum(lease.amount for lease in open_leases), sum(self.targets.values())
        for lease in sorted(open_leases, key=lambda lease: (self.leases[lease], lease.amount)):
            if lanes - lease.amount >= target:
                self.closing.append(lease)
                lanes -= lease.amount
        return lanes

    def take_empty_surplus(self) -> list[LeaseRequest]:
        """Removes and returns the leases to be released under which no rollout is in flight."""
        empty = [lease for lease in self.closing if self.leases.get(lease) == 0]
        self.closing = [lease for lease in self.closing if self.leases.get(lease)]
        for lease in empty:
            del self.leases[lease]
        return empty

    def note_held(self, now: int, open_leases: Sequence[LeaseRequest]) -> None:
        """Requests larger leases again after a while, once one of these is held."""
        held = any(lease.state == LeaseState.HELD for lease in open_leases)
        if held and now >= self.retry_at + RETRY_PAUSE:
            self.max_lease_lanes = MAX_LEASE_LANES

    def is_news(self, report: HostAvailability) -> bool:
        """Whether the report counts and is not older than the last one."""
        if report.asked_at < self.ignore_until:
            return False
        return self.asked_at is None or report.asked_at >= self.asked_at

    def apply(self, report: HostAvailability, sent_since: int) -> None:
        """Takes in a report; so many rollouts were sent after the host was asked."""
        self.asked_at = report.asked_at
        self.production_waiting, self.warming_up = report.production_waiting, report.warming_up
        self.free_lanes = max(0, report.free_lanes) - sent_since

    def has_lane_for(self, campaign: str) -> bool:
        """Whether the campaign's target is above its rollouts in flight."""
        target = self.targets.get(campaign, 0)
        if self.warming_up:
            target = min(target, max(1, sum(self.targets.values()) // COLD_FRACTION))
        return self.in_flight[campaign] < target

    def has_free_lane(self, now: int, max_age: int) -> bool:
        """Whether the host reported, within `max_age` ns, a free lane and that no production waits."""
        fresh = self.asked_at is not None and now - self.asked_at < max_age
        return fresh and not self.production_waiting and self.free_lanes > 0

    def usable_lease(self, until: int) -> LeaseRequest | None:
        """A lease with a free lane that is valid until then."""
        for lease, rollouts in self.leases.items():
            if lease not in self.closing and rollouts < lease.amount and lease.is_valid_at(until):
                return lease
        return None

    def add(self, campaign: str, lease: LeaseRequest) -> None:
        """A rollout was sent."""
        self.free_lanes -= 1
        self.in_flight[campaign] += 1
        self.leases[lease] += 1

    def remove(self, campaign: str, lease: LeaseRequest, *, host_full: bool) -> None:
        """A rollout has ended; `host_full`: the host rejected it for want of a lane."""
        self.in_flight[campaign] -= 1
        if not self.in_flight[campaign]:
            del self.in_flight[campaign]
        self.leases[lease] -= 1
        self.free_lanes = 0 if host_full else self.free_lanes + 1
