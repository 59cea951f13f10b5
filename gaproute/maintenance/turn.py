"""The turn of a round: a lease that one round of the fleet holds at a time.

Two rounds therefore never rely on the same warm capacity. A round that has held the turn for long begins
nothing new, waits until its hosts are back and releases the turn for a while, so that others get it.
"""

from gaproute.shared.leases import LeaseClient
from gaproute.shared.leases.requests import LeaseRequest, LeaseState
from gaproute.units import SECOND

RESOURCE = "maintenance turn"
MAX_HOLD_TIME = 300 * SECOND  # while another round may wait for the turn
RETRY_PAUSE = 2 * SECOND  # until a lease that was lost or rejected is requested again
YIELD_PAUSE = 3 * SECOND  # after the turn was released for others; longer than their `RETRY_PAUSE`


class MaintenanceTurn:
    """Requests, renews and releases the turn of one round. Times are in ns of the own clock.

    `held_since`: when the lease was first seen held; None without one.
    """

    def __init__(self, client: LeaseClient, lease_duration: int, now: int) -> None:
        self.client, self.lease_duration = client, lease_duration
        self.lease: LeaseRequest | None = None
        self.held_since: int | None = None
        self.next_request_at = now

    def is_held(self, now: int) -> bool:
        """Whether the turn is held and was noticed to be."""
        return self.held_since is not None and self._is_valid(now)

    def time_held(self, now: int) -> int:
        """Nanoseconds since the turn was first seen held; 0 without it."""
        return now - self.held_since if self.held_since is not None else 0

    @property
    def fencing_token(self) -> int:
        """Of the lease; 0 before it was granted."""
        return self.lease.fencing_token if self.lease is not None else 0

    @property
    def expires_at(self) -> int:
        """When the lease ends unless it is renewed; 0 before it was granted."""
        return self.lease.expires_at or 0 if self.lease is not None else 0

    def tick(self, now: int, *, hosts_away: bool) -> None:
        """Requests the turn, notices that it is held or lost, and releases it after long."""
        held = self._is_valid(now)
        if held and self.held_since is None:
            self.held_since = now
        if held and self.time_held(now) > MAX_HOLD_TIME and not hosts_away:
            self.release(now)
            self._drop(now + YIELD_PAUSE)
        elif not held and self.lease is not None and self.lease.state != LeaseState.REQUESTED:
            self._drop(now + RETRY_PAUSE)
        if self.lease is None and now >= self.next_request_at:
            self.lease = self.client.acquire(now, RESOURCE, self.lease_duration)

    def release(self, now: int) -> None:
        """Gives the turn back, if it is held or requested."""
        if self.lease is not None:
            self.client.release(now, self.lease)

    def _is_valid(self, now: int) -> bool:
        return self.lease is not None and self.lease.is_valid_at(now)

    def _drop(self, next_request_at: int) -> None:
        self.lease, self.held_since, self.next_request_at = None, None, next_request_at
