"""The gateways of a cluster: each reaches every other process by addresses of its own.

Some have a clock that is wrong; a fault pauses, kills, restarts or starves them.
"""

from __future__ import annotations

import signal
from typing import Any, NamedTuple, Protocol

from gaproute.cluster.context import ClusterContext
from gaproute.cluster.host_lists import list_path
from gaproute.cluster.lease_configuration import lease_configuration_lines
from gaproute.cluster.play_record import PlayRecord
from gaproute.cluster.priorities import RealTimePriority, raise_priority
from gaproute.cluster.processes import ClockSkew, ClusterProcesses
from gaproute.cluster.script import ClusterScript
from gaproute.cluster.start_limiter import StartLimiter
from gaproute.scenarios.clients import DayClients
from gaproute.scenarios.context import DayContext
from gaproute.scenarios.cpu_waits import read_cpu_wait
from gaproute.scenarios.gateways import DayGateways
from gaproute.scenarios.processes import DayProcess, Routine
from gaproute.units import MILLI

TRANSIT_TIME = 25 * MILLI  # the configuration's own, for an answer's way on a machine that is not crowded
STARVE_CYCLE = 100 * MILLI


class ClusterTrial(DayContext, Protocol):
    """The played day as its gateways know it."""

    script: ClusterScript
    processes: ClusterProcesses

    @property
    def clients(self) -> DayClients:
        """The clients, which learn of gateways that are asked to end."""

    @property
    def kill_after(self) -> int:
        """After a SIGTERM: how long a gateway has until SIGKILL, ns."""


class GatewayParts(NamedTuple):
    """The parts of the harness that the gateways use."""

    context: ClusterContext
    record: PlayRecord
    starts: StartLimiter


class CpuWait(NamedTuple):
    """How long a process was ready to run and had no core so far, and when that was read; ns."""

    waited: int
    at: int


class ClusterGateways(DayGateways):
    """All gateways of one play. `clocks`: those that are wrong, by gateway."""

    trial: ClusterTrial

    def __init__(self, trial: ClusterTrial, parts: GatewayParts) -> None:
        super().__init__(trial)
        self.context, self.record, self.starts = parts
        self.plan = self.context.plan
        self.clocks: dict[int, ClockSkew] = {}
        self.under_fault: set[int] = set()  # one of these is left alone by other faults
        self.addresses = {
            number: self.plan.gateway(number).clients for number in range(self.context.day.gateways)
        }
        self._configurations: dict[int, list[str]] = {}

    def configuration_lines(self, number: int) -> list[str]:
        """The lines of a gateway's configuration. They are made once, as they name every other gateway."""
        if number not in self._configurations:
            self._configurations[number] = self._make_configuration(number)
        return self._configurations[number]

    def _make_configuration(self, number: int) -> list[str]:
        day, script, name = self.context.day, self.context.script, f"g{number}"
        lines = [
            f"name {name}",
            f"listen kserve {self.plan.gateway(number).clients}",
            f"decisions {self.trial.decisions}",
            f"hosts-file {list_path(self.out, number)} look 50ms",
            *script.gateway_lines,
        ]
        if not any(line.split()[0] == "clients" for line in script.gateway_lines):
            # The final answer leaves early enough for a machine that is as late as the harness may be.
            lines.append(f"clients way-back {TRANSIT_TIME + self.context.settings.late}ns")
        if day.peers:
            lines += self._peer_lines(number)
        lines += [f"memory {self.out}/{name}.memory"] * day.memory
        if script.lease_clients is not None:
            lines += lease_configuration_lines(script.lease_clients, self.plan, self.out, number)
        return [*lines, *self.model_lines()]

    def _peer_lines(self, number: int) -> list[str]:
        others = [other for other in range(self.context.day.gateways) if other != number]
        return [
            f"listen peers {self.plan.gateway(number).peers}",
            *(f"peer g{other} {self.plan.peer(number, other)}" for other in others),
        ]

    def process_options(self, number: int) -> dict[str, Any]:
        """How a gateway's process is started, as options of `ClusterProcesses.command`."""
        return {"clock": self.clocks.get(number, ClockSkew())}

    def start(self, number: int) -> Routine:
        """A coroutine: starts the gateway and waits until it logs that it has started."""
        yield from super().start(number)
        self.raise_priority_if_crowded(number)

    def raise_priority_if_crowded(self, number: int) -> None:
        """Gives a gateway a real-time priority, if the script says that the machine has other work."""
        if self.context.settings.crowded and self.trial.processes.real_time:
            raise_priority(self.processes[number].child.pid, RealTimePriority.GATEWAY)

    def cpu_waits(self) -> dict[int, CpuWait]:
        """How long each gateway that is up has waited for a core, by process id."""
        waits = {}
        for process in self.processes.values():
            pid = process.child.pid
            waited = read_cpu_wait(pid)
            if waited is not None:
                waits[pid] = CpuWait(waited, self.loop.now())
        return waits

    # Faults; a gateway that is under one already is left alone

    def restart(self, number: int, ending: signal.Signals, back: int) -> Routine:
        """A coroutine: ends the gateway by SIGKILL or SIGTERM, and starts it again after `back` ns."""
        if number in self.under_fault:
            return
        self.under_fault.add(number)
        process = self.processes[number]
        if ending is signal.SIGKILL:
            self.tap.note("killed", gateway=number)
            process.signal(signal.SIGKILL)
        else:
            yield from self.end(number, process)
        yield self.loop.sleep(back)
        yield from self.starts.run(self.start(number))
        self.under_fault.discard(number)

    def end(self, number: int, process: DayProcess) -> Routine:
        """A coroutine: sends SIGTERM, and SIGKILL as soon as operators may if the gateway has not ended."""
        self.tap.note("ending", gateway=number)
        process.signal(signal.SIGTERM)
        yield from self.trial.processes.wait_for_exit([process], self.trial.kill_after)
        code = process.child.poll()
        self.tap.note("killed" if code is None else "ended", gateway=number)
        if code is None:
            process.signal(signal.SIGKILL)
        if code != 0:
            self.record.failures.append(f"g{number} ended with {code} after a SIGTERM")

    def pause(self, number: int, span: int) -> Routine:
        """A coroutine: pauses the gateway for `span` ns."""
        if number in self.under_fault:
            return
        self.under_fault.add(number)
        yield from super().pause(number, span)
        self.under_fault.discard(number)

    def kill_and_restart(self, number: int, back: int) -> Routine:
        """A coroutine: kills the gateway, and starts it again after `back` ns."""
        yield from self.restart(number, signal.SIGKILL, back)

    def starve(self, number: int, until: int, duty: float) -> Routine:
        """A coroutine: pauses the gateway for a share `duty` of each cycle, until the time `until`."""
        if number in self.under_fault:
            return
        process = self.processes[number]
        self.under_fault.add(number)
        self.tap.note("stopped", gateway=number)
        while self.loop.now() < until:
            process.signal(signal.SIGSTOP)
            yield self.loop.sleep(round(duty * STARVE_CYCLE))
            process.signal(signal.SIGCONT)
            yield self.loop.sleep(round((1 - duty) * STARVE_CYCLE))
        process.signal(signal.SIGCONT)
        self.tap.note("continued", gateway=number)
        self.under_fault.discard(number)
