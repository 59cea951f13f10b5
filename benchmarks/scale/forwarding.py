"""Gateways of two cells on loopback that forward calls to each other: processor time and latency.

Each gateway is a process, knows the hosts of its own cell and is the one entry into it. Hosts are listeners
of one process that answer at once (`benchmarks/relay.py`), the clients of both gateways another process.
Every call is of another function, as rare functions are at the size that is coming.
"""

from __future__ import annotations

import json
import socket
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from benchmarks.gateway_processes import read_status, wait_started
from benchmarks.processor_time import main_thread_cpu
from benchmarks.scale import forwarding_clients
from gaproute.config.cell_files import read_complete_cell_table
from gaproute.decisions.cells.homes import HomeCells

ADDRESS = "127.0.0.2"  # of gateways: nobody connects from there, so that a port found free stays free
RELAY = Path(__file__).parents[1] / "relay.py"  # whose hosts these are
CELLS = ("a1", "b1")  # in one region, a zone each
HOSTS = 51  # of each cell
HOSTS_OF_TABLE = 300  # of each cell by the table: neither gateway takes the other's cell into its view
MODELS = 16_000  # about half of them have their home in either cell
MAX_CALLS = 2  # of a function at one gateway: from the third on a function gets further homes


Process = subprocess.Popen[bytes]


@dataclass(frozen=True)
class Run:
    """What one play gave."""

    calls: int  # a second, of each gateway that had clients
    failed: int  # calls that were not answered 200
    forwarded: int  # attempts at entry gateways a second, of each gateway that had clients
    cpu: dict[str, float]  # gateway: ms of processor time a second
    p50: float  # ms, of all calls
    p99: float
    failures: tuple[str, ...] = ()  # what failed calls got in place of an answer 200, of some of them


class ForwardingFleet:
    """The processes; `close` ends them. `models`: how many functions the gateways know."""

    def __init__(self, seed: int, models: int = MODELS) -> None:
        self.models = models
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name)
        self._processes: list[Process] = []
        self._calls: Counter[tuple[str, str]] = Counter()  # so far, by the gateway's cell and the home
        try:
            self._start(seed)
        except BaseException:
            self.close()
            raise

    def _start(self, seed: int) -> None:
        command = [sys.executable, str(RELAY), "hosts", str(HOSTS * len(CELLS))]
        hosts = self._start_process(command, stdout=subprocess.PIPE)
        assert hosts.stdout is not None
        self.hosts: list[str] = json.loads(hosts.stdout.readline())
        ports = free_ports(2 * len(CELLS))
        self.clients = dict(zip(CELLS, ports[::2], strict=True))
        self.peers = dict(zip(CELLS, ports[1::2], strict=True))
        self._write_cells()
        self.gateways = {cell: self._start_gateway(cell, seed) for cell in CELLS}
        for gateway in self.gateways.values():
            wait_started(gateway)
        homes = HomeCells(read_complete_cell_table(self.path / "cells.table"))
        self.functions: dict[str, list[str]] = {cell: [] for cell in CELLS}
        for number in range(self.models):
            home = homes.first(f"m{number}")
            assert home is not None
            self.functions[home].append(f"m{number}")

    def play(self, homes: dict[str, str], rate: float, seconds: float, seed: int) -> Run:
        """Play calls to gateways of some cells: `homes` of the functions called, by the gateway's cell.

        `rate`: so many a second at each; 0: as fast as they are answered. Errors: ValueError for more calls
        than the fleet has functions for.
        """
        forwarded = sum(self._forwarded_so_far(cell) for cell in homes)
        before = {cell: main_thread_cpu(gateway.pid) for cell, gateway in self.gateways.items()}
        functions = {
            f"{ADDRESS}:{self.clients[cell]}": self._take_functions(cell, home, rate, seconds)
            for cell, home in homes.items()
        }
        figures = forwarding_clients.run(functions, rate, seconds, seed)
        cpu = {
            cell: (main_thread_cpu(gateway.pid) - before[cell]) / 1e6 / figures["seconds"]
            for cell, gateway in self.gateways.items()
        }
        span = figures["seconds"] * len(homes)
        forwarded = sum(self._forwarded_so_far(cell) for cell in homes) - forwarded
        return Run(
            calls=round(figures["calls"] / span),
            failed=figures["failed"],
            forwarded=round(forwarded / span),
            cpu=cpu,
            p50=figures["p50_ms"],
            p99=figures["p99_ms"],
            failures=tuple(figures["failures"]),
        )

    def _forwarded_so_far(self, cell: str) -> int:
        """Attempts of a gateway at entry gateways."""
        status = read_status(self.path / f"{cell}.op")
        return int(status["cells"]["forwarded_out"])

    def _take_functions(self, cell: str, home: str, rate: float, seconds: float) -> list[str]:
        """Functions for one play, none more often than allowed."""
        count = forwarding_clients.max_calls(rate, seconds)
        known = self.functions[home]
        first = self._calls[cell, home]
        self._calls[cell, home] += count
        if first + count > MAX_CALLS * len(known):
            raise ValueError(f"{first + count} calls of {len(known)} functions are too many for one fleet")
        return [known[number % len(known)] for number in range(first, first + count)]

    def _write_cells(self) -> None:
        lines = ["table north term 1 number 1"]
        for place, cell in enumerate(CELLS):
            lines.append(
                f"cell {cell} region r zone {cell} capacity 100 hosts {HOSTS_OF_TABLE} points {cell}:0+32"
                f" entries {cell}={ADDRESS}:{self.peers[cell]}"
            )
            hosts = self.hosts[place * HOSTS : (place + 1) * HOSTS]
            listed = [f"host {cell}-{number} {where}" for number, where in enumerate(hosts)]
            (self.path / f"{cell}.hosts").write_text("\n".join(listed) + "\n")
        (self.path / "cells.table").write_text("\n".join([*lines, "end"]) + "\n")

    def _start_gateway(self, cell: str, seed: int) -> Process:
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
        return self._start_process(command, stderr=subprocess.PIPE)

    def _start_process(
        self, command: Sequence[str], *, stdout: int | None = None, stderr: int | None = None
    ) -> Process:
        process = subprocess.Popen(command, stdout=stdout, stderr=stderr)
        self._processes.append(process)
        return process

    def close(self) -> None:
        """End every process, by its own id."""
        for process in self._processes:
            process.kill()
            process.wait()
            for pipe in (process.stdout, process.stderr):
                if pipe is not None:
                    pipe.close()
        self.folder.cleanup()


def free_ports(count: int) -> list[int]:
    """So many ports of `ADDRESS` that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((ADDRESS, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports
