"""Plays a script: every gateway, host, the store and the clients are processes of their own on loopback.

The parent starts and ends them by their own ids, writes the host list that the gateways watch, carries out
the troubles, and notes in `run.tap` what it did and told, when. Judging comes after, from the taps alone.
"""

import random
from pathlib import Path

from gaproute.judge import kill_after
from gaproute.loop import Loop
from gaproute.scenarios.clients import DayClients
from gaproute.scenarios.faults import FaultSchedule
from gaproute.scenarios.gateways import DayGateways
from gaproute.scenarios.host_list import HostListFile
from gaproute.scenarios.hosts import DayHosts, models_of
from gaproute.scenarios.processes import ANYWHERE, MILLI, SECOND, DayProcesses
from gaproute.scenarios.result import DayResult
from gaproute.standins.tap import Tap

SETTLE = 700 * MILLI  # between all being up and the first task


class Trial:
    def __init__(self, script, out, seed=1, decisions="gaproute.decisions.routing:Gateway", report=None):
        self.script, self.out, self.seed, self.decisions = script, Path(out), seed, decisions
        self.report = report or (lambda text: None)
        self.out.mkdir(parents=True, exist_ok=True)
        self.loop = Loop()
        self.tap = Tap(self.out / "run.tap", self.loop.clock)
        self.models = models_of(script)
        self.longest_deadline = max(line.limit for line in script.tracks)
        self.create_parts()
        self.fault_schedule = FaultSchedule(self)

    def create_parts(self):
        """The parts that the day is played with."""
        self.processes = DayProcesses(self.loop, self.out)
        self.hosts = DayHosts(self.script, self.seed, self.processes, self.models, random.Random(self.seed))
        self.host_list = HostListFile(self.loop, self.tap, self.hosts, self.out / "hosts.list")
        self.gateways, self.clients = DayGateways(self), DayClients(self)

    def harness_lateness(self):
        """By how much the parts that measure ran late at most, as they noted it, ns. A trial's notes none."""
        return 0

    @property
    def kill_after(self):
        """After a SIGTERM: how long a gateway has until SIGKILL, ns."""
        return kill_after(self.longest_deadline)

    def termination_time(self):
        """How long the gateways have to end when the day is over, ns."""
        return self.kill_after

    # The day

    def run_together(self, routines):
        """A coroutine: all of them at the same time."""
        waits = [self.loop.spawn(routine) for routine in routines]
        for wait in waits:
            yield wait.done

    def start_store(self):
        store = self.script.store
        self.store = self.processes.start_stand_in(
            "store",
            "store",
            {
                "listen": ANYWHERE,
                "pace": store.pace,
                "limit": store.limit,
                "thrash": store.thrash,
                "tap": str(self.out / "store.tap"),
            },
        )
        self.hosts.store_address = (yield self.processes.first_line(self.store))["address"]

    def set_up(self):
        """A coroutine: until all are ready."""
        day = self.script.day
        yield from self.start_store()
        yield from self.run_together([self.hosts.start(self.hosts.create(), True) for _ in range(day.hosts)])
        self.host_list.publish()
        yield from self.run_together([self.gateways.start(number) for number in range(day.gateways)])

    def day_routines(self):
        """What happens during the day, as coroutines."""
        return [self.fault_schedule.run(line) for line in self.script.day_faults]

    def play(self):
        yield from self.set_up()
        yield self.loop.sleep(SETTLE)
        self.clients.start()
        self.tap.note("begun")
        struck = [self.loop.spawn(routine) for routine in self.day_routines()]
        yield from self.clients.wait(self.script.day.length + 3 * self.longest_deadline + 10 * SECOND)
        for routine in struck:
            routine.cancel()
        yield from self.shut_down()

    def shut_down(self):
        """A coroutine: the gateways end as asked, then the rest, whose last lines are written then."""
        yield from self.gateways.terminate(self.termination_time())
        self.hosts.close()
        self.store.close_input()
        yield from self.processes.wait_for_exit(self.processes.all, 3 * SECOND)

    def run(self):
        """Plays the day and returns its `DayResult`."""
        try:
            self.loop.run(until=self.loop.spawn(self.play()).done)
        finally:
            self.processes.close()
            self.tap.flush()
        return DayResult(self)
