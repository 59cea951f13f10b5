"""Faults of gateways' processes: killed, paused, restarted by shares, with a wrong clock, starved of CPU."""

from __future__ import annotations

import os
import signal
import subprocess
from collections.abc import Callable, Iterable, Sequence

from gaproute.cluster import slot_sets
from gaproute.cluster.context import ClusterContext
from gaproute.cluster.gateways import ClusterGateways
from gaproute.cluster.processes import ClockSkew, ClusterProcesses
from gaproute.cluster.script_lines import EndSignal, HostListFaultLine, ProcessFaultKind, ProcessFaultLine
from gaproute.cluster.slot_sets import NamedSlot
from gaproute.scenarios.processes import Routine
from gaproute.units import SECOND

BUSY_MODULE = "gaproute.cluster.spin"


class ProcessFaults:
    """Carries out the `strike` lines of a script. `slots()`: the process slots that there are now.

    `run_together(routines)` is a coroutine that runs all of them at the same time.
    """

    def __init__(
        self,
        context: ClusterContext,
        gateways: ClusterGateways,
        processes: ClusterProcesses,
        *,
        slots: Callable[[], Sequence[NamedSlot]],
        run_together: Callable[[list[Routine]], Routine],
    ) -> None:
        self.context, self.loop = context, context.loop
        self.gateways, self.processes = gateways, processes
        self.slots, self.run_together = slots, run_together

    def numbers_of(self, line: ProcessFaultLine | HostListFaultLine) -> list[int]:
        """The gateways that a line concerns, drawn by the line's own generator."""
        terms = slot_sets.parse_set(line.on)
        names = slot_sets.select_names(terms, self.slots(), self.context.line_random(line))
        return [int(name[1:]) for name in names if name.startswith("g")]

    def set_clocks(self) -> None:
        """Decides which gateways have a wrong clock, before they start."""
        for line in self.context.script.process_faults:
            if line.kind is ProcessFaultKind.CLOCK:
                numbers = self.numbers_of(line)
                self.gateways.clocks |= dict.fromkeys(numbers, ClockSkew(line.rate, line.offset))
                self.context.tap.note(
                    "strike", kind="clock", gateways=numbers, rate=line.rate, ahead=line.offset
                )

    def run(self, line: ProcessFaultLine) -> Routine:
        """A coroutine: carries out one line from its time to its end."""
        yield self.loop.sleep(line.at)
        numbers = self.numbers_of(line)
        self.context.report(f"{line.at / SECOND:5.1f} s  {line.kind} {len(numbers)} gateways")
        self.context.tap.note("strike", kind=line.kind, gateways=numbers, lasts=line.lasts)
        if line.kind is ProcessFaultKind.PAUSE:
            yield from self.run_together([self.gateways.pause(number, line.lasts) for number in numbers])
        elif line.kind is ProcessFaultKind.STARVE and line.core:
            yield from self._crowd(numbers, line.lasts)
        elif line.kind is ProcessFaultKind.STARVE:
            until = self.loop.now() + line.lasts
            yield from self.run_together(
                [self.gateways.starve(number, until, line.duty) for number in numbers]
            )
        else:
            yield from self._restart(line, numbers)

    def _restart(self, line: ProcessFaultLine, numbers: Sequence[int]) -> Routine:
        """A coroutine: ends the gateways and starts them again, `batch` of them at a time."""
        killed = line.kind is ProcessFaultKind.KILL or line.signal is EndSignal.KILL
        ending = signal.SIGKILL if killed else signal.SIGTERM
        batch = line.batch or len(numbers)
        for place in range(0, len(numbers), batch):
            yield from self.run_together(
                [
                    self.gateways.restart(number, ending, line.back)
                    for number in numbers[place : place + batch]
                ]
            )

    def _crowd(self, numbers: Iterable[int], span: int) -> Routine:
        """A coroutine: runs all of them on the last core, beside a process that never rests.

        They are judged as if they were paused, since each is without a core again and again.
        """
        cores = sorted(os.sched_getaffinity(0))
        busy = self.processes.start([BUSY_MODULE], None, "spin.err", reads_output=False)
        crowded = {number: self.gateways.processes[number].child for number in numbers}
        for number in crowded:
            self.context.tap.note("stopped", gateway=number)
        for child in [busy.child, *crowded.values()]:
            pin(child, cores[-1:])
        yield self.loop.sleep(span)
        busy.child.kill()
        for number, child in crowded.items():
            pin(child, cores)
            self.context.tap.note("continued", gateway=number)


def pin(child: subprocess.Popen[bytes], cores: Sequence[int]) -> None:
    """Restricts a process to these cores; does nothing if it has ended."""
    if child.poll() is None:
        os.sched_setaffinity(child.pid, cores)
