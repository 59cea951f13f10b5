"""The gateways of a day: each a process with a configuration of its own, at the same address after a kill."""

import json
import signal

from gaproute.scenarios.processes import ANYWHERE, MILLI, READY_TIME, NotReadyError


class DayGateways:
    def __init__(self, trial):
        self.trial, self.loop, self.tap, self.out = trial, trial.loop, trial.tap, trial.out
        self.processes, self.addresses = {}, {}
        self.killed = set()  # processes; one killed while it starts was not up, and is no failure to start
        self.exit_codes = {}  # gateway: exit code of its stop

    def configuration_lines(self, number):
        """Its configuration."""
        trial, day, name = self.trial, self.trial.script.day, f"g{number}"
        peers = [f"listen peers unix:{self.out}/{name}.peers"] * day.peers
        peers += [
            f"peer g{other} unix:{self.out}/g{other}.peers"
            for other in range(day.gateways)
            if other != number and day.peers
        ]
        peers += [f"memory {self.out}/{name}.memory"] * day.memory
        return [
            f"name {name}",
            f"listen kserve {self.addresses.get(number, ANYWHERE)}",
            f"decisions {trial.decisions}",
            f"hosts-file {self.out / 'hosts.list'} look 50ms",
            *trial.script.gateway_lines,
            *peers,
            *self.model_lines(),
        ]

    def model_lines(self):
        return [
            f"model {model['name']} track {model['track']} lanes {model['lanes']}"
            for model in self.trial.models
        ]

    def process_options(self, number):
        """How its process is started, beside its arguments."""
        return {}

    def start(self, number):
        """A coroutine: until it says that it has started, or is killed before that."""
        name, first = f"g{number}", number not in self.processes
        file, log = self.out / f"{name}.conf", self.out / f"{name}.log"
        file.write_text("\n".join([*self.configuration_lines(number), ""]))
        before = log.stat().st_size if log.exists() else 0
        process = self.trial.processes.start(
            ["gaproute", "serve", str(file), "--seed", str(self.trial.seed * 100 + number)],
            None,
            log.name,
            reads_output=False,
            **self.process_options(number),
        )
        self.processes[number] = process
        end = self.loop.now() + READY_TIME
        while True:
            for line in log.read_bytes()[before:].split(b"\n")[:-1]:
                told = json.loads(line) if line.startswith(b"{") else {}
                if told.get("event") == "started":
                    self.addresses[number] = told["listen_addresses"][0]
                    self.tap.note("started", gateway=number, name=name)
                    self.tap.flush()
                    return
            if process in self.killed:
                return
            if process.child.poll() is not None:
                raise RuntimeError(f"{name} did not start{' at first' if first else ''}; see {log}")
            if self.loop.now() > end:
                raise NotReadyError(f"{name} was not up in time; see {log}")
            yield self.loop.sleep(20 * MILLI)

    def pause(self, number, span):
        """A coroutine: stopped for so long."""
        process = self.processes[number]
        self.tap.note("stopped", gateway=number)  # first: clients may see it before this goes on
        process.signal(signal.SIGSTOP)
        yield self.loop.sleep(span)
        process.signal(signal.SIGCONT)
        self.tap.note("continued", gateway=number)

    def kill_and_restart(self, number, back):
        """A coroutine: killed, and started again after `back`."""
        process = self.processes[number]
        self.killed.add(process)
        self.tap.note("killed", gateway=number)
        process.signal(signal.SIGKILL)
        yield self.loop.sleep(back)
        yield from self.start(number)

    def terminate(self, span):
        """A coroutine: all are asked to end; their exit codes."""
        for process in self.processes.values():
            process.signal(signal.SIGTERM)
        yield from self.trial.processes.wait_for_exit(self.processes.values(), span)
        self.exit_codes = {number: process.child.poll() for number, process in self.processes.items()}
