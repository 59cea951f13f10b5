"""One run of rounds of maintenance: true copies, beliefs that lag behind, leases of a Raft group, faults."""

from __future__ import annotations

from collections.abc import Callable

from gaproute.maintenance import RoundController, RoundSpec
from gaproute.shared.leases import LeaseTable
from gaproute.shared.raft import RaftNode
from gaproute.simulation.disk import SimulatedDisk
from gaproute.simulation.invariant_checks import InvariantChecks
from gaproute.simulation.options import SimulationOptions
from gaproute.simulation.process_slot import ProcessFactory
from gaproute.simulation.raft_group.lease_checks import LeaseValidityCheck
from gaproute.simulation.raft_group.setup import ALLOWED_DRIFT
from gaproute.simulation.rounds.faults import MaintenanceFaults
from gaproute.simulation.rounds.fleet import draw_demand, draw_fleet, draw_round
from gaproute.simulation.rounds.fleet_check import FleetCheck
from gaproute.simulation.rounds.host import MaintainedHost
from gaproute.simulation.rounds.interventions import Interventions
from gaproute.simulation.rounds.judge import FloorJudge
from gaproute.simulation.rounds.kinds import GATEWAYS, RAFT_NODES, WORKER, RunKind
from gaproute.simulation.rounds.observer import ProcessStart, ReportingGateway
from gaproute.simulation.rounds.scene import RoundsScene
from gaproute.simulation.rounds.scheduler import LEASE_DURATION, ControllerFactory, SimulatedScheduler
from gaproute.simulation.rounds.worker import MaintenanceWorker
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.simulation.simulation import Simulation
from gaproute.simulation.violation import InvariantViolationError
from gaproute.units import SECOND

MAX_TIME = 300 * SECOND  # a run that has not ended by then is judged as it is
DEFAULT_OUT_TIME = 10 * SECOND  # that a host is away
DEFAULT_HOSTS = (6, 10)  # least and most

RoundChange = Callable[[RoundSpec], RoundSpec]


class MaintenanceRun:
    """A run of this seed and kind, of which everything is drawn.

    `hosts`: how many, from least to most; `out_time`: ns that a host is away; `change_round` changes each
    round that is drawn; `controller` makes the rounds' controllers.
    """

    def __init__(
        self,
        seed: int,
        kind: str,
        *,
        hosts: tuple[int, int] = DEFAULT_HOSTS,
        out_time: int = DEFAULT_OUT_TIME,
        change_round: RoundChange | None = None,
        controller: ControllerFactory = RoundController,
    ) -> None:
        self.kind, self.controller = RunKind(kind), controller
        random = SeededRandom(seed, "rounds", kind)
        self.scene = scene = self._draw_scene(random, hosts, out_time, change_round)
        self.judge, self.rounds = scene.judge, scene.rounds
        factories = self._factories()
        self.numbers = {name: number for number, name in enumerate(factories)}
        schedule = MaintenanceFaults(seed, self.kind, scene.fleet, self.numbers, random).draw()
        check = FleetCheck(scene)
        self.simulation = Simulation(
            schedule,
            factories,
            checks=InvariantChecks(after_each_step=[check, LeaseValidityCheck(self.kind.schedulers, {})]),
            options=SimulationOptions(
                drifts={name: random.choice((-ALLOWED_DRIFT, 0, ALLOWED_DRIFT)) for name in factories}
            ),
        )
        self.interventions = Interventions(scene, check, random)

    def run(self) -> MaintenanceRun:
        """Plays until all rounds have ended. Raises InvariantViolationError."""
        now = 0
        while now < MAX_TIME and len(self.judge.ends) < len(self.rounds):
            now += SECOND
            self.simulation.run(now)
            self.interventions.run_due(self.simulation)
        return self

    def _draw_scene(
        self, random: SeededRandom, hosts: tuple[int, int], out_time: int, change: RoundChange | None
    ) -> RoundsScene:
        fleet = draw_fleet(random, random.between(*hosts))
        demand = draw_demand(random, fleet)
        rounds = [
            draw_round(random, fleet, self.kind, number, max(out_time, DEFAULT_OUT_TIME))
            for number in range(len(self.kind.schedulers))
        ]
        if change is not None:
            rounds = [change(spec) for spec in rounds]
        judge = FloorJudge(fleet.hosts, lambda: self.simulation.now)
        return RoundsScene(self.kind, fleet, rounds, out_time, demand, judge)

    # Processes

    def _factories(self) -> dict[str, ProcessFactory]:
        factories: dict[str, ProcessFactory] = dict.fromkeys(RAFT_NODES, self._make_node)
        factories |= dict.fromkeys(self.kind.schedulers, self._make_scheduler)
        factories |= dict.fromkeys(GATEWAYS, self._make_gateway)
        factories[WORKER] = self._make_worker
        return factories | dict.fromkeys(self.scene.fleet.hosts, self._make_host)

    def _incarnation(self, name: str) -> int:
        return self.simulation.slots[name].incarnation

    @staticmethod
    def _make_node(name: str, disk: SimulatedDisk, random: SeededRandom, now: int) -> RaftNode:
        table = LeaseTable(initial_wait=False, max_duration=LEASE_DURATION)
        return RaftNode(name, RAFT_NODES, disk, random, now, table, fencing_base=1)

    def _make_scheduler(
        self, name: str, disk: SimulatedDisk, random: SeededRandom, now: int
    ) -> SimulatedScheduler:
        specs = [self.rounds[self.kind.schedulers.index(name)]]
        start = ProcessStart(name, random, now, self._incarnation(name))
        return SimulatedScheduler(self.scene, start, specs, self.controller)

    def _make_gateway(
        self, name: str, disk: SimulatedDisk, random: SeededRandom, now: int
    ) -> ReportingGateway:
        return ReportingGateway(self.scene, ProcessStart(name, random, now, self._incarnation(name)))

    def _make_worker(
        self, name: str, disk: SimulatedDisk, random: SeededRandom, now: int
    ) -> MaintenanceWorker:
        return MaintenanceWorker(self.kind.schedulers, now)

    def _make_host(self, name: str, disk: SimulatedDisk, random: SeededRandom, now: int) -> MaintainedHost:
        return MaintainedHost(self.scene, name, random, now)


def play(
    seed: int,
    kind: str,
    *,
    hosts: tuple[int, int] = DEFAULT_HOSTS,
    out_time: int = DEFAULT_OUT_TIME,
    change_round: RoundChange | None = None,
    controller: ControllerFactory = RoundController,
) -> tuple[MaintenanceRun, InvariantViolationError | None]:
    """Makes and plays a run; the violation that ended it, or None."""
    run = MaintenanceRun(
        seed, kind, hosts=hosts, out_time=out_time, change_round=change_round, controller=controller
    )
    try:
        return run.run(), None
    except InvariantViolationError as violation:
        return run, violation
