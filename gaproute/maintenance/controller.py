"""Carries out a maintenance round: derives orders to hosts from reports and estimates, under leases.

Comments refer to these rules by number:

1. A round takes hosts out of service, orders loads and hands hosts over to its crew only while it holds the
   maintenance turn, a lease that one round of the fleet holds at a time. Two rounds therefore never rely on
   the same warm capacity. A round that has held the turn for long takes out no more hosts, waits until its
   hosts are back and releases the turn for a while.
2. When the turn is granted, the estimate of warm capacity starts from nothing: only hosts that answered a
   probe after the grant count, with the functions seen after the grant. The previous holder may have handed
   hosts over until its lease ended; such a host drains, is absent or reports a new incarnation. Hosts that
   still drain by an older order are ordered to serve.
3. If the turn is lost (not renewed in time), hosts that are not handed over yet are returned to service;
   hosts that are handed over are tracked further.
4. If the estimated capacity falls below the floor, now or under one more assumed failure, hosts that are
   not handed over yet are returned to service, no more hosts are taken out, and functions are loaded. The
   round continues without intervention once the floor is met again.
5. A host is taken out when the floor is met without this host and without all hosts that are away.
   Otherwise functions are loaded at other hosts.
6. A host is handed over to its crew when it is proved drained, the turn and the host's own lease are held,
   and the floor is met at that moment.
7. A host that was handed over is returned to service if it still reports its old incarnation after the
   time in which the crew had to start its work: the crew never started.
8. A host that is not back in time is lost. It counts as away until it reports again; the round continues as
   far as its limits and the floor allow.
9. After a restart that this round's crew did not cause, the earlier knowledge of a host is void; the host
   is still to be taken out.
10. When the round is withdrawn or its deadline has passed, no more hosts are taken out, hosts that are not
    handed over yet are returned to service, and the round ends when all others are back.

After a restart of the controller's own process, hosts that report the round as completed are done, hosts
that drain by old orders are ordered to serve, and hosts that are away report a new incarnation when they
are back. The controller requests the turn again; its old leases expire.
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

# No decision is made earlier after the turn is granted: the hosts have to answer new probes first.
MIN_OBSERVATION_TIME = 4 * SECOND
# An infeasible round is rejected once the turn is held for longer: until then the estimate is incomplete.
FEASIBILITY_TIMEOUT = 20 * SECOND
# A crew that repeats its request within this time gets another grant: the first answer may be lost.
REPEATED_GRANT_WINDOW = 10 * SECOND
DEFAULT_BOUNDS, DEFAULT_ESTIMATES = DrainBounds(), SchedulingEstimates()


class RoundController:
    """Carries out one round. Call `tick` regularly, and `request_host` when the crew asks for a host.

    `client`: the lease client, whose name is this gateway's name in gossip; `lease_duration`: in ns.
    `other_rounds`: all rounds that may run at the same time; their floors are met as well.
    `selector`: selects the hosts that are taken out next.
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
        self.spec = capacity_floor.with_strictest_failure_level(spec, other_rounds)
        self.started_at, self.withdrawn = now, False
        self.log = RoundLog()
        self.turn = MaintenanceTurn(client, lease_duration, now)
        self.estimate = CapacityEstimate(self.spec, other_rounds, client.name)
        context = RoundContext(self.spec, client, lease_duration, bounds, self.turn, self.estimate, self.log)
        self.transitions = HostTransitions(context)
        self.planner = ProgressPlanner(context, self.transitions, estimates, selector)

    @property
    def hosts(self) -> dict[str, HostProgress]:
        """The hosts of the round by name; empty until the round has started."""
        return self.transitions.hosts

    def withdraw(self) -> None:
        """Ends the round as soon as the hosts that are handed over are back."""
        self.withdrawn = True

    def holds_turn(self, now: int) -> bool:
        """Whether the round holds the maintenance turn."""
        return self.turn.is_held(now)

    def tick(self, now: int, status: FleetStatus) -> list[HostOrder]:
        """Advances the round; returns the orders to send to hosts now."""
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
        """Answers the crew's request to start its work at a host."""
        host = self.hosts.get(name)
        if host is None or not self._can_be_handed_over(now, host):
            return GrantRejection(f"{name} is not ready to be handed over")
        if not (self.holds_turn(now) and host.holds_lease(now)):  # rules 1, 6
            return GrantRejection("the maintenance turn or the lease of the host is not held")
        if host.state == HostState.READY:
            report = status.reports.get(name)
            if (
                report is None
                or not self.transitions.find_drain_proof(host, report)
                or report.incarnation != host.incarnation
            ):
                return GrantRejection("the host is not proved drained, or has restarted")
            self._update_estimate(now, status)
            if self.estimate.shortfalls:  # rule 6: the floor is checked again right before the handover
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
        """Ends the round, returns hosts to service, or takes the next steps."""
        if self.withdrawn or now - self.started_at > self.spec.deadline:  # rule 10
            reason = "withdrawn" if self.withdrawn else "by: the deadline of the round has passed"
            orders = self.transitions.revoke_departures(now, reason)
            if all(self.hosts[name].state == HostState.LOST for name in self.transitions.away_host_names()):
                self._end_round(now, reason)
            return orders
        if all(host.state == HostState.DONE for host in self.hosts.values()):
            self._end_round(now, "")
            return []
        if not self.holds_turn(now):
            orders = self.transitions.revoke_departures(now, "the maintenance turn is not held")  # rule 3
            away = self.transitions.away_host_names()
            self.log.enter_stage(
                RoundStage.PAUSED if away else RoundStage.REQUESTING_TURN, "the maintenance turn is not held"
            )
            return orders
        if self.turn.time_held(now) < MIN_OBSERVATION_TIME:
            return []
        return self._advance_under_turn(now, status)

    def _advance_under_turn(self, now: int, status: FleetStatus) -> list[HostOrder]:
        """Takes the next steps while the turn is held; rejects an infeasible round before its first step."""
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
