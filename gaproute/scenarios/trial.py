"""Plays a script.

Every gateway, host, the model store and the clients are processes of their own on loopback. The parent starts
and ends them by their own ids, writes the host list that the gateways watch, carries out the faults, and
notes in `run.tap` what it did and what the host list said, when. Judging comes after, from the taps alone.
"""

import random
from collections.abc import Callable, Iterable
from pathlib import Path

from gaproute.judge import kill_after
from gaproute.loop import Loop
from gaproute.scenarios.clients import DayClients
from gaproute.scenarios.context import models_of
from gaproute.scenarios.cpu_waits import CpuWaitSampler
from gaproute.scenarios.faults import DayFaultSchedule
from gaproute.scenarios.gateways import DayGateways
from gaproute.scenarios.host_list import HostListFile, HostListPublisher
from gaproute.scenarios.hosts import DayHosts
from gaproute.scenarios.processes import ANY_ADDRESS, DayProcess, DayProcesses, Routine
from gaproute.scenarios.result import DayResult
from gaproute.scenarios.script import Script
from gaproute.standins.tap import Tap
from gaproute.units import MILLI, SECOND

DEFAULT_DECISIONS = "gaproute.decisions.routing:Gateway"
SETTLE_TIME = 700 * MILLI  # between all being up and the first request
CLIENTS_EXTRA_TIME = (
    10 * SECOND
)  # that clients have to end, beyond the day and three of the longest deadlines
STAND_INS_EXIT_TIME = 3 * SECOND


class Trial:
    """One played day. `report` is called with lines for a person while it is played."""

    host_list: HostListPublisher

    def __init__(
        self,
        script: Script,
        out: str | Path,
        seed: int = 1,
        decisions: str = DEFAULT_DECISIONS,
        report: Callable[[str], object] | None = None,
    ) -> None:
        self.script, self.out, self.seed, self.decisions = script, Path(out), seed, decisions
        self.report: Callable[[str], object] = report or (lambda text: None)
        self.out.mkdir(parents=True, exist_ok=True)
        self.loop = Loop()
        self.tap = Tap(self.out / "run.tap", self.loop.clock)
        self.models = models_of(script)
        self.longest_deadline = max(line.limit for line in script.request_classes)
        self.create_parts()
        self.fault_schedule = DayFaultSchedule(self)

    def create_parts(self) -> None:
        """Makes the parts that the day is played with."""
        self.processes = DayProcesses(self.loop, self.out)
        self.hosts = DayHosts(self.script, self.seed, self.processes, self.models, random.Random(self.seed))
        self.host_list = HostListFile(self.loop, self.tap, self.hosts, self.out / "hosts.list")
        self.gateways = DayGateways(self)
        self.clients = DayClients(self)

    def harness_lateness(self) -> int:
        """By how much the processes that measure ran late at most, ns: those of a trial do not note it."""
        return 0

    @property
    def kill_after(self) -> int:
        """After a SIGTERM: how long a gateway has until SIGKILL, ns."""
        return kill_after(self.longest_deadline)

    def termination_time(self) -> int:
        """How long the gateways have to end when the day is over, ns."""
        return self.kill_after

    def run_together(self, routines: Iterable[Routine]) -> Routine:
        """A coroutine: runs all of them at the same time, until the last has ended."""
        running = [self.loop.spawn(routine) for routine in routines]
        for routine in running:
            yield routine.done

    def start_store(self) -> Routine:
        """A coroutine: starts the model store."""
        store = self.script.store
        self.store: DayProcess = self.processes.start_stand_in(
            "store",
            "store",
            {
                "listen": ANY_ADDRESS,
                "pace": store.pace,
                "limit": store.limit,
                "thrash": store.thrash,
                "tap": str(self.out / "store.tap"),
            },
        )
        self.hosts.store_address = (yield self.processes.first_line(self.store))["address"]

    def set_up(self) -> Routine:
        """A coroutine: starts the store, hosts and gateways, until all are ready."""
        day = self.script.day
        yield from self.start_store()
        yield from self.run_together(
            [self.hosts.start(self.hosts.create(), warm=True) for _ in range(day.hosts)]
        )
        self.host_list.publish()
        yield from self.run_together([self.gateways.start(number) for number in range(day.gateways)])

    def day_routines(self) -> list[Routine]:
        """What happens during the day, as coroutines."""
        return [self.fault_schedule.run(line) for line in self.script.day_faults]

    def measuring_routines(self) -> list[Routine]:
        """What measures the machine during the day, as coroutines."""
        return [CpuWaitSampler(self).run()]

    def play(self) -> Routine:
        """A coroutine: the day from its start to the end of all processes."""
        yield from self.set_up()
        yield self.loop.sleep(SETTLE_TIME)
        self.clients.start()
        self.tap.note("begun")
        routines = [*self.day_routines(), *self.measuring_routines()]
        running = [self.loop.spawn(routine) for routine in routines]
        yield from self.clients.wait(self.script.day.length + 3 * self.longest_deadline + CLIENTS_EXTRA_TIME)
        for routine in running:
            routine.cancel()
        yield from self.shut_down()

    def shut_down(self) -> Routine:
        """A coroutine: the gateways end by a SIGTERM, then the stand-ins, which write their last lines."""
        yield from self.gateways.terminate(self.termination_time())
        self.hosts.close()
        self.store.close_input()
        yield from self.processes.wait_for_exit(self.processes.all, STAND_INS_EXIT_TIME)

    def run(self) -> DayResult:
        """Plays the day and returns its result."""
        try:
            self.loop.run(until=self.loop.spawn(self.play()).done)
        finally:
            self.processes.close()
            self.tap.flush()
        return DayResult(self)
