"""A scheduler of a maintenance run: an observer that runs rounds."""

from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeAlias

from gaproute.maintenance import FleetStatus, RoundController, RoundSpec
from gaproute.maintenance.host_progress import HostState
from gaproute.maintenance.invariants import check_estimate, check_grant, check_round
from gaproute.maintenance.orders import DrainOrder, GrantRejection, HostOrder, ServeOrder
from gaproute.shared.leases import LeaseClient
from gaproute.shared.leases.requests import LeaseRequest
from gaproute.simulation.process_slot import Outbox, OutgoingMessages
from gaproute.simulation.rounds.kinds import GATEWAYS, RAFT_NODES
from gaproute.simulation.rounds.messages import (
    DemandReport,
    Drain,
    HostHandover,
    LoadCopy,
    ReadyHostsQuery,
    Serve,
)
from gaproute.simulation.rounds.observer import HostObserver, ProcessStart
from gaproute.simulation.rounds.scene import RoundsScene
from gaproute.units import MILLI, SECOND

STEP_INTERVAL = 500 * MILLI  # between two looks at the rounds
LEASE_DURATION = 20 * SECOND  # some renewals may be lost
PEAK_TIME = 60 * SECOND  # the highest demand reported within it is the peak
MAX_DEMAND_SAMPLES = 8  # stored of a function beside the last one

ControllerFactory: TypeAlias = Callable[..., RoundController]


class DemandSample(NamedTuple):
    """Lanes in use, as reported at a time of the scheduler's clock."""

    lanes: int
    reported_at: int


class SimulatedScheduler(HostObserver):
    """Runs the rounds `specs`. `violations`: what the rounds' own invariants found, for the run to take."""

    def __init__(
        self,
        scene: RoundsScene,
        start: ProcessStart,
        specs: Sequence[RoundSpec],
        controller: ControllerFactory = RoundController,
    ) -> None:
        name, random, now, _ = start
        peers = [*(other for other in scene.kind.schedulers if other != name), *GATEWAYS]
        super().__init__(scene, start, peers)
        self.leases = LeaseClient(name, RAFT_NODES, random, now)
        self.rounds = [self._make_round(spec, now, controller) for spec in specs]
        self.violations: list[str] = []
        self._demand: dict[str, list[DemandSample]] = {}  # by function
        self._demand_reported_at = now - PEAK_TIME
        self._next_step_at = now

    def _make_round(self, spec: RoundSpec, now: int, controller: ControllerFactory) -> RoundController:
        others = [other for other in self.scene.rounds if other is not spec]
        return controller(spec, self.leases, now, lease_duration=LEASE_DURATION, other_rounds=others)

    @property
    def requests(self) -> list[LeaseRequest]:
        """Its leases, requested and held."""
        return self.leases.requests

    @property
    def due(self) -> int:
        """When `tick` is to be called."""
        times = [super().due, self._next_step_at]
        return min(times if self.leases.due is None else [*times, self.leases.due])

    def status(self, now: int) -> FleetStatus:
        """What the rounds look at."""
        functions, samples = self.scene.fleet.functions, self._demand.items()
        return FleetStatus(
            fleet=self.scene.fleet.hosts,
            reports=self.reports,
            sightings={function: self.gossip.warm_instances(now, function) for function in functions},
            demand={function: max(each.lanes for each in reported) for function, reported in samples},
            demand_age=now - self._demand_reported_at,
        )

    def tick(self, now: int) -> OutgoingMessages:
        """As an observer; it also steps the rounds and renews their leases."""
        outgoing = [*super().tick(now)]
        if now >= self._next_step_at:
            self._next_step_at = now + STEP_INTERVAL
            outgoing += self._step_rounds(now)
        return outgoing + self.leases.tick(now)

    def hear(self, now: int, sender: str, message: object) -> OutgoingMessages:
        """As an observer; it also takes replies about leases, demand, and a worker's questions."""
        if sender in RAFT_NODES:
            return self.leases.hear(now, sender, message)
        match message:
            case DemandReport():
                self._take_demand(now, message)
                return []
            case ReadyHostsQuery():
                return self._hand_over(now, sender, message.number)
        return super().hear(now, sender, message)

    def _step_rounds(self, now: int) -> Outbox:
        outgoing: Outbox = []
        status = self.status(now)
        for controller in self.rounds:
            outgoing += [(order.host, _message_of(order)) for order in controller.tick(now, status)]
            self.violations += check_round(controller, now, self.scene.fleet.hosts)
            self.violations += check_estimate(controller, now, status)
            self.scene.judge.record_progress(self.name, controller)
        return outgoing

    def _take_demand(self, now: int, report: DemandReport) -> None:
        self._demand_reported_at = now
        for function, lanes in report.lanes.items():
            higher = [
                sample
                for sample in self._demand.get(function, ())
                if sample.lanes > lanes and now - sample.reported_at < PEAK_TIME
            ]
            self._demand[function] = [*higher[-MAX_DEMAND_SAMPLES:], DemandSample(lanes, now)]

    def _hand_over(self, now: int, worker: str, number: int) -> OutgoingMessages:
        outgoing = []
        for controller in self.rounds:
            given = (HostState.READY, HostState.HANDED_OVER)
            ready = [host.name for host in controller.hosts.values() if host.state in given]
            for host in ready:
                answer = controller.request_host(now, host, self.status(now))
                self.violations += check_grant(controller, now, host, answer, self.scene.handed_out)
                if not isinstance(answer, GrantRejection):
                    name = controller.spec.name
                    outgoing.append((worker, HostHandover(number, host, *answer, name)))
        return outgoing


def _message_of(order: HostOrder) -> Drain | Serve | LoadCopy:
    """The message that brings the order to its host."""
    if isinstance(order, DrainOrder):
        return Drain(order.mark)
    return Serve(order.mark) if isinstance(order, ServeOrder) else LoadCopy(order.function)
