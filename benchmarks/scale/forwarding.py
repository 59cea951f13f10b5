"""Gateways of two cells on loopback that forward calls to each other: processor time and latency.

Each gateway is a process, knows the hosts of its own cell and is the one entry into it. Hosts are listeners
of one process that answer at once (`benchmarks/relay.py`), the clients of both gateways another process.
Every call is of another function, as rare functions are at the size that is coming.
"""

import json
import socket
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from benchmarks.scale import forwarding_clients
from gaproute.config.cell_files import read_table
from gaproute.decisions.cells.homes import HomeCells

ADDRESS = "127.0.0.2"  # of gateways: nobody connects from there, so that a port found free stays free
RELAY = Path(__file__).parents[1] / "relay.py"  # which has the hosts
CELLS = ("a1", "b1")  # in one region, a zone each
HOSTS = 51  # of each cell
HOSTS_TOLD = 300  # by the table: so that neither gateway takes the other's cell into its view
MODELS = 16_000  # about half of them have their home in either cell
MOST_CALLS = 2  # of a function at one gateway: from the third on a function gets further homes


@dataclass(frozen=True)
class Run:
    """What one play gave."""

    calls: int  # a second, of each gateway that had clients
    failed: int  # calls that were not answered 200
    forwarded: int  # relays to entry gateways a second, of each gateway that had clients
    cpu: dict[str, float]  # gateway: ms of processor time a second
    p50: float  # ms, of all calls
    p99: float
    failures: tuple[str, ...] = ()  # what failed calls got in place of an answer 200, of some of them


class Fleet:
    """The processes; `close` ends them."""

    def __init__(self, seed: int, models: int = MODELS):
        self.models = models
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name)
        self.processes = []
        self.used = {}  # (gateway's cell, home): calls so far
        try:
            self._start(seed)
        except BaseException:
            self.close()
            raise

    def _start(self, seed):
        command = [sys.executable, str(RELAY), "hosts", str(HOSTS * len(CELLS))]
        self.hosts = json.loads(self._started(command, stdout=subprocess.PIPE).stdout.readline())
        ports = free_ports(2 * len(CELLS))
        self.clients = dict(zip(CELLS, ports[::2], strict=True))
        self.peers = dict(zip(CELLS, ports[1::2], strict=True))
        self._write_cells()
        self.gateways = {cell: self._gateway(cell, seed) for cell in CELLS}
        for gateway in self.gateways.values():
            _wait_started(gateway)
        homes = HomeCells(read_table(self.path / "cells.table"))
        self.functions = {cell: [] for cell in CELLS}
        for number in range(self.models):
            self.functions[homes.first(f"m{number}")].append(f"m{number}")

    def play(self, homes: dict[str, str], rate: float, seconds: float, seed: int) -> Run:
        """Calls to the gateways of some cells, {cell: home of the functions called}, so many a second each;
        rate 0: as fast as they are answered."""
        out = sum(self._forwarded_out(cell) for cell in homes)
        before = {cell: _cpu_ns(gateway.pid) for cell, gateway in self.gateways.items()}
        asked = {
            f"{ADDRESS}:{self.clients[cell]}": self._take(cell, home, rate, seconds)
            for cell, home in homes.items()
        }
        told = forwarding_clients.run(asked, rate, seconds, seed)
        cpu = {
            cell: (_cpu_ns(gateway.pid) - before[cell]) / 1e6 / told["seconds"]
            for cell, gateway in self.gateways.items()
        }
        each = told["seconds"] * len(homes)
        forwarded = round((sum(self._forwarded_out(cell) for cell in homes) - out) / each)
        return Run(
            round(told["calls"] / each),
            told["failed"],
            forwarded,
            cpu,
            told["p50_ms"],
            told["p99_ms"],
            tuple(told["failures"]),
        )

    def _forwarded_out(self, cell):
        """Relays to entry gateways so far."""
        with socket.socket(socket.AF_UNIX) as operator:
            operator.connect(str(self.path / f"{cell}.op"))
            operator.sendall(b"GET /status HTTP/1.1\r\nHost: g\r\nConnection: close\r\n\r\n")
            answer = b"".join(iter(lambda: operator.recv(65536), b""))
        return json.loads(answer.partition(b"\r\n\r\n")[2])["cells"]["forwarded_out"]

    def _take(self, cell, home, rate, seconds):
        """Functions for one play, none more often than allowed."""
        count = forwarding_clients.most_calls(rate, seconds)
        known = self.functions[home]
        first = self.used.get((cell, home), 0)
        self.used[cell, home] = first + count
        if first + count > MOST_CALLS * len(known):
            raise ValueError(f"{first + count} calls of {len(known)} functions are too many for one fleet")
        return [known[number % len(known)] for number in range(first, first + count)]

    def _write_cells(self):
        lines = ["table north term 1 number 1"]
        for place, cell in enumerate(CELLS):
            lines.append(
                f"cell {cell} region r zone {cell} capacity 100 hosts {HOSTS_TOLD} points {cell}:0+32"
                f" entries {cell}={ADDRESS}:{self.peers[cell]}"
            )
            hosts = self.hosts[place * HOSTS : (place + 1) * HOSTS]
            listed = [f"host {cell}-{number} {where}" for number, where in enumerate(hosts)]
            (self.path / f"{cell}.hosts").write_text("\n".join(listed) + "\n")
        (self.path / "cells.table").write_text("\n".join([*lines, "end"]) + "\n")

    def _gateway(self, cell, seed):
        lines = [
            f"name {cell}",
            f"listen kserve {ADDRESS}:{self.clients[cell]}",
            f"listen peers {ADDRESS}:{self.peers[cell]}",
            f"listen operator unix:{self.path}/{cell}.op",
            f"cells north file {self.path}/cells.table look 400ms region r zone {cell}",
            f"cell-hosts {self.path} look 400ms",
            "track a pure contract 2s limit 5s",
            *[f"model m{number} track a lanes 4 load 100ms" for number in range(self.models)],
        ]
        file = self.path / f"{cell}.conf"
        file.write_text("\n".join(lines) + "\n")
        command = [sys.executable, "-m", "gaproute", "serve", str(file), "--seed", str(seed)]
        return self._started(command, stderr=subprocess.PIPE)

    def _started(self, command, **told):
        process = subprocess.Popen(command, **told)
        self.processes.append(process)
        return process

    def close(self):
        """Ends every process, by its own id."""
        for process in self.processes:
            process.kill()
            process.wait()
            for pipe in (process.stdout, process.stderr):
                if pipe is not None:
                    pipe.close()
        self.folder.cleanup()


def _wait_started(gateway):
    told = []
    for line in gateway.stderr:
        if b'"event": "started"' in line:
            return
        told.append(line.decode())
    raise RuntimeError(f"a gateway ended as it started: {''.join(told[-5:])}")


def free_ports(count):
    """So many ports of `ADDRESS` that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((ADDRESS, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def _cpu_ns(pid):
    """Processor time of a process of one thread."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0])
