"""The hosts of a day: what each is made of, where it listens, and what the host list says of it."""

import random
import signal
import subprocess
import time
from enum import StrEnum
from typing import Any, Protocol

from gaproute.scenarios.context import DayModel
from gaproute.scenarios.processes import ANY_ADDRESS, DayProcesses, Message, Routine
from gaproute.scenarios.script import Script
from gaproute.scenarios.script_lines import DayFaultLine, HostLife, KindLine


class ListedState(StrEnum):
    """What the host list says of a host. The values stand in the list and in the taps."""

    ACTIVE = "active"
    DRAINING = "draining"
    GONE = "gone"
    ABSENT = "absent"  # not in the list at all; the taps say that it is gone


class HostProcess(Protocol):
    """The process of a host, or its part of one that runs many hosts."""

    child: subprocess.Popen[bytes]

    def send(self, message: Message) -> None:
        """Writes one command."""

    def signal(self, number: int) -> None:
        """Sends a signal."""

    def close_input(self) -> None:
        """Ends its input, at which it ends."""


class DayHost:
    """A host of the list: its process now, and what the list says of it."""

    def __init__(self, name: str, number: int, kind: KindLine, zone: str, rack: str) -> None:
        self.name, self.number, self.kind, self.zone, self.rack = name, number, kind, zone, rack
        self.address = ANY_ADDRESS  # where it listens; the same after a restart
        self.state: str = ListedState.ACTIVE
        self.started: int | None = None  # its cold start, ns of the wall clock; None: it was warm at first
        self.process: HostProcess | None = None
        self.run_count = 0
        self.under_fault = False  # no other fault of its process may begin

    def profile(self, life: HostLife) -> dict[str, Any]:
        """The fields of a stand-in's `HostProfile`."""
        return {
            "name": self.name,
            "cores": self.kind.cores,
            "speed": self.kind.speed,
            "copies": self.kind.copies,
            "keep": life.keep,
            "cold_share": life.cold_share,
            "cold_time": life.cold_time,
            "fall_multiple": life.fall,
            "tip": life.tip,
            "idle_close": life.idle_close,
        }

    def list_line(self, address: str | None = None) -> str:
        """Its line in the host list, at another address where one is given."""
        started = f" started {self.started / 1e9:.6f}" if self.started else ""
        return (
            f"host {self.name} {address or self.address} zone {self.zone} rack {self.rack} capacity "
            f"{self.kind.cores * self.kind.speed:g} state {self.state}{started}"
        )


class DayHosts:
    """All hosts that a day has had. `chance` draws their kinds, and which of them a fault affects."""

    def __init__(
        self,
        script: Script,
        seed: int,
        processes: DayProcesses,
        models: list[DayModel],
        chance: random.Random,
    ) -> None:
        self.script, self.seed, self.processes, self.models = script, seed, processes, models
        self.chance = chance
        self.by_name: dict[str, DayHost] = {}
        self.store_address: str | None = None

    def create(self) -> DayHost:
        """One more host, without a process yet."""
        number, day, kinds = len(self.by_name), self.script.day, self.script.host_kinds
        kind = self.chance.choices(kinds, [kind.share for kind in kinds])[0]
        host = DayHost(
            f"mh{number:02}", number, kind, f"hall-{number % day.halls}", f"rack-{number % day.racks}"
        )
        self.by_name[host.name] = host
        return host

    def start(self, host: DayHost, *, warm: bool) -> Routine:
        """A coroutine: starts the host's process, at the address that it had before, if any."""
        host.run_count += 1
        run = f"{host.name}.{host.run_count}"
        process = self.processes.start_stand_in(
            "host",
            run,
            {
                "listen": host.address,
                "make": host.profile(self.script.host_life),
                "models": self.models,
                "store": self.store_address,
                "warm": warm,
                "seed": self.seed * 1000 + host.number * 10 + host.run_count,
                "tap": str(self.processes.out / f"host-{run}.tap"),
            },
        )
        host.process = process
        host.address = (yield self.processes.first_line(process))["address"]
        host.started = None if warm else time.time_ns()

    def kill(self, host: DayHost) -> None:
        """Kills its process."""
        if host.process is not None:
            host.process.signal(signal.SIGKILL)

    def send(self, hosts: list[DayHost], message: Message) -> None:
        """Sends a command to the processes of these hosts."""
        for host in hosts:
            if host.process is not None:
                host.process.send(message)

    def choose(self, line: DayFaultLine) -> list[DayHost]:
        """The hosts that a fault affects: active ones, in its zone, which no other fault holds."""
        candidates = self.candidates(line)
        return self.chance.sample(candidates, min(line.hosts, len(candidates)))

    def candidates(self, line: DayFaultLine) -> list[DayHost]:
        """The hosts that a fault may affect."""
        return [
            host
            for host in self.by_name.values()
            if host.state == ListedState.ACTIVE and not host.under_fault and line.zone in (None, host.zone)
        ]

    def close(self) -> None:
        """Ends the input of all that still run; their last lines are written then."""
        for host in self.by_name.values():
            if host.process is not None and host.process.child.poll() is None:
                host.process.signal(signal.SIGCONT)
                host.process.close_input()
