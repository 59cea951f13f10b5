"""Faults of whole processes: killed, stopped, restarted by shares, with a wrong clock, starved of CPU."""

import os

from gaproute.cluster import slot_sets
from gaproute.scenarios.processes import SECOND


class ProcessFaults:
    def __init__(self, harness):
        self.harness, self.loop, self.gateways = harness, harness.loop, harness.gateways

    def numbers(self, line):
        """The gateways that a line is about, drawn by its own chance: the same whatever else happens."""
        names = slot_sets.names(
            slot_sets.parse(line.on),
            self.harness.table.all(self.harness.hosts.by_name.values()),
            self.harness.chance(line),
        )
        return [int(name[1:]) for name in names if name.startswith("g")]

    def clocks(self):
        """Before the gateways start."""
        for line in self.harness.script.strikes:
            if line.kind == "clock":
                numbers = self.numbers(line)
                self.gateways.clocks |= dict.fromkeys(numbers, (line.rate, line.offset))
                self.harness.tap.note(
                    "strike", kind="clock", gateways=numbers, rate=line.rate, ahead=line.offset
                )

    def strike(self, line):
        """A coroutine: one `strike` line from its time to its end."""
        yield self.loop.sleep(line.at)
        numbers = self.numbers(line)
        self.harness.report(f"{line.at / SECOND:5.1f} s  {line.kind} {len(numbers)} gateways")
        self.harness.tap.note("strike", kind=line.kind, gateways=numbers, lasts=line.lasts)
        if line.kind == "stop":
            yield from self.harness.run_together(
                [self.gateways.pause(number, line.lasts) for number in numbers]
            )
        elif line.kind == "starve" and line.core:
            yield from self.crowd(numbers, line.lasts)
        elif line.kind == "starve":
            until = self.loop.now() + line.lasts
            yield from self.harness.run_together(
                [self.gateways.starve(number, until, line.duty) for number in numbers]
            )
        else:
            kind = "KILL" if line.kind == "kill" else line.signal
            batch = line.batch or len(numbers)
            for place in range(0, len(numbers), batch):
                yield from self.harness.run_together(
                    [
                        self.gateways.restart(number, kind, line.back)
                        for number in numbers[place : place + batch]
                    ]
                )

    def crowd(self, numbers, span):
        """A coroutine: all of them on the last core, beside a process that never rests. Judged as if they
        stood still: they do, again and again."""
        cores = sorted(os.sched_getaffinity(0))
        spinner = self.harness.processes.start(
            ["gaproute.cluster.spin"], None, "spin.err", reads_output=False
        )
        struck = [(number, self.gateways.processes[number].child) for number in numbers]
        for number, _ in struck:
            self.harness.tap.note("stopped", gateway=number)
        for child in [spinner.child, *(child for _, child in struck)]:
            pin(child, cores[-1:])
        yield self.loop.sleep(span)
        spinner.child.kill()
        for number, child in struck:
            pin(child, cores)
            self.harness.tap.note("continued", gateway=number)


def pin(child, cores):
    if child.poll() is None:
        os.sched_setaffinity(child.pid, cores)
