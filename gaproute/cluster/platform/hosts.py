"""Hosts of the platform: several share a process, and each is killed and restarted as if it had its own."""

from __future__ import annotations

import signal
import time
from typing import NamedTuple

from gaproute.cluster.hosts import ClusterHosts
from gaproute.cluster.start_limiter import StartLimiter
from gaproute.scenarios.hosts import DayHost
from gaproute.scenarios.processes import DayProcess, Message, Routine

HOSTS_PER_PROCESS = 40  # 60 took 0.09 of a core at 500 requests a second


class SharedProcessHost:
    """One of several hosts in a process, with the interface of a process of its own."""

    def __init__(self, process: DayProcess, name: str) -> None:
        self.process, self.name, self.child = process, name, process.child

    def send(self, command: Message) -> None:
        """Sends a command to this host alone; it is lost if the process has ended."""
        if not self.process.input.closed:  # the first of them that ends it ends all
            self.process.send({**command, "host": self.name})

    def signal(self, number: int) -> None:
        """Does what the signal would do to a process of its own: SIGSTOP becomes the fault `vanish`."""
        if number == signal.SIGKILL:
            self.send({"do": "crash"})
        elif number in (signal.SIGSTOP, signal.SIGCONT):
            self.send({"trouble": "vanish", "on": number == signal.SIGSTOP})

    def close_input(self) -> None:
        """Ends the process's input, at which all its hosts end."""
        self.process.close_input()


class SharedProcess(NamedTuple):
    """A process of several hosts; `turns` has one answer awaited at a time."""

    process: DayProcess
    turns: StartLimiter


class PlatformClusterHosts(ClusterHosts):
    """All hosts of one play."""

    def start_processes(self) -> Routine:
        """A coroutine: starts the processes that the hosts share, before the first host starts."""
        self._shared = [
            SharedProcess(self._start_process(place), StartLimiter(self.context.loop, 1))
            for place in range(-(-self.context.day.hosts // HOSTS_PER_PROCESS))
        ]
        self._down: set[str] = set()  # names: a crash is a command to those alone that are up
        for shared in self._shared:
            yield self.processes.first_line(shared.process, "the hosts' process")

    def start(self, host: DayHost, *, warm: bool) -> Routine:
        """A coroutine: starts the host's next incarnation, at the address that it had."""
        shared = self._shared[host.number % len(self._shared)]
        yield from shared.turns.run(self._start_host(host, shared.process, warm=warm))
        self._down.discard(host.name)
        self.place(host)

    def kill(self, host: DayHost) -> None:
        """Ends the host as a SIGKILL would."""
        if host.name not in self._down:
            self._down.add(host.name)
            super().kill(host)

    def _start_process(self, place: int) -> DayProcess:
        out = self.context.out
        settings = {
            "hosts": [],
            "models": self.models,
            "taps": str(out),
            "store": self.store_address,
            "seed": self.seed,
            "tap": str(out / f"hosts-{place}.tap"),
        }
        return self.processes.start_stand_in("platform-host", f"hosts-{place}", settings)

    def _start_host(self, host: DayHost, process: DayProcess, *, warm: bool) -> Routine:
        profile = host.profile(self.script.host_life)
        host.run_count += 1
        slot = {"listen": host.address, "make": profile, "warm": warm}
        process.send({"host": host.name, "do": "start", "seat": slot})
        host.address = (yield self.processes.first_line(process, host.name))["address"]
        host.process = SharedProcessHost(process, host.name)
        host.started = None if warm else time.time_ns()
