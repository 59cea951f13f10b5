"""Hosts of a platform harness: several in one process, each struck and restarted as if it had its own."""

import signal
import time

from gaproute.cluster.hosts import ClusterHosts
from gaproute.cluster.processes import StartLimiter

PER_PROCESS = 40  # hosts in one process: 60 took 0.09 of a core at 500 tasks a second


class SharedProcessHost:
    """A host with the face of a process of its own. SIGSTOP becomes `vanish`: others stand there too."""

    def __init__(self, process, name):
        self.process, self.name, self.child = process, name, process.child

    def send(self, told):
        if not self.child.stdin.closed:  # the first of them that ends it ends all
            self.process.send(told | {"host": self.name})

    def signal(self, number):
        if number == signal.SIGKILL:
            self.send({"do": "crash"})
        elif number in (signal.SIGSTOP, signal.SIGCONT):
            self.send({"trouble": "vanish", "on": number == signal.SIGSTOP})

    def close_input(self):
        self.process.close_input()


class PlatformHosts(ClusterHosts):
    def __init__(self, harness, random):
        super().__init__(harness, random)
        self.many, self.gates = [], []  # processes; one answer is awaited at a time of each
        self.down = set()  # names: a crash is told to those alone that are up

    def furnish(self):
        """Before the first host starts."""
        for place in range(-(-self.script.day.hosts // PER_PROCESS)):
            self.many.append(
                self.processes.start_stand_in(
                    "platform-host",
                    f"hosts-{place}",
                    {
                        "hosts": [],
                        "models": self.models,
                        "taps": str(self.processes.out),
                        "store": self.store_address,
                        "seed": self.seed,
                        "tap": str(self.processes.out / f"hosts-{place}.tap"),
                    },
                )
            )
            self.gates.append(StartLimiter(self.harness.loop, 1))
        for process in self.many:
            yield self.processes.first_line(process, "the hosts' process")

    def start(self, seat, warm):
        """A coroutine: the host's next life, at the address it had."""
        place = seat.number % len(self.many)
        yield from self.gates[place].through(self.one(seat, self.many[place], warm))
        self.down.discard(seat.name)
        self.tell(seat, False)

    def one(self, seat, process, warm):
        make = seat.profile(self.script.life)
        seat.run_count += 1
        process.send(
            {"host": seat.name, "do": "start", "seat": {"listen": seat.address, "make": make, "warm": warm}}
        )
        seat.address = (yield self.processes.first_line(process, seat.name))["address"]
        seat.process = SharedProcessHost(process, seat.name)
        seat.started = None if warm else time.time_ns()

    def kill(self, seat):
        if seat.name not in self.down:
            self.down.add(seat.name)
            super().kill(seat)
