"""A gateway of a campaign run: its leases, gossip, rollouts and copies, and the requests of production."""

from gaproute.rollouts.dispatcher import POLL_INTERVAL, RolloutDispatcher
from gaproute.rollouts.host_allotment import HostAvailability
from gaproute.rollouts.plan_distribution import GatewayPlan, PlanFilter
from gaproute.shared.gossip import GossipMessage, GossipNode
from gaproute.shared.leases import LeaseClient
from gaproute.simulation.campaigns.copy_loader import CopyLoader
from gaproute.simulation.campaigns.fleet import RAFT_NODES
from gaproute.simulation.campaigns.host_views import HostViews
from gaproute.simulation.campaigns.messages import (
    CancelTask,
    CopyLoaded,
    HostStatus,
    PlanUpdate,
    ProductionWaits,
    TaskEnded,
    VersionReport,
)
from gaproute.simulation.campaigns.planner import PRODUCTION, Planner
from gaproute.simulation.campaigns.production_client import ProductionClient
from gaproute.simulation.campaigns.rollout_sender import RolloutSender
from gaproute.simulation.campaigns.scene import Scene
from gaproute.simulation.process_slot import Outbox, OutgoingMessages
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.units import MILLI

VERSION_REPORT_INTERVAL = 500 * MILLI
COPY_STEP_INTERVAL = 100 * MILLI


class SimulatedGateway:
    """The gateway `name` of the scene."""

    def __init__(self, scene: Scene, name: str, random: SeededRandom, now: int) -> None:
        # The order in which the parts are made is that in which they draw their first random numbers.
        self.leases = LeaseClient(name, RAFT_NODES, random, now)
        self.dispatcher = RolloutDispatcher(self.leases, scene.fleet.campaigns, now)
        self.views = HostViews(scene.numbers)
        self.rollouts = RolloutSender(scene, name, random, self.dispatcher, self.views)
        self.copies = CopyLoader(self.leases, self.dispatcher, self.rollouts.weights, self.views)
        self.planner = Planner(scene, name, random, now, self.leases, self.views, self._production_demand)
        self.gossip = GossipNode(name, 1 + scene.numbers.next(), random, now)
        self.production = ProductionClient(scene)
        self.name, self.peers = name, [other for other in scene.fleet.gateways if other != name]
        self.gossip.set_peers(now, self.peers)
        self._plans = PlanFilter()
        self._production_waits: set[str] = set()  # hosts that peers were notified of; membership only
        self._query_at = self._report_at = self._copy_step_at = now

    @property
    def due(self) -> int:
        """When `tick` is to be called."""
        times = [self._query_at, self.gossip.due]
        return min(times if self.leases.due is None else [*times, self.leases.due])

    def tick(self, now: int) -> OutgoingMessages:
        """Does what is due."""
        outgoing: Outbox = [*self.leases.tick(now), *self.gossip.tick(now)]
        if now >= self._query_at:
            self._query_at = now + POLL_INTERVAL
            outgoing += self._query_hosts(now)
        if now >= self._report_at:
            self._report_at = now + VERSION_REPORT_INTERVAL
            report = VersionReport(dict(self.rollouts.weights.current))
            outgoing += [(peer, report) for peer in self.peers]
        if now >= self._copy_step_at:
            self._copy_step_at = now + COPY_STEP_INTERVAL
            outgoing += self.rollouts.drop_old_groups()
            outgoing += self.copies.step(now)
            self.production.expire(now)
        outgoing += self._plan(now)
        return outgoing + self.rollouts.send(now)

    def hear(self, now: int, sender: str, message: object) -> OutgoingMessages:
        """Takes a message; what it makes possible is sent at once."""
        if sender in RAFT_NODES:
            return self.leases.hear(now, sender, message)
        if isinstance(message, GossipMessage):
            self.planner.heard_at[sender] = now
            self.gossip.receive(now, sender, message)
            return []
        return self._handle(now, sender, message) + self.rollouts.send(now)

    def produce(self, now: int) -> OutgoingMessages:
        """A request of production comes."""
        self.gossip.record_arrival(now, PRODUCTION, 0)
        return self.production.send(now)

    def set_version(self, now: int, campaign: str, version: int) -> None:
        """The trainer has moved on; the other gateways are notified at the next tick."""
        self.rollouts.weights.record(campaign, version)
        self._report_at = 0

    def _production_demand(self, now: int) -> float:
        return self.gossip.demand(now, PRODUCTION, 0).total

    def _handle(self, now: int, sender: str, message: object) -> Outbox:
        match message:
            case HostStatus():
                return self._take_status(now, message)
            case ProductionWaits(host=host):
                self.dispatcher.record_production_waiting(now, host)
            case VersionReport(versions=versions):
                for campaign, version in versions.items():
                    self.rollouts.weights.record(campaign, version)
                self.planner.heard_at[sender] = now
            case PlanUpdate(plan=plan):
                self._take_plan(now, plan)
            case CopyLoaded(host=host, copy=copy):
                self.copies.record_end(now, host, copy)
            case TaskEnded():
                if not self.production.record_end(message.task):
                    self.rollouts.record_end(message)
        return []

    def _query_hosts(self, now: int) -> Outbox:
        """Asks hosts for their status, and forgets what was never answered."""
        self.views.expire(now)
        hosts = dict.fromkeys(self.dispatcher.hosts_to_poll())
        hosts.update(dict.fromkeys(self.planner.hosts_to_query(now)))
        queries = self.views.query(now, hosts)
        self.dispatcher.tick(now)
        self.rollouts.requeue_expired()
        return [*queries]

    def _take_status(self, now: int, status: HostStatus) -> Outbox:
        host = status.host
        asked_at = self.views.take(host, status)
        if asked_at is None:
            return []
        availability = HostAvailability(asked_at, status.free_lanes, status.production_waits, status.cold)
        self.dispatcher.record_report(now, host, availability)
        self.gossip.record_available_capacity(host, status.free_lanes)
        cancelled = self.dispatcher.rollouts_to_cancel(host, status.lanes_lacking)
        outgoing: Outbox = [(host, CancelTask(task)) for task in cancelled]
        if not status.production_waits:
            self._production_waits.discard(host)
        elif host not in self._production_waits:
            self._production_waits.add(host)
            outgoing += [(peer, ProductionWaits(host)) for peer in self.peers]
        return outgoing

    def _plan(self, now: int) -> Outbox:
        """Distributes a new plan where this gateway is the planner."""
        plans = self.planner.step(now)
        if self.name in plans:
            self._take_plan(now, plans[self.name])
        return [(peer, PlanUpdate(plan)) for peer, plan in plans.items() if peer != self.name]

    def _take_plan(self, now: int, plan: GatewayPlan) -> None:
        if self._plans.accept(plan):
            self.copies.planned = plan.copies
            self.dispatcher.set_targets(now, plan.lanes, plan.rates)
