"""Carries out a round of maintenance: what it orders next, from reports and estimates, under leases.

The rules, to which comments refer by number:

1. Nothing is begun, and no host given out, without the turn: a lease that one round of the fleet holds at a
   time. So two rounds never rely on the same warm capacity. A round that has held the turn for long begins
   nothing new, waits until its hosts are back and releases the turn for a while.
2. With a new turn the estimate of warm capacity begins anew: only hosts that answered after the turn was
   granted count, with functions seen after it. The previous holder may have given hosts out until its end;
   such a host drains, is gone or reports a new incarnation. Hosts that still drain by an older order are
   ordered to serve.
3. If the turn is lost (not renewed in time), hosts that have not been given out are returned to service;
   those that are out are followed.
4. If the estimated capacity falls below the floor, now or if one more failure is assumed, hosts that have
   not been given out are returned to service and no new ones begin; functions are loaded. The round goes on
   by itself once the floor is met again.
5. A host is taken out when the floor is met without it and without all that are away. If it is not,
   functions are loaded elsewhere.
6. A host is given to its crew when it is proved drained, the turn and the host's own lease are held, and the
   floor is met at that moment.
7. A host that was given out and still reports its old incarnation after the time in which the crew had to
   begin is returned to service: the crew never began.
8. A host that is not back in time is lost. It counts as away until it reports again; the round goes on as
   far as its limits and the floor allow.
9. After a restart that this round's crew did not cause, what was known of a host is void; it is still to go.
10. When the round is withdrawn or its deadline is over, nothing new begins, hosts that have not been given
    out
   are returned to service, and the round ends when all others are back.

After a restart of the controller's own process, hosts that report the round as completed are done, hosts
that drain by old orders are ordered to serve, and hosts that are away report a new incarnation when they
come back. The turn is requested anew; old leases expire.
"""

from collections.abc import Sequence

from gaproute.maintenance import capacity_floor, drain_proof
from gaproute.maintenance.capacity_estimate import CapacityEstimate
from gaproute.maintenance.drain_proof import DrainBounds
from gaproute.maintenance.feasibility import SchedulingEstimates
from gaproute.maintenance.fleet_status import FleetStatus
from gaproute.maintenance.host_progress import HostProgress, HostState
from gaproute.maintenance.host_selection import HostSelector, select_hosts
from gaproute.maintenance.host_transitions import HostTransitions, RoundContext
from gaproute.maintenance.orders import GrantRejection, HostGrant, HostOrder
from gaproute.maintenance.progress_planner import ProgressPlanner
from gaproute.maintenance.round_log import RoundLog, RoundStage
from gaproute.maintenance.round_spec import RoundSpec, selected_hosts
from gaproute.maintenance.spec_validation import find_mistakes
from gaproute.maintenance.turn import MaintenanceTurn
from gaproute.shared.leases import LeaseClient
from gaproute.units import SECOND

MIN_OBSERVATION_TIME = (
    4 * SECOND
)  # after a turn is granted: hosts have to be seen anew before anything is judged
FEASIBILITY_TIMEOUT = (
    20 * SECOND
)  # of a turn, until an infeasible round is rejected: the estimate fills first
REPEATED_GRANT_WINDOW = (
    10 * SECOND
)  # a crew that asks again so soon is answered again: its answer may be lost
DEFAULT_BOUNDS, DEFAULT_ESTIMATES = DrainBounds(), SchedulingEstimates()


class RoundController:
    """Carries out one round. Call `tick` regularly, and `request_host` when the crew wants a host.

    `client`: for leases, named as this gateway is in gossip; `lease_duration`: in ns.
    `other_rounds`: all others that may run at the same time, whose floors are met as well.
    `selector`: chooses the hosts that are taken out next.
    """

    def __init__(
        self,
        spec: RoundSpec,
        client: LeaseClient,
        now: int,
        *,
        lease_duration: int,
        other_rounds: Sequence[RoundSpec] = (),
        bounds: DrainBounds = DEFAULT_BOUNDS,
        estimates: SchedulingEstimates = DEFAULT_ESTIMATES,
        selector: HostSelector = select_hosts,
    ) -> None:
        self.spec = capacity_floor.with_strictest_failure(spec, other_rounds)
        self.started_at, self.withdrawn = now, False
        self.log = RoundLog()
        self.turn = MaintenanceTurn(client, lease_duration, now)
        self.estimate = CapacityEstimate(self.spec, other_rounds, client.name)
        context = RoundContext(self.spec, client, lease_duration, bounds, self.turn, self.estimate, self.log)
        self.transitions = HostTransitions(context)
        self.planner = ProgressPlanner(context, self.transitions, estimates, selector)

    @property
    def hosts(self) -> dict[str, HostProgress]:
        """The hosts of the round by name; empty until it has begun."""
        return self.transitions.hosts

    def withdraw(self) -> None:
        """Ends the round as soon as the hosts that are out are back."""
        self.withdrawn = True

    def holds_turn(self, now: int) -> bool:
        """Whether the round has the turn."""
        return self.turn.is_held(now)

    def tick(self, now: int, status: FleetStatus) -> list[HostOrder]:
        """The orders that hosts are to be given now."""
        if self.log.is_over or not self.hosts and not self._start_round(status):
            return []
        self.planner.recent_orders.expire(now)
        restarted = self.estimate.incarnations.update(status)
        self.turn.tick(now, any_host_away=bool(self.transitions.away_host_names()))
        self._update_estimate(now, status)
        orders = [
            order
            for host in self.hosts.values()
            for order in self.transitions.process_report(
                now, host, status.reports.get(host.name), restarted=host.name in restarted
            )
        ]
        return orders + self._advance_round(now, status)

    def request_host(self, now: int, name: str, status: FleetStatus) -> HostGrant | GrantRejection:
        """The crew wants to begin its work at a host."""
        host = self.hosts.get(name)
        if host is None or not self._can_be_handed_over(now, host):
            return GrantRejection(f"{name} is not ready")
        if not (self.holds_turn(now) and host.holds_lease(now)):  # rules 1, 6
            return GrantRejection("no lease")
        if host.state == HostState.READY:
            report = status.reports.get(name)
            if (
                report is None
                or not self.transitions.find_drain_proof(host, report)
                or report.incarnation != host.incarnation
            ):
                return GrantRejection("not drained")
            self._update_estimate(now, status)
            if self.estimate.shortfalls:  # rule 6: judged again at the last moment
                return GrantRejection(capacity_floor.describe_first_shortfall(self.estimate.shortfalls))
            self.transitions.hand_over(now, host)
        return self._make_grant(now, host)

    @staticmethod
    def _can_be_handed_over(now: int, host: HostProgress) -> bool:
        if host.state == HostState.HANDED_OVER:
            return host.time_in_state(now) <= REPEATED_GRANT_WINDOW
        return host.state == HostState.READY

    def _make_grant(self, now: int, host: HostProgress) -> HostGrant:
        lease_end = host.lease.expires_at or 0 if host.lease is not None else 0
        time_left = min(self.turn.expires_at, lease_end) - now
        latest_start = now + time_left + drain_proof.clock_error_allowance(time_left)
        host.grant_expires_at = max(host.grant_expires_at, latest_start)
        return HostGrant(host.fencing_token, host.drain_mark, time_left)

    def _start_round(self, status: FleetStatus) -> bool:
        mistakes = find_mistakes(self.spec, status.fleet, status.demand)
        if mistakes:
            self.log.enter_stage(RoundStage.REJECTED, "; ".join(mistakes))
            return False
        for host in selected_hosts(self.spec, status.fleet):
            self.hosts[host.name] = HostProgress(host.name)
        return True

    def _update_estimate(self, now: int, status: FleetStatus) -> None:
        turn_held_since = self.turn.held_since if self.turn.is_held(now) else None
        away = self.transitions.away_host_names()
        self.estimate.update(now, now if turn_held_since is None else turn_held_since, status, away)

    def _advance_round(self, now: int, status: FleetStatus) -> list[HostOrder]:
        """Ends the round, calls off what was begun, or takes the next steps."""
        if self.withdrawn or now - self.started_at > self.spec.deadline:  # rule 10
            reason = "withdrawn" if self.withdrawn else "by is over"
            orders = self.transitions.revoke_departures(now, reason)
            if all(self.hosts[name].state == HostState.LOST for name in self.transitions.away_host_names()):
                self._end_round(now, reason)
            return orders
        if all(host.state == HostState.DONE for host in self.hosts.values()):
            self._end_round(now, "")
            return []
        if not self.holds_turn(now):
            orders = self.transitions.revoke_departures(now, "no turn")  # rule 3
            away = self.transitions.away_host_names()
            self.log.enter_stage(RoundStage.PAUSED if away else RoundStage.REQUESTING_TURN, "no turn")
            return orders
        if self.turn.time_held(now) < MIN_OBSERVATION_TIME:
            return []
        return self._advance_under_turn(now, status)

    def _advance_under_turn(self, now: int, status: FleetStatus) -> list[HostOrder]:
        """The next steps under the turn; a round that is not feasible is rejected before the first one."""
        orders = self.planner.end_drains_of_earlier_turns(now, status)
        obstacle = self.planner.find_obstacle(status)
        if not obstacle:
            return orders + self.planner.next_orders(now, status)
        if self.turn.time_held(now) > FEASIBILITY_TIMEOUT:
            self._end_round(now, obstacle)
            self.log.enter_stage(RoundStage.REJECTED, obstacle)
        else:
            self.log.enter_stage(RoundStage.REQUESTING_TURN, obstacle)
        return orders

    def _end_round(self, now: int, reason: str) -> None:
        self.turn.release(now)
        self.transitions.release_leases(now)
        self.log.enter_stage(RoundStage.ENDED, reason)
