"""The faults of a maintenance run, drawn from its seed."""

from collections.abc import Sequence

from gaproute.simulation.fault_schedule import FaultKind, FaultSchedule, ScheduledFault
from gaproute.simulation.raft_group.setup import ALLOWED_DRIFT
from gaproute.simulation.random_faults import FaultOptions, draw_schedule
from gaproute.simulation.rounds.fleet import DrawnFleet
from gaproute.simulation.rounds.kinds import GATEWAYS, RAFT_NODES, WORKER, RunKind
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.units import SECOND

FAULT_TIME = 100 * SECOND
CALM_TIME = 5 * SECOND  # at the beginning and before the end: no fault begins
DRAWN_ODDS = 5  # one in so many faults of a random schedule is taken
LINK_KINDS = (
    FaultKind.CRASH,
    FaultKind.PAUSE,
    FaultKind.CUT_ONE_WAY,
    FaultKind.CUT_BOTH_WAYS,
    FaultKind.PARTITION,
    FaultKind.LOSE_MESSAGES,
    FaultKind.DUPLICATE_MESSAGES,
    FaultKind.DELAY_MESSAGES,
    FaultKind.HOLD_MESSAGES,
    FaultKind.CLOCK_DRIFT,
)


class MaintenanceFaults:
    """Draws the schedule of one run. `numbers`: of the process slots, by name."""

    def __init__(
        self, seed: int, kind: RunKind, fleet: DrawnFleet, numbers: dict[str, int], random: SeededRandom
    ) -> None:
        self.seed, self.kind, self.fleet, self.numbers, self.random = seed, kind, fleet, numbers, random

    def draw(self) -> FaultSchedule:
        """All faults of the run."""
        faults = self._link_faults() + self._host_deaths() + self._zone_cut() + self._scheduler_kills()
        return FaultSchedule(self.seed, FAULT_TIME, tuple(faults), 0)

    def _link_faults(self) -> list[ScheduledFault]:
        if not self.kind.includes(RunKind.LINKS):
            return []
        staff = (*RAFT_NODES, *self.kind.schedulers, *GATEWAYS, WORKER)
        options = FaultOptions(
            kinds=LINK_KINDS, targets=[self.numbers[name] for name in staff], max_drift=ALLOWED_DRIFT
        )
        drawn = draw_schedule(self.seed, len(self.numbers), FAULT_TIME, options)
        return [fault for fault in drawn.faults if self.random.below(DRAWN_ODDS) == 0]

    def _host_deaths(self) -> list[ScheduledFault]:
        if not self.kind.draw(self.random, RunKind.HOST_DIES, RunKind.TWO_HOSTS_DIE):
            return []
        count = 2 if self.kind == RunKind.TWO_HOSTS_DIE else 1
        hosts = list(self.fleet.hosts)
        return [self._fault(FaultKind.CRASH, [self.random.choice(hosts)], 2, 30) for _ in range(count)]

    def _zone_cut(self) -> list[ScheduledFault]:
        if not self.kind.draw(self.random, RunKind.ZONE_CUT):
            return []
        zone = self.random.choice(self.fleet.zones)
        hosts = [name for name, host in self.fleet.hosts.items() if host.zone == zone]
        return [self._fault(FaultKind.PARTITION, hosts, 5, 30)]

    def _scheduler_kills(self) -> list[ScheduledFault]:
        if not self.kind.draw(self.random, RunKind.KILLED):
            return []
        schedulers = self.kind.schedulers
        return [self._fault(FaultKind.CRASH, [self.random.choice(schedulers)], 1, 8) for _ in range(3)]

    def _fault(self, kind: FaultKind, names: Sequence[str], least: int, most: int) -> ScheduledFault:
        """A fault that lasts from `least` to `most` seconds."""
        lasts = self.random.between(least, most) * SECOND
        begin = CALM_TIME + self.random.below(FAULT_TIME - 2 * CALM_TIME)
        targets = tuple(self.numbers[name] for name in names)
        return ScheduledFault(kind, begin, begin + lasts, targets)
