"""What one gateway of the platform costs as its host list grows: processes on loopback.

One `gaproute.platform` before stand-in hosts, with 3 requests a second, as a gateway of a large fleet has:
CPU of the start, of an idle second, of a change of one line of the list, of a request; bytes of its log.

    python -m benchmarks.wide [--hosts 60,120,400,1000] [--seconds 15] [--plays 3]
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from statistics import median
from typing import Any, NamedTuple

from benchmarks.gateway_processes import GatewayStartError
from benchmarks.processor_time import main_thread_cpu
from gaproute.scenarios.processes import DayProcess
from gaproute.standins.platform.deployment_settings import RequestClassSettings, deployment_settings
from gaproute.standins.platform.gateway_configuration import GatewayConfiguration
from gaproute.standins.platform.host_list import VersionedHostList, member

MILLI, SECOND = 1_000_000, 1_000_000_000
RATE = 3.0  # requests a second
FUNCTIONS = 400
CHANGES = 40  # of a line of the list
HOSTS_EACH = 250  # in one stand-in process
REQUEST_CLASSES = [RequestClassSettings("fault-check", priority_weight=3.0)]
MODELS = [
    {
        "name": f"{number:016x}",
        "track": REQUEST_CLASSES[0].name,
        "lanes": 4,
        "work": 40 * MILLI,
        "start": 100 * MILLI,
    }
    for number in range(1, FUNCTIONS + 1)
]


class Costs(NamedTuple):
    """What one play gave, in the order of the table's columns."""

    start: float  # s of CPU
    idle: float  # s of CPU a second
    change: float  # s of CPU a changed line of the list
    request: float  # s of CPU
    log: float  # bytes a second


class Scene:
    """A gateway before stand-in hosts and their change log, each a process; `end` ends them all."""

    def __init__(self, folder: str, count: int) -> None:
        self.folder, self.listing = Path(folder), VersionedHostList()
        self.processes: list[DayProcess] = []
        self.addresses: dict[str, str] = {}  # of the hosts, by name
        for first in range(0, count, HOSTS_EACH):
            self._start_hosts(range(first, min(count, first + HOSTS_EACH)))
        complete_list = self.listing.change(*[member(name, at) for name, at in self.addresses.items()])
        self.change_log, started = self.start_stand_in(
            "platform-log", {"gateways": ["127.0.0.2:0"], "tap": f"{folder}/log"}
        )
        self.change_log.send(complete_list)
        self.log = self.folder / "g0.log"
        self._start_gateway(started["addresses"][0])

    def _start_hosts(self, numbers: range) -> None:
        """One process with so many hosts."""
        hosts = [
            {"listen": "127.0.0.2:0", "warm": True, "make": {"name": f"s-{number}", "copies": 12}}
            for number in numbers
        ]
        settings = {"models": MODELS, "taps": str(self.folder), "seed": 3, "hosts": hosts}
        _, started = self.start_stand_in("platform-host", settings)
        self.addresses |= started["addresses"]

    def start_stand_in(self, kind: str, settings: dict[str, Any]) -> tuple[DayProcess, dict[str, Any]]:
        """A stand-in's process and what it said once it had started."""
        process = DayProcess([sys.executable, "-m", "gaproute.standins", kind], settings, self.folder / "err")
        self.processes.append(process)
        assert process.child.stdout is not None
        started: dict[str, Any] = json.loads(process.child.stdout.readline())
        return process, started

    def _start_gateway(self, change_log: str) -> None:
        configuration = GatewayConfiguration(
            name="g0",
            listen="127.0.0.2:0",
            change_log=change_log,
            known=self.listing.snapshot(),
            settings=deployment_settings(REQUEST_CLASSES, gateways=200),
        )
        command, environment = configuration.write(self.folder)
        with self.log.open("wb") as log:
            self.gateway = subprocess.Popen(command, env=os.environ | environment, stderr=log)
        self.gateway_address = self._wait_started()

    def _wait_started(self) -> str:
        """The address at which the gateway listens, once it does."""
        while True:
            for line in self.log.read_bytes().split(b"\n")[:-1]:
                event = json.loads(line)
                if event["event"] == "started":
                    return str(event["listen_address"])
            if self.gateway.poll() is not None:
                raise GatewayStartError(f"the gateway did not start; see {self.log}")
            time.sleep(0.01)

    def spent(self, action: Callable[[], object]) -> float:
        """Seconds of CPU of the gateway while `action` runs."""
        before = main_thread_cpu(self.gateway.pid) / SECOND
        action()
        return main_thread_cpu(self.gateway.pid) / SECOND - before

    def change(self) -> None:
        """Let one host drain and another come back, in turn, each some milliseconds after the last."""
        names = sorted(self.addresses)
        for number in range(CHANGES):
            name = names[number // 2 % len(names)]
            state = ("draining", "active")[number % 2]
            self.change_log.send(self.listing.change(member(name, self.addresses[name], state)))
            time.sleep(0.05)

    def serve(self, seconds: float) -> None:
        """Let clients send requests for so long."""
        clients, _ = self.start_stand_in(
            "platform-clients",
            {
                "gateways": [self.gateway_address],
                "models": MODELS,
                "seed": 5,
                "tap": f"{self.folder}/clients",
                "kinds": [
                    {"name": REQUEST_CLASSES[0].name, "share": 1.0, "limit": 5000 * MILLI, "pure": True}
                ],
                "habits": {"rate": RATE},
                "length": int(seconds * 1000) * MILLI,
            },
        )
        clients.child.wait(seconds + 40)

    def end(self) -> None:
        """End every process."""
        if self.gateway.poll() is None:
            self.gateway.send_signal(signal.SIGTERM)
            self.gateway.wait(15)
        for process in self.processes:
            process.close()


def play(hosts: int, seconds: float) -> Costs:
    """Costs of a gateway before so many hosts, each part taking so long."""
    with tempfile.TemporaryDirectory() as folder:
        scene = Scene(folder, hosts)
        try:
            start = main_thread_cpu(scene.gateway.pid) / SECOND
            scene.spent(lambda: time.sleep(1))  # what the start leaves to be done
            logged = scene.log.stat().st_size
            idle = scene.spent(lambda: time.sleep(seconds)) / seconds
            log_rate = (scene.log.stat().st_size - logged) / seconds
            began = time.monotonic()
            busy = scene.spent(lambda: scene.serve(seconds))
            served = busy - idle * (time.monotonic() - began)
            # Only now are functions known, for which a changed list is ranked anew.
            began = time.monotonic()
            changes = scene.spent(scene.change) - idle * (time.monotonic() - began)
            return Costs(start, idle, changes / CHANGES, served / (RATE * seconds), log_rate)
        finally:
            scene.end()


def main() -> None:
    """Print a table with a row for each number of hosts."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--hosts", default="60,120,400,1000")
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--plays", type=int, default=3)
    options = parser.parse_args()
    print("| hosts | start, CPU s | idle, % of a core | a list change, ms | a task, ms | log, bytes/s |")
    print("| --- | --- | --- | --- | --- | --- |")
    for hosts in map(int, options.hosts.split(",")):
        plays = [play(hosts, options.seconds) for _ in range(options.plays)]
        cells = [
            f"{median(each) * factor:.2f} ({min(each) * factor:.2f} to {max(each) * factor:.2f})"
            for each, factor in zip(zip(*plays, strict=True), (1, 100, 1000, 1000, 1), strict=True)
        ]
        print(f"| {hosts} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
