"""What happens to a maintenance run beside the faults of its schedule, at true times drawn from its seed."""

from collections.abc import Callable
from typing import NamedTuple

from gaproute.simulation.rounds.fleet_check import FleetCheck
from gaproute.simulation.rounds.host import MaintainedHost
from gaproute.simulation.rounds.kinds import RunKind
from gaproute.simulation.rounds.scene import RoundsScene
from gaproute.simulation.rounds.scheduler import SimulatedScheduler
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.simulation.simulation import Simulation
from gaproute.units import SECOND

EARLIEST = 20 * SECOND
SPREAD = 80 * SECOND


class Intervention(NamedTuple):
    """Something that is done from outside at the true time `at`, ns."""

    at: int
    act: Callable[[Simulation], object]


class Interventions:
    """The interventions of one run, the first one first."""

    def __init__(self, scene: RoundsScene, check: FleetCheck, random: SeededRandom) -> None:
        self.scene, self.check, self.random = scene, check, random
        self._pending = sorted(self._draw(), key=lambda each: each.at)

    def run_due(self, simulation: Simulation) -> None:
        """Does what is due."""
        while self._pending and self._pending[0].at <= simulation.now:
            self._pending.pop(0).act(simulation)

    def _draw(self) -> list[Intervention]:
        kind, random, drawn = self.scene.kind, self.random, list[Intervention]()
        if kind.draw(random, RunKind.DEMAND):
            drawn.append(Intervention(self._time(), self._double_demand))
        if kind.draw(random, RunKind.WITHDRAWN):
            drawn.append(Intervention(self._time(), self._withdraw))
        if kind.draw(random, RunKind.NEVER_BACK):
            self.scene.never_back.add(self.random.choice(self.scene.rounds[0].hosts))
        if kind.draw(random, RunKind.PULLED):
            name = self.random.choice(list(self.scene.fleet.hosts))
            drawn.append(
                Intervention(self._time(), lambda simulation: simulation.ask(name, MaintainedHost.pull))
            )
        return drawn

    def _time(self) -> int:
        return EARLIEST + self.random.below(SPREAD)

    def _double_demand(self, simulation: Simulation) -> None:
        self.scene.demand = {function: 2 * lanes for function, lanes in self.scene.demand.items()}
        self.scene.judge.record_demand_rise()
        self.check.judge(simulation)

    def _withdraw(self, simulation: Simulation) -> None:
        def withdraw(scheduler: SimulatedScheduler, now: int) -> None:
            for controller in scheduler.rounds:
                controller.withdraw()

        simulation.ask(self.scene.kind.schedulers[0], withdraw)
