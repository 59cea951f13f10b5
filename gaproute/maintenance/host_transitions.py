"""The state transitions of a round's hosts, which follow from their reports and from the held leases.

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
from gaproute.maintenance.turn import LEASE_RETRY_PAUSE, MaintenanceTurn
from gaproute.shared.leases import LeaseClient
from gaproute.units import SECOND

# Limit for each state between the drain order and the handover; a slower host is returned to service.
MAX_DRAIN_TIME = 120 * SECOND
HOST_RETURN_GRACE = 10 * SECOND  # time past a host's longest absence after which the host is lost
MAX_RELOAD_TIME = 60 * SECOND  # the longest time for a restarted host to load its previous functions


@dataclass(frozen=True)
class RoundContext:
    """What the parts of one round's controller share. `lease_duration`: duration of host leases, ns."""

    spec: RoundSpec
    client: LeaseClient
    lease_duration: int
    bounds: DrainBounds
    turn: MaintenanceTurn
    estimate: CapacityEstimate
    log: RoundLog


class HostTransitions:
    """Holds the hosts of a round and changes their states.

    `hosts`: by name; empty until the round has started.
    `last_order_number`: number of the last order to drain or serve.
    """

    def __init__(self, context: RoundContext) -> None:
        self.context, self.spec, self.log = context, context.spec, context.log
        self.hosts: dict[str, HostProgress] = {}
        self.last_order_number = 0

    def away_host_names(self) -> list[str]:
        """The names of the hosts that count as out of service."""
        return [host.name for host in self.hosts.values() if host.is_away]

    def take_next_order_mark(self) -> OrderMark:
        """Counts one more order to drain or to serve; returns its mark."""
        self.last_order_number += 1
        return OrderMark(self.context.turn.fencing_token, self.last_order_number)

    def find_drain_proof(self, host: HostProgress, report: HostReport | None) -> DrainProof:
        """The drain proof of the host, or `DrainProof.NONE`."""
        return drain_proof.find_drain_proof(report, host.drain_ordered_at, self.context.bounds)

    def process_report(
        self, now: int, host: HostProgress, report: HostReport | None, *, restarted: bool
    ) -> list[HostOrder]:
        """Processes a host's last report. `restarted`: the host's incarnation is new since the last tick."""
        if host.is_revocable:
            timed_out = host.time_in_state(now) > MAX_DRAIN_TIME
            if restarted or timed_out or not is_responsive(report, now):  # rule 9
                return self.return_to_service(
                    now,
                    host,
                    "restarted" if restarted else "not drained and handed over in time, or no answer",
                )
        match host.state:
            case HostState.WAITING:
                return self._process_waiting_host(now, host, report)
            case HostState.DRAINING:
                self._process_draining_host(now, host, report)
            case HostState.REQUESTING_LEASE | HostState.READY:
                return self._process_host_lease(now, host)
            case HostState.HANDED_OVER | HostState.LOST:
                return self._process_absent_host(now, host, report)
            case HostState.RELOADING:
                self._process_reloading_host(now, host)
        return []

    def _process_waiting_host(
        self, now: int, host: HostProgress, report: HostReport | None
    ) -> list[HostOrder]:
        if report is None:
            return []
        if report.completed_round == self.spec.name:
            self.log.enter_state(now, host, HostState.RELOADING, "reports the round as completed")
            return []
        if (
            report.draining
            and report.last_order.fencing_token
            and self.context.turn.is_held(now)
            and is_responsive(report, now)
            and host.time_in_state(now) > LEASE_RETRY_PAUSE
        ):
            # The host drains by an order of another turn, or by an order of this round that arrived late.
            host.state_since = now
            return [ServeOrder(host.name, self.take_next_order_mark())]
        return []

    def start_draining(
        self, now: int, host: HostProgress, incarnation: int, functions: tuple[str, ...]
    ) -> HostOrder:
        """Starts to take a host out of service. `functions`: its warm functions, to be loaded again later."""
        host.drain_ordered_at, host.drain_mark = now, self.take_next_order_mark()
        host.incarnation, host.previous_functions = incarnation, functions
        self.log.enter_state(now, host, HostState.DRAINING, "")
        return DrainOrder(host.name, host.drain_mark)

    def _process_draining_host(self, now: int, host: HostProgress, report: HostReport | None) -> None:
        proof = self.find_drain_proof(host, report)
        if proof:
            self.log.enter_state(now, host, HostState.REQUESTING_LEASE, proof)
            host.lease = self.context.client.acquire(now, f"out {host.name}", self.context.lease_duration)

    def _process_host_lease(self, now: int, host: HostProgress) -> list[HostOrder]:
        lease = host.lease
        assert lease is not None  # a host in these states has a lease
        if host.state == HostState.REQUESTING_LEASE and lease.is_valid_at(now):
            self.log.enter_state(now, host, HostState.READY, f"fencing token {lease.fencing_token}")
        elif not lease.is_open:
            return self.return_to_service(now, host, f"lease {lease.state} {lease.reason}")
        return []

    def hand_over(self, now: int, host: HostProgress) -> None:
        """Records that the host is handed over to its crew."""
        self.log.enter_state(now, host, HostState.HANDED_OVER, f"fencing token {host.fencing_token}")

    def _process_absent_host(
        self, now: int, host: HostProgress, report: HostReport | None
    ) -> list[HostOrder]:
        if report is not None and report.incarnation != host.incarnation:
            self._release_lease(now, host)
            if report.completed_round == self.spec.name:
                self.log.enter_state(now, host, HostState.RELOADING, "")
            else:  # rule 9
                self.log.enter_state(
                    now, host, HostState.WAITING, "restarted, but not by the crew of this round"
                )
            return []
        if host.state != HostState.HANDED_OVER:
            return []
        grant_expired = now > host.grant_expires_at
        if grant_expired and report is not None and report.asked_at > host.grant_expires_at:
            return self.return_to_service(now, host, "the crew never started its work")  # rule 7
        time_to_start = max(0, host.grant_expires_at - host.state_since)
        if host.time_in_state(now) > self.spec.max_absence + HOST_RETURN_GRACE + time_to_start:
            self.log.enter_state(now, host, HostState.LOST, "not back in time")  # rule 8
        return []

    def _process_reloading_host(self, now: int, host: HostProgress) -> None:
        complete = self.context.estimate.has_all_warm(host.name, host.previous_functions)
        if complete and self.context.turn.is_held(now) or host.time_in_state(now) > MAX_RELOAD_TIME:
            reason = "" if complete else "did not load all its previous functions in time"
            self.log.enter_state(now, host, HostState.DONE, reason)

    def revoke_departures(self, now: int, reason: str) -> list[HostOrder]:
        """Returns all hosts to service that are being taken out and are not handed over yet."""
        return [
            order
            for host in self.hosts.values()
            if host.is_revocable
            for order in self.return_to_service(now, host, reason)
        ]

    def return_to_service(self, now: int, host: HostProgress, reason: str) -> list[HostOrder]:
        """Stops taking a host out: the host serves again and waits to be taken out later."""
        self._release_lease(now, host)
        self.log.enter_state(now, host, HostState.WAITING, reason)
        return [ServeOrder(host.name, self.take_next_order_mark())] if self.context.turn.fencing_token else []

    def release_leases(self, now: int) -> None:
        """Releases the leases of all hosts at the end of the round."""
        for host in self.hosts.values():
            self._release_lease(now, host)

    def _release_lease(self, now: int, host: HostProgress) -> None:
        if host.lease is not None:
            self.context.client.release(now, host.lease)
            host.lease = None
