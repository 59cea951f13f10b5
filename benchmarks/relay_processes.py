"""The processes of `relay.py`: hosts that answer at once, clients, and gateways that are measured."""

from __future__ import annotations

import json
import os
import random
import socket
import subprocess
import sys
from collections.abc import Generator, Sequence
from pathlib import Path
from typing import Any

from benchmarks.gateway_processes import wait_started
from benchmarks.host_processes import HostsProcess
from benchmarks.inference_requests import encode_request
from benchmarks.processor_time import cpu_seconds
from gaproute.http1 import ClientConnection, Exchange, Request
from gaproute.http1.message import Response
from gaproute.loop import Loop, Promise, connect
from gaproute.loop.addresses import parse_address

FOLDER = Path(__file__).resolve().parent
COMMAND = FOLDER / "relay.py"
SECOND = 1_000_000_000
MODELS = 300
CONNECTIONS = 64  # of the clients
REQUESTS = 20_000  # drawn in advance, and sent in turn
MAX_HEAD, MAX_BODY = 65536, 1 << 20  # bytes of an answer
LAST_ANSWERS = SECOND // 2  # waited for after the last request
ANSWER_BODY = json.dumps(
    {"model_name": "m", "outputs": [{"name": "o", "shape": [1], "datatype": "BYTES", "data": ["y" * 100]}]}
).encode()
LOAD_REPORT = (
    b"endpoint-load-metrics",
    b'JSON {"cpu_utilization": 0.3, "named_metrics": {"queue": 0, "copy": 1, "alike": 0}}',
)
CONFIGURATION = """\
listen kserve 127.0.0.1:0
decisions {decisions}
reports answer
track a pure contract 1200ms limit 5s
relays limit 4
copies keep 10s orders yes free 6 share 0.3
"""

Figures = dict[str, Any]


def answer_at_once(request: Request) -> None:
    """The handler of a host."""
    request.connection.answer(request, 200, (LOAD_REPORT,), ANSWER_BODY)


class Clients:
    """Connections that send requests for a time, once all of them are open.

    With a `rate` (a second) requests come at random times, whatever became of those before; without one each
    connection sends the next when it has been answered.
    """

    def __init__(self, targets: Sequence[str], seconds: float, rate: float, seed: int) -> None:
        self.loop, self._random = Loop(), random.Random(seed)
        popularity = [1 / (rank + 1) for rank in range(MODELS)]
        models = self._random.choices(range(MODELS), popularity, k=REQUESTS)
        self._requests = [encode_request(f"m{model}") for model in models]
        self._seconds, self._rate = seconds, rate
        self._idle: list[ClientConnection] = []
        self._latencies: list[int] = []  # ns
        self._sent = self._failed = 0
        self._ends_at = 0
        for number in range(CONNECTIONS):
            connect(self.loop, parse_address(targets[number % len(targets)]), SECOND, self._connected)

    def figures(self) -> Figures:
        """What came of the requests."""
        latencies = sorted(self._latencies)
        return {
            "tasks": len(latencies),
            "bad": self._failed,
            "rate": len(latencies) / self._seconds,
            "p50_ms": latencies[len(latencies) // 2] / 1e6,
            "p99_ms": latencies[len(latencies) * 99 // 100] / 1e6,
        }

    def _connected(self, sock: socket.socket | None, error: OSError | None) -> None:
        if sock is None:
            raise ConnectionError(f"a client cannot connect: {error}")
        self._idle.append(ClientConnection(self.loop, sock, MAX_HEAD, MAX_BODY))
        if len(self._idle) == CONNECTIONS:
            self._start()

    def _start(self) -> None:
        self._ends_at = self.loop.now() + round(self._seconds * SECOND)
        if self._rate:
            self.loop.spawn(self._arrivals())
        else:
            while self._idle:
                self._send(self._idle.pop(), self.loop.now())
        self.loop.call_at(self._ends_at + LAST_ANSWERS, self.loop.stop)

    def _arrivals(self) -> Generator[Promise, None, None]:
        """Coroutine: requests at random times; those that find no idle connection have failed."""
        intended = self.loop.now()
        while intended < self._ends_at:
            intended += round(self._random.expovariate(self._rate) * SECOND)
            if intended > self.loop.now():
                yield self.loop.sleep(intended - self.loop.now())
            if self._idle:
                self._send(self._idle.pop(), intended)
            else:
                self._failed += 1

    def _send(self, connection: ClientConnection, intended: int) -> None:
        def done(response: Response | None, failure: object) -> None:
            self._answered(connection, intended, response)

        self._sent += 1
        request = self._requests[self._sent % len(self._requests)]
        Exchange(self.loop, request, done).send_on(connection)

    def _answered(self, connection: ClientConnection, intended: int, response: Response | None) -> None:
        self._failed += response is None or response.status != 200
        self._latencies.append(self.loop.now() - intended)
        if response is None:
            return
        if self._rate:
            self._idle.append(connection)
        elif self.loop.now() < self._ends_at:
            self._send(connection, self.loop.now())


def run_clients(targets: Sequence[str], seconds: float, rate: float, seed: int) -> None:
    """A process with clients, which prints their figures."""
    clients = Clients(targets, seconds, rate, seed)
    clients.loop.run()
    print(json.dumps(clients.figures()))


def play(targets: Sequence[str], seconds: float, rate: float = 0, seed: int = 1) -> Figures:
    """The figures of clients in a process of their own."""
    arguments = ["load", json.dumps(targets), str(seconds), str(rate), str(seed)]
    printed = subprocess.run([sys.executable, str(COMMAND), *arguments], capture_output=True, check=True)
    figures: Figures = json.loads(printed.stdout)
    return figures


def start_hosts(count: int) -> HostsProcess:
    """So many hosts in a process of their own, which `relay.py` runs."""
    return HostsProcess(COMMAND, "hosts", count)


class GatewayProcess:
    """A gateway before hosts, with the decisions `MODULE:CLASS`; `more` are further lines of configuration.

    `addresses`: where it listens.
    """

    def __init__(self, hosts: Sequence[str], decisions: str, folder: str, *more: str) -> None:
        lines = [f"model m{number} track a lanes 4" for number in range(MODELS)]
        lines += [f"host h{number} {where}" for number, where in enumerate(hosts)]
        configuration = CONFIGURATION.format(decisions=decisions) + "\n".join([*lines, *more]) + "\n"
        file = Path(folder, decisions.replace(":", "-") + ".conf")
        file.write_text(configuration)
        self._process = subprocess.Popen(
            [sys.executable, "-m", "gaproute", "serve", str(file), "--seed", "1"],
            stderr=subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": f"{FOLDER}:{FOLDER.parent}"},
        )
        self.addresses = wait_started(self._process)

    def measure(self, seconds: float, rate: float = 0, seed: int = 1) -> Figures:
        """The figures of clients, with `cpu_ms`, the gateway's CPU time for each request."""
        before = cpu_seconds(self._process.pid)
        figures = play(self.addresses, seconds, rate, seed)
        figures["cpu_ms"] = (cpu_seconds(self._process.pid) - before) / max(1, figures["tasks"]) * 1000
        return figures

    def end(self) -> None:
        """Shut the gateway down."""
        assert self._process.stderr is not None
        self._process.terminate()
        self._process.wait()
        self._process.stderr.close()
