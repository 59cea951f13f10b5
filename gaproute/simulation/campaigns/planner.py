"""The part of a simulated gateway that plans, while it holds the planner's lease."""

from collections.abc import Callable, Mapping, Sequence

from gaproute.rollouts.dispatcher import pool_name
from gaproute.rollouts.forecast import DemandReading, FleetForecast
from gaproute.rollouts.greedy import greedy_plan
from gaproute.rollouts.host_assignment import assign_hosts, assign_rates
from gaproute.rollouts.plan import CampaignDemand, CopyPlan, PlanningProblem
from gaproute.rollouts.plan_distribution import (
    PLANNER_RESOURCE,
    GatewayPlan,
    planned_copies,
    planned_lanes,
)
from gaproute.shared.leases import LeaseClient
from gaproute.shared.leases.requests import LeaseRequest
from gaproute.simulation.campaigns.copy_loader import EXCHANGE
from gaproute.simulation.campaigns.host_views import HostView, HostViews
from gaproute.simulation.campaigns.scene import MEAN_PRODUCTION_TIME, Scene
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.units import MILLI, SECOND

PLAN_INTERVAL = SECOND
QUERY_INTERVAL = 250 * MILLI  # between queries of all hosts
SILENCE_LIMIT = 1500 * MILLI  # a host or gateway that is silent for so long gets nothing
LEASE_DURATION = 4 * SECOND
PLANNED_SLOTS = 4
WANTED_LANES = 10_000  # by each campaign: as many as there are
PRODUCTION = "p"  # production's function, in gossip


class Planner:
    """Plans for all gateways that were heard lately.

    `name`: of its own gateway. `demand(now)`: of production, requests a second, as gossip says.
    """

    def __init__(
        self,
        scene: Scene,
        name: str,
        random: SeededRandom,
        now: int,
        leases: LeaseClient,
        views: HostViews,
        demand: Callable[[int], float],
    ) -> None:
        self.scene, self.name, self.random = scene, name, random
        self.leases, self.views, self.demand = leases, views, demand
        self.heard_at: dict[str, int] = {}  # by peer
        self._lease: LeaseRequest | None = None
        self._request_lease_at = now + random.below(PLAN_INTERVAL)
        self._query_at = self._plan_at = now
        self._plan_number = 0
        self._owners: dict[str, str] = {}  # by host: the gateway that had it in the last plan
        self._pool_sizes: dict[str, int] = {}  # as set under this lease
        self._forecast = FleetForecast()

    def hosts_to_query(self, now: int) -> Sequence[str]:
        """The hosts that are to be asked for their status now."""
        if not self._is_planner(now) or now < self._query_at:
            return ()
        self._query_at = now + QUERY_INTERVAL
        return list(self.scene.fleet.hosts)

    def step(self, now: int) -> Mapping[str, GatewayPlan]:
        """The plans that are to be distributed now, by gateway; its own gateway's too."""
        if (self._lease is None or not self._lease.is_open) and now >= self._request_lease_at:
            delay = PLAN_INTERVAL // 2 + self.random.below(PLAN_INTERVAL)
            self._request_lease_at = now + delay
            self._lease = self.leases.acquire(now, PLANNER_RESOURCE, LEASE_DURATION)
            self._owners, self._pool_sizes = {}, {}
            self._plan_at = now + PLAN_INTERVAL // 2
        if not self._is_planner(now) or now < self._plan_at:
            return {}
        self._plan_at = now + PLAN_INTERVAL
        self._size_pools(now)
        views = self.views.by_host
        known = {host: view for host, view in views.items() if now - view.asked_at < SILENCE_LIMIT}
        return self._distribute(now, self._plan(now, known)) if known else {}

    def _is_planner(self, now: int) -> bool:
        return self._lease is not None and self._lease.is_valid_at(now)

    def _size_pools(self, now: int) -> None:
        """Sets the sizes of the pools of leases where they are not set yet."""
        fleet = self.scene.fleet
        sizes = {pool_name(host): fleet.lendable[host] for host in fleet.hosts}
        sizes[EXCHANGE] = max(2, len(fleet.hosts) // 3)
        for name, size in sizes.items():
            if self._pool_sizes.get(name) != size:
                self._pool_sizes[name] = size
                self.leases.resize_pool(now, name, size)

    def _plan(self, now: int, known: Mapping[str, HostView]) -> CopyPlan:
        """The greedy plan for the hosts that are known."""
        fleet = self.scene.fleet
        hosts = [fleet.hosts[host] for host in fleet.hosts if host in known]
        reading = DemandReading(self.demand(now), 0.0, MEAN_PRODUCTION_TIME / SECOND)
        self._forecast.record(now, {PRODUCTION: reading})
        loaded = {
            (copy.campaign, host) for host, view in known.items() for copy in view.copies | view.loading
        }
        return greedy_plan(
            PlanningProblem(
                spare_lanes=self._forecast.spare_lanes(now, hosts, fleet.lendable, slots=PLANNED_SLOTS),
                # A campaign's old and new copy are at a host together while they are exchanged.
                copy_capacity={host.name: host.copy_capacity // 2 for host in hosts},
                demands=[
                    CampaignDemand(name, 1, campaign.weight, WANTED_LANES)
                    for name, campaign in fleet.campaigns.items()
                ],
                loaded=sorted(loaded),
                max_loads=max(2, len(hosts) // 2),
            )
        )

    def _distribute(self, now: int, plan: CopyPlan) -> dict[str, GatewayPlan]:
        """Each gateway's part of the plan."""
        fleet = self.scene.fleet
        targets, self._owners = assign_hosts(
            planned_lanes(plan), fleet.lendable, self._alive(now), self._owners, fleet.zones
        )
        copies = planned_copies(plan)
        rates = assign_rates(targets, fleet.campaigns)
        self._plan_number += 1
        token = self._lease.fencing_token if self._lease is not None else 0
        return {
            gateway: GatewayPlan(token, self._plan_number, targets[gateway], rates[gateway], copies)
            for gateway in self._alive(now)
        }

    def _alive(self, now: int) -> list[str]:
        """The gateways that are planned for, by name."""
        peers = (peer for peer in self.scene.fleet.gateways if peer != self.name)
        heard = [peer for peer in peers if now - self.heard_at.get(peer, -SILENCE_LIMIT) < SILENCE_LIMIT]
        return sorted([*heard, self.name])
