"""The gateways of a day: each a process with a configuration of its own, at the same address after a kill."""

import json
import signal

from gaproute.scenarios.processes import ANYWHERE, MILLI, READY_TIME, NotReady


class Gateways:
    def __init__(self, trial):
        self.trial, self.loop, self.tap, self.out = trial, trial.loop, trial.tap, trial.out
        self.processes, self.addresses = {}, {}
        self.killed = set()  # processes; one killed while it starts was not up, and is no failure to start
        self.codes = {}  # gateway: exit code of its stop

    def lines(self, number):
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

    def manner(self, number):
        """How its process is started, beside its arguments."""
        return {}

    def start(self, number):
        """A coroutine: until it says that it has started, or is killed before that."""
        name, first = f"g{number}", number not in self.processes
        file, log = self.out / f"{name}.conf", self.out / f"{name}.log"
        file.write_text("\n".join([*self.lines(number), ""]))
        before = log.stat().st_size if log.exists() else 0
        process = self.trial.processes.start(
            ["gaproute", "serve", str(file), "--seed", str(self.trial.seed * 100 + number)],
            None,
            log.name,
            tells=False,
            **self.manner(number),
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
                raise NotReady(f"{name} was not up in time; see {log}")
            yield self.loop.sleep(20 * MILLI)

    def stall(self, number, span):
        """A coroutine: stopped for so long."""
        process = self.processes[number]
        self.tap.note("stopped", gateway=number)  # first: clients may see it before this goes on
        process.signal(signal.SIGSTOP)
        yield self.loop.sleep(span)
        process.signal(signal.SIGCONT)
        self.tap.note("continued", gateway=number)

    def kill(self, number, back):
        """A coroutine: killed, and started again after `back`."""
        process = self.processes[number]
        self.killed.add(process)
        self.tap.note("killed", gateway=number)
        process.signal(signal.SIGKILL)
        yield self.loop.sleep(back)
        yield from self.start(number)

    def stop(self, span):
        """A coroutine: all are asked to end; their exit codes."""
        for process in self.processes.values():
            process.signal(signal.SIGTERM)
        yield from self.trial.processes.rest(self.processes.values(), span)
        self.codes = {number: process.child.poll() for number, process in self.processes.items()}
