"""How the hosts of a round change their states, from what they report and from the leases that are held.

Rule numbers refer to the docstring of `controller.py`.
"""

from dataclasses import dataclass

from gaproute.maintenance import drain_proof
from gaproute.maintenance.capacity_estimate import CapacityEstimate
from gaproute.maintenance.drain_proof import DrainBounds, DrainProof
from gaproute.maintenance.host_progress import HostProgress, HostState
from gaproute.maintenance.host_report import HostReport, OrderMark, is_responsive
from gaproute.maintenance.orders import DrainOrder, HostOrder, ServeOrder
from gaproute.maintenance.round_log import RoundLog
from gaproute.maintenance.round_spec import RoundSpec
from gaproute.maintenance.turn import RETRY_PAUSE, MaintenanceTurn
from gaproute.shared.leases import LeaseClient
from gaproute.units import SECOND

MAX_DRAIN_TIME = 120 * SECOND  # a host that has not drained by then is returned to service
RETURN_GRACE = 10 * SECOND  # beyond a host's longest absence until it is lost
MAX_RELOAD_TIME = 60 * SECOND  # that a host that came back has to load again what it had


@dataclass(frozen=True)
class RoundParts:
    """What the parts of one round's controller share. `lease_duration`: of leases for hosts, ns."""

    spec: RoundSpec
    client: LeaseClient
    lease_duration: int
    bounds: DrainBounds
    turn: MaintenanceTurn
    estimate: CapacityEstimate
    log: RoundLog


class HostTransitions:
    """Owns the hosts of a round and moves them from state to state.

    `hosts`: by name; empty until the round has begun. `last_mark`: number of the last order to drain or
    serve.
    """

    def __init__(self, parts: RoundParts) -> None:
        self.parts, self.spec, self.log = parts, parts.spec, parts.log
        self.hosts: dict[str, HostProgress] = {}
        self.last_mark = 0

    def names_away(self) -> list[str]:
        """The hosts that count as out of service."""
        return [host.name for host in self.hosts.values() if host.is_away]

    def next_mark(self) -> OrderMark:
        """The mark of the next order to drain or serve."""
        self.last_mark += 1
        return OrderMark(self.parts.turn.fencing_token, self.last_mark)

    def proof(self, host: HostProgress, report: HostReport | None) -> DrainProof:
        """By what the host is proved drained."""
        return drain_proof.find_proof(report, host.drain_ordered_at, self.parts.bounds)

    def follow(
        self, now: int, host: HostProgress, report: HostReport | None, *, restarted: bool
    ) -> list[HostOrder]:
        """Takes in a host's last report. `restarted`: its incarnation is new."""
        if host.is_revocable:
            timed_out = host.time_in_state(now) > MAX_DRAIN_TIME
            if restarted or timed_out or not is_responsive(report, now):  # rule 9
                return self.return_to_service(now, host, "restarted" if restarted else "not drained in time")
        match host.state:
            case HostState.WAITING:
                return self._follow_waiting(now, host, report)
            case HostState.DRAINING:
                self._follow_draining(now, host, report)
            case HostState.REQUESTING_LEASE | HostState.READY:
                return self._follow_lease(now, host)
            case HostState.OUT | HostState.LOST:
                return self._follow_absent(now, host, report)
            case HostState.BACK:
                self._follow_back(now, host)
        return []

    def _follow_waiting(self, now: int, host: HostProgress, report: HostReport | None) -> list[HostOrder]:
        if report is None:
            return []
        if report.completed_round == self.spec.name:
            self.log.enter_state(now, host, HostState.BACK, "reports the round as completed")
            return []
        if (
            report.draining
            and report.last_order.fencing_token
            and self.parts.turn.is_held(now)
            and is_responsive(report, now)
            and host.time_in_state(now) > RETRY_PAUSE
        ):
            host.state_since = now  # it drains by another turn's order, or by one of ours that came late
            return [ServeOrder(host.name, self.next_mark())]
        return []

    def start_draining(
        self, now: int, host: HostProgress, incarnation: int, functions: tuple[str, ...]
    ) -> HostOrder:
        """Begins to take a host out. `functions`: those that it has warm, to be loaded again later."""
        host.drain_ordered_at, host.drain_mark = now, self.next_mark()
        host.incarnation, host.previous_functions = incarnation, functions
        self.log.enter_state(now, host, HostState.DRAINING, "")
        return DrainOrder(host.name, host.drain_mark)

    def _follow_draining(self, now: int, host: HostProgress, report: HostReport | None) -> None:
        proof = self.proof(host, report)
        if proof:
            self.log.enter_state(now, host, HostState.REQUESTING_LEASE, proof)
            host.lease = self.parts.client.acquire(now, f"out {host.name}", self.parts.lease_duration)

    def _follow_lease(self, now: int, host: HostProgress) -> list[HostOrder]:
        lease = host.lease
        assert lease is not None  # in these states
        if host.state == HostState.REQUESTING_LEASE and lease.is_valid_at(now):
            self.log.enter_state(now, host, HostState.READY, f"fence {lease.fencing_token}")
        elif not lease.is_open:
            return self.return_to_service(now, host, f"lease {lease.state} {lease.reason}")
        return []

    def give_out(self, now: int, host: HostProgress) -> None:
        """The host is given to its crew."""
        self.log.enter_state(now, host, HostState.OUT, f"fence {host.fencing_token}")

    def _follow_absent(self, now: int, host: HostProgress, report: HostReport | None) -> list[HostOrder]:
        if report is not None and report.incarnation != host.incarnation:
            self._release_lease(now, host)
            if report.completed_round == self.spec.name:
                self.log.enter_state(now, host, HostState.BACK, "")
            else:  # rule 9
                self.log.enter_state(now, host, HostState.WAITING, "restarted, but not by its crew")
            return []
        if host.state != HostState.OUT:
            return []
        grant_expired = now > host.grant_expires_at
        if grant_expired and report is not None and report.asked_at > host.grant_expires_at:
            return self.return_to_service(now, host, "the crew never began")  # rule 7
        time_to_begin = max(0, host.grant_expires_at - host.state_since)
        if host.time_in_state(now) > self.spec.max_absence + RETURN_GRACE + time_to_begin:
            self.log.enter_state(now, host, HostState.LOST, "not back")  # rule 8
        return []

    def _follow_back(self, now: int, host: HostProgress) -> None:
        complete = self.parts.estimate.has_all(host.name, host.previous_functions)
        if complete and self.parts.turn.is_held(now) or host.time_in_state(now) > MAX_RELOAD_TIME:
            reason = "" if complete else "has not all that it had"
            self.log.enter_state(now, host, HostState.DONE, reason)

    def revoke(self, now: int, reason: str) -> list[HostOrder]:
        """Returns all hosts to service that have not been given out."""
        return [
            order
            for host in self.hosts.values()
            if host.is_revocable
            for order in self.return_to_service(now, host, reason)
        ]

    def return_to_service(self, now: int, host: HostProgress, reason: str) -> list[HostOrder]:
        """Calls off what was begun with a host: it is to serve again and still to be taken out."""
        self._release_lease(now, host)
        self.log.enter_state(now, host, HostState.WAITING, reason)
        return [ServeOrder(host.name, self.next_mark())] if self.parts.turn.fencing_token else []

    def release_leases(self, now: int) -> None:
        """Releases the leases of all hosts, as the round ends."""
        for host in self.hosts.values():
            self._release_lease(now, host)

    def _release_lease(self, now: int, host: HostProgress) -> None:
        if host.lease is not None:
            self.parts.client.release(now, host.lease)
            host.lease = None
