"""Plays a script: every gateway, host, the store and the clients are processes of their own on loopback.

The parent starts and ends them by their own ids, writes the host list that the gateways watch, carries out
the troubles, and notes in `run.tap` what it did and told, when. Judging comes after, from the taps alone.
"""

import random
from pathlib import Path

from gaproute.judge import kill_after
from gaproute.loop import Loop
from gaproute.scenarios.crowd import Crowd
from gaproute.scenarios.gateways import Gateways
from gaproute.scenarios.hostlist import HostList
from gaproute.scenarios.processes import ANYWHERE, MILLI, SECOND, Processes
from gaproute.scenarios.result import Result
from gaproute.scenarios.seats import Seats, models_of
from gaproute.scenarios.troubles import Troubles
from gaproute.standins.tap import Tap

SETTLE = 700 * MILLI  # between all being up and the first task


class Trial:
    def __init__(self, script, out, seed=1, decisions="gaproute.decisions.routing:Gateway", talk=None):
        self.script, self.out, self.seed, self.decisions = script, Path(out), seed, decisions
        self.talk = talk or (lambda text: None)
        self.out.mkdir(parents=True, exist_ok=True)
        self.loop = Loop()
        self.tap = Tap(self.out / "run.tap", self.loop.clock)
        self.models = models_of(script)
        self.longest = max(line.limit for line in script.tracks)
        self.furnish()
        self.troubles = Troubles(self)

    def furnish(self):
        """The parts that the day is played with."""
        self.processes = Processes(self.loop, self.out)
        self.seats = Seats(self.script, self.seed, self.processes, self.models, random.Random(self.seed))
        self.list = HostList(self.loop, self.tap, self.seats, self.out / "hosts.list")
        self.gateways, self.crowd = Gateways(self), Crowd(self)

    def late(self):
        """By how much the parts that measure ran late at most, as they noted it, ns. A trial's notes none."""
        return 0

    @property
    def kill_after(self):
        """After a SIGTERM: how long a gateway has until SIGKILL, ns."""
        return kill_after(self.longest)

    def ending_time(self):
        """How long the gateways have to end when the day is over, ns."""
        return self.kill_after

    # The day

    def together(self, routines):
        """A coroutine: all of them at the same time."""
        waits = [self.loop.spawn(routine) for routine in routines]
        for wait in waits:
            yield wait.done

    def start_store(self):
        store = self.script.store
        self.store = self.processes.standin(
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
        self.seats.store_at = (yield self.processes.line(self.store))["address"]

    def set_up(self):
        """A coroutine: until all are ready."""
        day = self.script.day
        yield from self.start_store()
        yield from self.together([self.seats.start(self.seats.new(), True) for _ in range(day.hosts)])
        self.list.publish()
        yield from self.together([self.gateways.start(number) for number in range(day.gateways)])

    def begin(self):
        """What happens during the day, as coroutines."""
        return [self.troubles.trouble(line) for line in self.script.troubles]

    def play(self):
        yield from self.set_up()
        yield self.loop.sleep(SETTLE)
        self.crowd.start()
        self.tap.note("begun")
        struck = [self.loop.spawn(routine) for routine in self.begin()]
        yield from self.crowd.rest(self.script.day.length + 3 * self.longest + 10 * SECOND)
        for routine in struck:
            routine.cancel()
        yield from self.wind_up()

    def wind_up(self):
        """A coroutine: the gateways end as asked, then the rest, whose last lines are written then."""
        yield from self.gateways.stop(self.ending_time())
        self.seats.close()
        self.store.hush()
        yield from self.processes.rest(self.processes.all, 3 * SECOND)

    def run(self):
        """Plays the day and returns its `Result`."""
        try:
            self.loop.run(until=self.loop.spawn(self.play()).done)
        finally:
            self.processes.end()
            self.tap.flush()
        return Result(self)
