"""The next steps of a running round: hosts to be taken out, functions to be loaded.

Rule numbers refer to the docstring of `controller.py`.
"""

from gaproute.maintenance.capacity_floor import DEMAND_UNKNOWN, describe
from gaproute.maintenance.feasibility import SchedulingEstimates, forecast_round
from gaproute.maintenance.fleet_status import FleetStatus
from gaproute.maintenance.host_progress import HostState
from gaproute.maintenance.host_report import is_responsive
from gaproute.maintenance.host_selection import HostSelector, RoundHosts
from gaproute.maintenance.host_transitions import HostTransitions, RoundParts
from gaproute.maintenance.load_planning import FunctionLoad, LoadSituation, plan_loads
from gaproute.maintenance.orders import HostOrder, LoadOrder, ServeOrder
from gaproute.maintenance.round_log import RoundStage
from gaproute.maintenance.turn import MAX_HOLD_TIME
from gaproute.units import SECOND

ORDER_MEMORY = 10 * SECOND  # an order whose effect was not seen by then counts as lost


class RecentOrders:
    """Orders given lately: by host (to serve) or load, when."""

    def __init__(self) -> None:
        self.serves: dict[str, int] = {}
        self.loads: dict[FunctionLoad, int] = {}

    def expire(self, now: int) -> None:
        """Forgets what was ordered too long ago."""
        self.serves = {host: at for host, at in self.serves.items() if now - at < ORDER_MEMORY}
        self.loads = {load: at for load, at in self.loads.items() if now - at < ORDER_MEMORY}


class ProgressPlanner:
    """Decides the next steps while the round has the turn.

    `recent`: the orders given lately; `feasible`: the round was found to be feasible, or has begun.
    """

    def __init__(
        self,
        parts: RoundParts,
        transitions: HostTransitions,
        estimates: SchedulingEstimates,
        selector: HostSelector,
    ) -> None:
        self.spec, self.turn, self.estimate, self.log = parts.spec, parts.turn, parts.estimate, parts.log
        self.transitions, self.estimates, self.selector = transitions, estimates, selector
        self.recent = RecentOrders()
        self.feasible = False

    def serve_after_old_orders(self, now: int, status: FleetStatus) -> list[HostOrder]:
        """Orders other hosts to serve that still drain for an earlier holder of the turn (rule 2)."""
        orders: list[HostOrder] = []
        for name, report in status.reports.items():
            if (
                name not in self.transitions.hosts
                and report.draining
                and 0 < report.last_order.fencing_token < self.turn.fencing_token
                and is_responsive(report, now)
                and name not in self.recent.serves
            ):
                self.recent.serves[name] = now
                orders.append(ServeOrder(name, self.transitions.next_mark()))
        return orders

    def find_obstacle(self, status: FleetStatus) -> str:
        """What forbids to begin the round; "" if nothing does, or if it has begun already."""
        if self.feasible or self._has_begun():
            self.feasible = True
            return ""
        if self.estimate.shortfalls == DEMAND_UNKNOWN:
            return describe(self.estimate.shortfalls)
        free_slots = {
            name: report.free_slots for name, report in status.reports.items() if name in status.fleet
        }
        capacity = self.estimate.capacity(status)
        names = list(self.transitions.hosts)
        forecast = forecast_round(self.spec, capacity, names, free_slots, self.estimates)
        self.feasible = not forecast.obstacle
        return forecast.obstacle

    def _has_begun(self) -> bool:
        """Whether hosts were taken out already, possibly by the process before this one."""
        return any(host.state != HostState.WAITING for host in self.transitions.hosts.values())

    def next_orders(self, now: int, status: FleetStatus) -> list[HostOrder]:
        """Drain orders, as far as the floor allows, and load orders; calls off what it does not allow."""
        orders: list[HostOrder] = []
        shortfalls = self.estimate.shortfalls
        if shortfalls:  # rule 4
            orders += self.transitions.revoke(now, describe(shortfalls))
            self.log.enter_stage(RoundStage.PAUSED, describe(shortfalls))
        waiting = self._serving_hosts(now, status)
        selected: list[str] = []
        if not shortfalls and self.turn.time_held(now) <= MAX_HOLD_TIME:  # rules 1, 5
            selected = self._select(now, status, waiting)
        orders += [self._start_draining(now, status, name) for name in selected]
        waiting = [name for name in waiting if name not in selected]
        return orders + self._load(now, status, waiting)

    def _serving_hosts(self, now: int, status: FleetStatus) -> list[str]:
        """The hosts still to go that are in service."""
        names = []
        for host in self.transitions.hosts.values():
            report = status.reports.get(host.name)
            if host.state == HostState.WAITING and is_responsive(report, now) and not report.draining:
                names.append(host.name)
        return names

    def _select(self, now: int, status: FleetStatus, waiting: list[str]) -> list[str]:
        away = self.transitions.names_away()
        hosts = RoundHosts(waiting, away, status.unresponsive_hosts(now))
        selection = self.selector(self.spec, self.estimate.capacity(status), hosts)
        blocked = selection.first_blocked
        stuck = blocked is not None and not selection.hosts and not away
        self.log.enter_stage(RoundStage.RUNNING, blocked.reason if blocked is not None and stuck else "")
        return selection.hosts

    def _start_draining(self, now: int, status: FleetStatus, name: str) -> HostOrder:
        functions = tuple(function for function, lanes in self.estimate.warm[name].items() if lanes)
        host = self.transitions.hosts[name]
        return self.transitions.start_draining(now, host, status.reports[name].incarnation, functions)

    def _load(self, now: int, status: FleetStatus, waiting: list[str]) -> list[HostOrder]:
        away = self.transitions.names_away()
        situation = LoadSituation(
            free_slots={
                name: report.free_slots
                for name, report in status.reports.items()
                if is_responsive(report, now)
                and not report.draining
                and name in status.fleet
                and name not in away
            },
            loading=self._loads_under_way(status),
            to_restore={
                host.name: host.previous_functions
                for host in self.transitions.hosts.values()
                if host.state == HostState.BACK
            },
            max_loads=self.estimates.max_loads,
        )
        capacity = self.estimate.capacity(status)
        loads = plan_loads(self.spec, capacity, RoundHosts(waiting, away), situation)
        self.recent.loads.update(dict.fromkeys(loads, now))
        return [LoadOrder(load.host, load.function) for load in loads]

    def _loads_under_way(self, status: FleetStatus) -> list[FunctionLoad]:
        """Loads that hosts report, and those ordered lately that are not seen warm yet."""
        reported = {
            FunctionLoad(name, function)
            for name, report in status.reports.items()
            for function in report.loading_functions
        }
        ordered = {load for load in self.recent.loads if not self.estimate.warm[load.host].get(load.function)}
        return sorted(reported | ordered)
