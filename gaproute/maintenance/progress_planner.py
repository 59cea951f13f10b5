"""Plans the next steps of a running round: hosts to take out of service, functions to load.

Rule numbers refer to the docstring of `controller.py`.
"""

from gaproute.maintenance.capacity_floor import DEMAND_UNKNOWN, describe_first_shortfall
from gaproute.maintenance.feasibility import SchedulingEstimates, forecast_round
from gaproute.maintenance.fleet_status import FleetStatus
from gaproute.maintenance.host_progress import HostState
from gaproute.maintenance.host_report import is_responsive
from gaproute.maintenance.host_selection import HostSelector, RoundHosts
from gaproute.maintenance.host_transitions import HostTransitions, RoundContext
from gaproute.maintenance.load_planning import FunctionLoad, LoadSituation, plan_loads
from gaproute.maintenance.orders import HostOrder, LoadOrder, ServeOrder
from gaproute.maintenance.round_log import RoundStage
from gaproute.maintenance.turn import MAX_TURN_HOLD_TIME
from gaproute.units import SECOND

ORDER_EFFECT_TIMEOUT = 10 * SECOND  # an order without a visible effect by then counts as lost


class RecentOrders:
    """The times of recent orders to serve, by host, and of recent load orders, by load."""

    def __init__(self) -> None:
        self.serve_ordered_at: dict[str, int] = {}
        self.load_ordered_at: dict[FunctionLoad, int] = {}

    def expire(self, now: int) -> None:
        """Removes orders older than `ORDER_EFFECT_TIMEOUT`."""
        self.serve_ordered_at = {
            host: at for host, at in self.serve_ordered_at.items() if now - at < ORDER_EFFECT_TIMEOUT
        }
        self.load_ordered_at = {
            load: at for load, at in self.load_ordered_at.items() if now - at < ORDER_EFFECT_TIMEOUT
        }


class ProgressPlanner:
    """Decides the next steps while the round holds the maintenance turn.

    `recent_orders`: orders given lately; `known_feasible`: the round was found feasible or has started.
    """

    def __init__(
        self,
        context: RoundContext,
        transitions: HostTransitions,
        estimates: SchedulingEstimates,
        selector: HostSelector,
    ) -> None:
        self.spec, self.turn, self.estimate, self.log = (
            context.spec,
            context.turn,
            context.estimate,
            context.log,
        )
        self.transitions, self.estimates, self.selector = transitions, estimates, selector
        self.recent_orders = RecentOrders()
        self.known_feasible = False

    def end_drains_of_earlier_turns(self, now: int, status: FleetStatus) -> list[HostOrder]:
        """Serve orders for hosts outside this round that still drain for an earlier turn (rule 2)."""
        orders: list[HostOrder] = []
        for name, report in status.reports.items():
            if (
                name not in self.transitions.hosts
                and report.draining
                and 0 < report.last_order.fencing_token < self.turn.fencing_token
                and is_responsive(report, now)
                and name not in self.recent_orders.serve_ordered_at
            ):
                self.recent_orders.serve_ordered_at[name] = now
                orders.append(ServeOrder(name, self.transitions.take_next_order_mark()))
        return orders

    def find_obstacle(self, status: FleetStatus) -> str:
        """Why the round may not start; "" if it may, or if it has started already."""
        if self.known_feasible or self._has_started():
            self.known_feasible = True
            return ""
        if self.estimate.shortfalls == DEMAND_UNKNOWN:
            return describe_first_shortfall(self.estimate.shortfalls)
        free_slots = {
            name: report.free_slots for name, report in status.reports.items() if name in status.fleet
        }
        capacity = self.estimate.fleet_capacity(status)
        names = list(self.transitions.hosts)
        forecast = forecast_round(self.spec, capacity, names, free_slots, self.estimates)
        self.known_feasible = not forecast.obstacle
        return forecast.obstacle

    def _has_started(self) -> bool:
        """Whether any host was taken out already, possibly by an earlier process of this controller."""
        return any(host.state != HostState.WAITING for host in self.transitions.hosts.values())

    def next_orders(self, now: int, status: FleetStatus) -> list[HostOrder]:
        """Drain orders as far as the floor allows, load orders, and serve orders if the floor is not met."""
        orders: list[HostOrder] = []
        shortfalls = self.estimate.shortfalls
        if shortfalls:  # rule 4
            orders += self.transitions.revoke_departures(now, describe_first_shortfall(shortfalls))
            self.log.enter_stage(RoundStage.PAUSED, describe_first_shortfall(shortfalls))
        waiting = self._waiting_hosts_in_service(now, status)
        selected: list[str] = []
        if not shortfalls and self.turn.time_held(now) <= MAX_TURN_HOLD_TIME:  # rules 1, 5
            selected = self._select_hosts(now, status, waiting)
        orders += [self._start_draining(now, status, name) for name in selected]
        waiting = [name for name in waiting if name not in selected]
        return orders + self._order_loads(now, status, waiting)

    def _waiting_hosts_in_service(self, now: int, status: FleetStatus) -> list[str]:
        """The hosts in service that are still to be taken out."""
        names = []
        for host in self.transitions.hosts.values():
            report = status.reports.get(host.name)
            if host.state == HostState.WAITING and is_responsive(report, now) and not report.draining:
                names.append(host.name)
        return names

    def _select_hosts(self, now: int, status: FleetStatus, waiting: list[str]) -> list[str]:
        away = self.transitions.away_host_names()
        hosts = RoundHosts(waiting, away, status.unresponsive_hosts(now))
        selection = self.selector(self.spec, self.estimate.fleet_capacity(status), hosts)
        blocked = selection.first_blocked
        stuck = blocked is not None and not selection.hosts and not away
        self.log.enter_stage(RoundStage.RUNNING, blocked.reason if blocked is not None and stuck else "")
        return selection.hosts

    def _start_draining(self, now: int, status: FleetStatus, name: str) -> HostOrder:
        functions = tuple(function for function, lanes in self.estimate.warm_lanes[name].items() if lanes)
        host = self.transitions.hosts[name]
        return self.transitions.start_draining(now, host, status.reports[name].incarnation, functions)

    def _order_loads(self, now: int, status: FleetStatus, waiting: list[str]) -> list[HostOrder]:
        away = self.transitions.away_host_names()
        situation = LoadSituation(
            free_slots={
                name: report.free_slots
                for name, report in status.reports.items()
                if is_responsive(report, now)
                and not report.draining
                and name in status.fleet
                and name not in away
            },
            loads_in_progress=self._loads_in_progress(status),
            functions_to_reload={
                host.name: host.previous_functions
                for host in self.transitions.hosts.values()
                if host.state == HostState.RELOADING
            },
            max_loads=self.estimates.max_loads,
        )
        capacity = self.estimate.fleet_capacity(status)
        loads = plan_loads(self.spec, capacity, RoundHosts(waiting, away), situation)
        self.recent_orders.load_ordered_at.update(dict.fromkeys(loads, now))
        return [LoadOrder(load.host, load.function) for load in loads]

    def _loads_in_progress(self, status: FleetStatus) -> list[FunctionLoad]:
        """Loads that hosts report, and recently ordered loads whose function is not seen warm yet."""
        reported = {
            FunctionLoad(name, function)
            for name, report in status.reports.items()
            for function in report.loading_functions
        }
        ordered = {
            load
            for load in self.recent_orders.load_ordered_at
            if not self.estimate.warm_lanes[load.host].get(load.function)
        }
        return sorted(reported | ordered)
