"""The check of a maintenance run: looks at the hosts after each step and lets the judge judge them."""

from collections.abc import Iterator
from typing import NamedTuple

from gaproute.maintenance import capacity_floor
from gaproute.simulation.process_slot import ProcessSlot
from gaproute.simulation.rounds.host import MaintainedHost
from gaproute.simulation.rounds.scene import RoundsScene
from gaproute.simulation.rounds.scheduler import SimulatedScheduler
from gaproute.simulation.simulation import Simulation


class HostState(NamedTuple):
    """What of a host decides about its true capacity."""

    start: int
    down_until: int | None
    draining: bool
    warm_at: int | None
    copies: tuple[str, ...]


class FleetCheck:
    """A check after each step; the floor is judged only where something has changed."""

    def __init__(self, scene: RoundsScene) -> None:
        self.scene = scene
        self._states: dict[str, HostState] = {}  # by host, as last seen
        self._running: list[bool] = []  # of each host

    def __call__(self, simulation: Simulation, slot: ProcessSlot) -> Iterator[str]:
        """Looks at the process that has just acted, and at all hosts where something has changed."""
        judge, process = self.scene.judge, slot.process
        if isinstance(process, MaintainedHost):
            self._see_host(slot.name, process)
        elif isinstance(process, SimulatedScheduler):
            yield from self._check_scheduler(simulation, process)
        running = [host is not None for _, host in self._hosts(simulation)]
        if running != self._running:  # a crash comes between the steps of processes
            self._running, judge.changed = running, True
        if judge.changed:
            self.judge(simulation)
        while judge.violations:
            yield judge.violations.pop()

    def judge(self, simulation: Simulation) -> None:
        """Looks at all hosts and judges the floors."""
        scene, judge = self.scene, self.scene.judge
        if not scene.all_hosts_started:
            return  # the run has not begun
        hosts = list(self._hosts(simulation))
        for name, host in hosts:
            if host is None:
                judge.record_failure(name, "died")
        zones = scene.fleet.zones
        judge.judge(
            {name: host.warm_lanes() if host is not None else {} for name, host in hosts},
            self._cold_hosts(simulation),
            [
                (spec, capacity_floor.required_lanes(spec, scene.demand, zones))
                for spec in scene.rounds
                if spec.name not in judge.ends
            ],
        )

    def _hosts(self, simulation: Simulation) -> Iterator[tuple[str, MaintainedHost | None]]:
        """Each host's name and process; None where it does not run or is paused."""
        for name in self.scene.fleet.hosts:
            slot = simulation.slots[name]
            process = slot.process
            yield name, process if isinstance(process, MaintainedHost) and not slot.pauses else None

    def _cold_hosts(self, simulation: Simulation) -> list[str]:
        """The hosts that warm up, paused ones as well."""
        processes = ((name, simulation.slots[name].process) for name in self.scene.fleet.hosts)
        return [name for name, host in processes if isinstance(host, MaintainedHost) and host.warm_at]

    def _see_host(self, name: str, host: MaintainedHost) -> None:
        state = HostState(host.start, host.down_until, host.draining, host.warm_at, tuple(host.copies))
        if self._states.get(name) != state:
            self._states[name], self.scene.judge.changed = state, True

    def _check_scheduler(self, simulation: Simulation, scheduler: SimulatedScheduler) -> Iterator[str]:
        violations, scheduler.violations = scheduler.violations, []
        yield from violations
        turns = [
            spec_name
            for name in self.scene.kind.schedulers
            for spec_name in self._rounds_with_turn(simulation, simulation.slots[name])
        ]
        if len(turns) > 1:
            yield f"one round has the turn: {turns} at once"

    @staticmethod
    def _rounds_with_turn(simulation: Simulation, slot: ProcessSlot) -> list[str]:
        """The rounds at this scheduler that hold the turn at this moment of true time."""
        if not isinstance(slot.process, SimulatedScheduler):
            return []
        own_time = slot.clock.own_time(simulation.now)
        return [each.spec.name for each in slot.process.rounds if each.holds_turn(own_time)]
