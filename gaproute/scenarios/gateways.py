"""The gateways of a day: each a process with a configuration of its own, at the same address after a kill."""

import json
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from gaproute.scenarios.context import DayContext
from gaproute.scenarios.errors import GatewayStartError, NotReadyError
from gaproute.scenarios.processes import ANY_ADDRESS, READY_TIME, DayProcess, Routine
from gaproute.units import MILLI

START_POLL = 20 * MILLI  # between two looks at the log of a gateway that starts
LIST_POLL = "50ms"  # by which gateways look at their host list


class DayGateways:
    """All gateways, by their numbers from 0 on."""

    def __init__(self, trial: DayContext) -> None:
        self.trial, self.loop, self.tap, self.out = trial, trial.loop, trial.tap, trial.out
        self.processes: dict[int, DayProcess] = {}
        self.addresses: dict[int, str] = {}  # for clients
        self.killed: set[DayProcess] = set()  # one that is killed while it starts did not fail to start
        self.exit_codes: dict[int, int | None] = {}  # after the day; None: it did not end in time

    def configuration_lines(self, number: int) -> list[str]:
        """The lines of its configuration."""
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
            f"listen kserve {self.addresses.get(number, ANY_ADDRESS)}",
            f"decisions {trial.decisions}",
            f"hosts-file {self.out / 'hosts.list'} look {LIST_POLL}",
            *trial.script.gateway_lines,
            *peers,
            *self.model_lines(),
        ]

    def model_lines(self) -> list[str]:
        """The lines of its configuration on the models."""
        return [
            f"model {model['name']} track {model['track']} lanes {model['lanes']}"
            for model in self.trial.models
        ]

    def process_options(self, number: int) -> dict[str, Any]:
        """How its process is started, as options of `DayProcesses.command`."""
        return {}

    def start(self, number: int) -> Routine:
        """A coroutine: until the gateway logs that it has started, or is killed before that.

        Raises `GatewayStartError` where it ends, `NotReadyError` where it takes too long.
        """
        name, first = f"g{number}", number not in self.processes
        log = self.out / f"{name}.log"
        old_size = log.stat().st_size if log.exists() else 0
        process = self._launch(number, log)
        end = self.loop.now() + READY_TIME
        while True:
            address = _logged_address(log.read_bytes()[old_size:])
            if address is not None:
                self.addresses[number] = address
                self.tap.note("started", gateway=number, name=name)
                self.tap.flush()
                return
            if process in self.killed:
                return
            if process.child.poll() is not None:
                raise GatewayStartError(f"{name} did not start{' at first' if first else ''}; see {log}")
            if self.loop.now() > end:
                raise NotReadyError(f"{name} was not up in time; see {log}")
            yield self.loop.sleep(START_POLL)

    def _launch(self, number: int, log: Path) -> DayProcess:
        """Its new process, which logs to this file."""
        trial, configuration = self.trial, self.out / f"g{number}.conf"
        configuration.write_text("\n".join([*self.configuration_lines(number), ""]))
        process = trial.processes.start(
            ["gaproute", "serve", str(configuration), "--seed", str(trial.seed * 100 + number)],
            None,
            log.name,
            reads_output=False,
            **self.process_options(number),
        )
        self.processes[number] = process
        return process

    def pause(self, number: int, span: int) -> Routine:
        """A coroutine: its process is stopped for `span` ns (SIGSTOP, SIGCONT)."""
        process = self.processes[number]
        self.tap.note("stopped", gateway=number)  # first, as clients may see the pause at once
        process.signal(signal.SIGSTOP)
        yield self.loop.sleep(span)
        process.signal(signal.SIGCONT)
        self.tap.note("continued", gateway=number)

    def kill_and_restart(self, number: int, back: int) -> Routine:
        """A coroutine: its process is killed, and started again after `back` ns."""
        process = self.processes[number]
        self.killed.add(process)
        self.tap.note("killed", gateway=number)
        process.signal(signal.SIGKILL)
        yield self.loop.sleep(back)
        yield from self.start(number)

    def terminate(self, span: int) -> Routine:
        """A coroutine: all get a SIGTERM and `span` ns to end; `exit_codes` has what became of them."""
        for process in self.processes.values():
            process.signal(signal.SIGTERM)
        yield from self.trial.processes.wait_for_exit(self.processes.values(), span)
        self.exit_codes = {number: process.child.poll() for number, process in self.processes.items()}


def _logged_address(log: bytes) -> str | None:
    """Where a gateway serves clients, by its log; None before it has started."""
    for event in _logged_events(log):
        if event.get("event") == "started":
            return str(event["listen_addresses"][0])
    return None


def _logged_events(log: bytes) -> Iterator[dict[str, Any]]:
    """The whole lines of a log that are JSON."""
    for line in log.split(b"\n")[:-1]:
        if line.startswith(b"{"):
            yield json.loads(line)
