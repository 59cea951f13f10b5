"""Progress of one host through a maintenance round, and the incarnations of all hosts.

| state | meaning | next states |
| --- | --- | --- |
| `waiting` | in service, still to be taken out, possibly after a revoked attempt | `draining`, `back` |
| `draining` | ordered to take no new requests | `asking` once proved drained; `waiting` if revoked |
| `asking` | drained; the host's lease is requested | `ready` once the lease is held; `waiting` if revoked |
| `ready` | may be handed over to the crew | `out` when the crew asks for it; `waiting` if revoked |
| `out` | handed over; the crew may start its work until the grant expires | `back`, `lost`, `waiting` |
| `lost` | not back in time | `back` or `waiting` once the host reports a new incarnation |
| `back` | restarted; its previous functions are loaded again | `done` |
| `done` | all previous functions are warm again, or loading them took too long | |

A host goes from `out` to `waiting` if the crew never started its work, or if the host restarted
without the crew. A host goes from `waiting` to `back` if it reports the round as completed.
"""

from enum import StrEnum

from gaproute.maintenance.fleet_status import FleetStatus
from gaproute.maintenance.host_report import NO_ORDER, HostReport, is_responsive
from gaproute.shared.leases.requests import LeaseRequest


class HostState(StrEnum):
    """The states of a host in a maintenance round; the module's table describes them by their values."""

    WAITING = "waiting"
    DRAINING = "draining"
    REQUESTING_LEASE = "asking"
    READY = "ready"
    HANDED_OVER = "out"
    LOST = "lost"
    RELOADING = "back"
    DONE = "done"


# Not handed over to the crew yet: the host can still be returned to service.
REVOCABLE_STATES = frozenset({HostState.DRAINING, HostState.REQUESTING_LEASE, HostState.READY})
AWAY_STATES = REVOCABLE_STATES | {HostState.HANDED_OVER, HostState.LOST}


class HostProgress:
    """The progress of one host of a round. Times are in ns of the controller's clock.

    `state_since`: when the host entered its state.
    `drain_ordered_at`, `drain_mark`: time and mark of the last drain order.
    `lease`: the lease under which the host is taken out of service.
    `incarnation`: the incarnation that was ordered to drain.
    `previous_functions`: the functions that were warm at the host before it drained.
    `grant_expires_at`: until then the crew may start its work.
    """

    __slots__ = (
        "name",
        "state",
        "state_since",
        "drain_ordered_at",
        "drain_mark",
        "lease",
        "incarnation",
        "previous_functions",
        "grant_expires_at",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.state, self.state_since = HostState.WAITING, 0
        self.drain_ordered_at, self.drain_mark = 0, NO_ORDER
        self.lease: LeaseRequest | None = None
        self.incarnation = 0
        self.previous_functions: tuple[str, ...] = ()
        self.grant_expires_at = 0

    def enter_state(self, now: int, state: HostState) -> None:
        """Records that the host is in this state from now on."""
        self.state, self.state_since = state, now

    def time_in_state(self, now: int) -> int:
        """Nanoseconds since the host entered its state."""
        return now - self.state_since

    def holds_lease(self, now: int) -> bool:
        """Whether the lease for taking the host out of service is held."""
        return self.lease is not None and self.lease.is_valid_at(now)

    @property
    def fencing_token(self) -> int:
        """The fencing token of the host's lease; 0 without a lease."""
        return self.lease.fencing_token if self.lease is not None else 0

    @property
    def is_away(self) -> bool:
        """Whether the host counts as out of service."""
        return self.state in AWAY_STATES

    @property
    def is_revocable(self) -> bool:
        """Whether the host is being taken out of service but is not handed over to the crew yet."""
        return self.state in REVOCABLE_STATES


class HostIncarnations:
    """The incarnation of each host.

    `first_probed_at`: when the first probe was sent that the present incarnation answered; what is observed
    of the host from then on concerns this incarnation.
    """

    def __init__(self) -> None:
        self.incarnations: dict[str, int] = {}
        self.first_probed_at: dict[str, int] = {}

    def update(self, status: FleetStatus) -> list[str]:
        """Records the reported incarnations; returns the hosts that have restarted since the last call."""
        restarted = []
        for name in status.fleet:
            report = status.reports.get(name)
            if report is not None and self.incarnations.get(name) != report.incarnation:
                if name in self.incarnations:
                    restarted.append(name)
                self.incarnations[name], self.first_probed_at[name] = report.incarnation, report.asked_at
        for name in [name for name in self.incarnations if name not in status.fleet]:
            del self.incarnations[name], self.first_probed_at[name]
        return restarted

    def counted_since(self, now: int, turn_held_since: int, status: FleetStatus) -> dict[str, int]:
        """For each host whose warm functions count: the time after which observations of the host count.

        A host counts only if it has answered since the turn was granted and does not drain: until then, the
        previous holder of the turn may have handed the host over to a crew.
        """
        return {
            name: max(turn_held_since, self.first_probed_at[name])
            for name in status.fleet
            if name in self.first_probed_at and _is_counted(now, turn_held_since, status.reports.get(name))
        }


def _is_counted(now: int, turn_held_since: int, report: HostReport | None) -> bool:
    return is_responsive(report, now) and report.asked_at > turn_held_since and not report.draining
