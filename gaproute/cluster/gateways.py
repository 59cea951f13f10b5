"""The harness's gateways: each with addresses of its own for every other seat, some with a clock that is
wrong."""

import signal

from gaproute.cluster.processes import NEXT, hurry
from gaproute.scenarios.gateways import DayGateways
from gaproute.scenarios.processes import MILLI

WAY_BACK = 25 * MILLI  # the configuration's own, for an answer's way on a machine that is not crowded


class ClusterGateways(DayGateways):
    """`clocks`: {gateway: (rate, offset in ns)}."""

    def __init__(self, trial):
        super().__init__(trial)
        self.table, self.clocks, self.busy, self.texts = trial.table, {}, set(), {}
        self.addresses = {
            number: self.table.gateway(number)[0] for number in range(trial.script.day.gateways)
        }

    def configuration_lines(self, number):
        """Its configuration: made once, as it names every other gateway."""
        if number not in self.texts:
            self.texts[number] = self.fresh(number)
        return self.texts[number]

    def fresh(self, number):
        trial, day, name = self.trial, self.trial.script.day, f"g{number}"
        clients, peers = self.table.gateway(number)
        lines = [
            f"name {name}",
            f"listen kserve {clients}",
            f"decisions {trial.decisions}",
            f"hosts-file {trial.host_list.path(number)} look 50ms",
            *trial.script.gateway_lines,
        ]
        if not any(line.split()[0] == "clients" for line in trial.script.gateway_lines):
            # the final answer leaves early enough for a machine that is as late as the harness may be
            lines.append(f"clients way-back {WAY_BACK + trial.script.cluster.late}ns")
        if day.peers:
            lines += [f"listen peers {peers}"] + [
                f"peer g{other} {self.table.peer(number, other)}"
                for other in range(day.gateways)
                if other != number
            ]
        lines += [f"memory {self.out}/{name}.memory"] * day.memory
        return lines + trial.crews.lines(number) + self.model_lines()

    def process_options(self, number):
        rate, offset = self.clocks.get(number, (1.0, 0))
        return {"rate": rate, "offset": offset}

    def start(self, number):
        yield from super().start(number)
        if self.trial.script.cluster.crowded and self.trial.processes.first:
            hurry(self.processes[number].child.pid, NEXT)

    def waited(self):
        """{gateway's pid: (ns for which it was ready to run and had no core, ns that it has lived)}, of
        those that are up."""
        told = {}
        for process in self.processes.values():
            pid = process.child.pid
            try:
                with open(f"/proc/{pid}/schedstat") as file:
                    told[pid] = int(file.read().split()[1]), self.loop.now()
            except (OSError, IndexError):
                pass  # it has ended, or this kernel does not tell
        return told

    # What the strikes do; one that is struck already is left alone

    def restart(self, number, kind, back):
        """A coroutine: ended by a signal (TERM: it may end what it holds first), started again after
        `back`."""
        if number in self.busy:
            return
        self.busy.add(number)
        process = self.processes[number]
        if kind == "KILL":
            self.tap.note("killed", gateway=number)
            process.signal(signal.SIGKILL)
        else:
            yield from self.end(number, process)
        yield self.loop.sleep(back)
        yield from self.trial.starting(self.start(number))
        self.busy.discard(number)

    def end(self, number, process):
        """A coroutine: asked to end, and killed where it has not as soon as the operators may."""
        self.tap.note("ending", gateway=number)
        process.signal(signal.SIGTERM)
        yield from self.trial.processes.wait_for_exit([process], self.trial.kill_after)
        code = process.child.poll()
        self.tap.note("killed" if code is None else "ended", gateway=number)
        if code is None:
            process.signal(signal.SIGKILL)
        if code != 0:
            self.trial.faulty.append(f"g{number} ended with {code} after a SIGTERM")

    def pause(self, number, span):
        if number in self.busy:
            return
        self.busy.add(number)
        yield from super().pause(number, span)
        self.busy.discard(number)

    def kill_and_restart(self, number, back):
        yield from self.restart(number, "KILL", back)

    def starve(self, number, until, duty, cycle=100 * MILLI):
        """A coroutine: stopped for a `duty` of each cycle until then."""
        process = self.processes[number]
        if number in self.busy:
            return
        self.busy.add(number)
        self.tap.note("stopped", gateway=number)
        while self.loop.now() < until:
            process.signal(signal.SIGSTOP)
            yield self.loop.sleep(round(duty * cycle))
            process.signal(signal.SIGCONT)
            yield self.loop.sleep(round((1 - duty) * cycle))
        process.signal(signal.SIGCONT)
        self.tap.note("continued", gateway=number)
        self.busy.discard(number)
