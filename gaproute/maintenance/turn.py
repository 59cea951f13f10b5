"""The maintenance turn: a lease that one round of the fleet holds at a time.

Two rounds therefore never rely on the same warm capacity. A round that has held the turn for long takes out
no more hosts, waits until its hosts are back and releases the turn for a while, so that other rounds get it.
"""

from gaproute.shared.leases import LeaseClient
from gaproute.shared.leases.requests import LeaseRequest, LeaseState
from gaproute.units import SECOND

TURN_RESOURCE = "maintenance turn"
MAX_TURN_HOLD_TIME = 300 * SECOND  # limited because another round may wait for the turn
LEASE_RETRY_PAUSE = 2 * SECOND  # time before a lost or rejected lease is requested again
# Time before the turn is requested again after its release for other rounds; longer than `LEASE_RETRY_PAUSE`,
# so that the other rounds request the turn first.
TURN_YIELD_PAUSE = 3 * SECOND


class MaintenanceTurn:
    """Requests, renews and releases the maintenance turn for one round. Times are in ns of the local clock.

    `held_since`: when `tick` first found the lease held; None while it is not held.
    """

    def __init__(self, client: LeaseClient, lease_duration: int, now: int) -> None:
        self.client, self.lease_duration = client, lease_duration
        self.lease: LeaseRequest | None = None
        self.held_since: int | None = None
        self.next_request_at = now

    def is_held(self, now: int) -> bool:
        """Whether the turn is held and an earlier `tick` found it held."""
        return self.held_since is not None and self._is_valid(now)

    def time_held(self, now: int) -> int:
        """Nanoseconds since `tick` first found the turn held; 0 if it is not held."""
        return now - self.held_since if self.held_since is not None else 0

    @property
    def fencing_token(self) -> int:
        """The fencing token of the lease; 0 before it is granted."""
        return self.lease.fencing_token if self.lease is not None else 0

    @property
    def expires_at(self) -> int:
        """When the lease ends unless it is renewed; 0 before it is granted."""
        return self.lease.expires_at or 0 if self.lease is not None else 0

    def tick(self, now: int, *, any_host_away: bool) -> None:
        """Requests the turn, records whether it is held, and releases it after `MAX_TURN_HOLD_TIME`."""
        held = self._is_valid(now)
        if held and self.held_since is None:
            self.held_since = now
        if held and self.time_held(now) > MAX_TURN_HOLD_TIME and not any_host_away:
            self.release(now)
            self._forget_lease(now + TURN_YIELD_PAUSE)
        elif not held and self.lease is not None and self.lease.state != LeaseState.REQUESTED:
            self._forget_lease(now + LEASE_RETRY_PAUSE)
        if self.lease is None and now >= self.next_request_at:
            self.lease = self.client.acquire(now, TURN_RESOURCE, self.lease_duration)

    def release(self, now: int) -> None:
        """Releases the turn if it is held or requested."""
        if self.lease is not None:
            self.client.release(now, self.lease)

    def _is_valid(self, now: int) -> bool:
        return self.lease is not None and self.lease.is_valid_at(now)

    def _forget_lease(self, next_request_at: int) -> None:
        self.lease, self.held_since, self.next_request_at = None, None, next_request_at
