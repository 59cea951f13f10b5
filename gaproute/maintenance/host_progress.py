"""Progress of one host through a round of maintenance, and the incarnations of all hosts.

| state | meaning | next states |
| --- | --- | --- |
| `waiting` | in service, to be taken out; also after it was called off | `draining` |
| `draining` | ordered to take no new requests | `asking` if proved drained; `waiting` if called off |
| `asking` | drained; a lease for it is requested | `ready` once held; `waiting` if called off |
| `ready` | its crew may have it | `out` when the crew asks; `waiting` if called off |
| `out` | given to the crew, which may begin for a while | `back`, `lost`; `waiting` if the crew never began |
| `lost` | not back in time | `back` if it reports after all |
| `back` | restarted; the functions that it had before are loaded again | `done` |
| `done` | has again what it had, or that took too long | |
"""

from enum import StrEnum

from gaproute.maintenance.fleet_status import FleetStatus
from gaproute.maintenance.host_report import NO_ORDER, HostReport, is_responsive
from gaproute.shared.leases.requests import LeaseRequest


class HostState(StrEnum):
    """Where a host is in a round of maintenance; see the table above."""

    WAITING = "waiting"
    DRAINING = "draining"
    REQUESTING_LEASE = "asking"
    READY = "ready"
    OUT = "out"
    LOST = "lost"
    BACK = "back"
    DONE = "done"


# Not begun by the crew: can still be returned to service.
REVOCABLE_STATES = frozenset({HostState.DRAINING, HostState.REQUESTING_LEASE, HostState.READY})
AWAY_STATES = REVOCABLE_STATES | {HostState.OUT, HostState.LOST}


class HostProgress:
    """One host of a round. Times are in ns of the controller's clock.

    `state_since`: when its state began; `drain_ordered_at`, `drain_mark`: of the last order to drain.
    `lease`: under which it is taken out; `incarnation`: the one that was drained.
    `previous_functions`: those that it had warm before; `grant_expires_at`: until then the crew may begin.
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

    def enter(self, now: int, state: HostState) -> None:
        """The host is in this state from now on."""
        self.state, self.state_since = state, now

    def time_in_state(self, now: int) -> int:
        """Nanoseconds since its state began."""
        return now - self.state_since

    def holds_lease(self, now: int) -> bool:
        """Whether the lease for taking it out is held."""
        return self.lease is not None and self.lease.is_valid_at(now)

    @property
    def fencing_token(self) -> int:
        """Of its lease; 0 without one."""
        return self.lease.fencing_token if self.lease is not None else 0

    @property
    def is_away(self) -> bool:
        """Whether it counts as out of service."""
        return self.state in AWAY_STATES

    @property
    def is_revocable(self) -> bool:
        """Whether it is being taken out, but was not given to the crew yet."""
        return self.state in REVOCABLE_STATES


class HostIncarnations:
    """The incarnation of each host, and since when what is seen of it concerns this incarnation."""

    def __init__(self) -> None:
        self.current: dict[str, int] = {}
        self.seen_since: dict[str, int] = {}

    def update(self, status: FleetStatus) -> list[str]:
        """Takes in the reports; returns the hosts that have restarted since the last call."""
        restarted = []
        for name in status.fleet:
            report = status.reports.get(name)
            if report is not None and self.current.get(name) != report.incarnation:
                if name in self.current:
                    restarted.append(name)
                self.current[name], self.seen_since[name] = report.incarnation, report.asked_at
        for name in [name for name in self.current if name not in status.fleet]:
            del self.current[name], self.seen_since[name]
        return restarted

    def counted_since(self, now: int, turn_began: int, status: FleetStatus) -> dict[str, int]:
        """For each host whose warm functions count: the time after which observations of it count.

        A host counts only if it has answered since the turn began and does not drain: the previous holder
        of the turn may have given it to a crew until then.
        """
        return {
            name: max(turn_began, self.seen_since[name])
            for name in status.fleet
            if name in self.seen_since and _counts(now, turn_began, status.reports.get(name))
        }


def _counts(now: int, turn_began: int, report: HostReport | None) -> bool:
    return is_responsive(report, now) and report.asked_at > turn_began and not report.draining
