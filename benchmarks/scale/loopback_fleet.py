"""The processes of a rung on loopback: real gateways and hollow ones, started and ended here, and no others.

Children are killed by the kernel when this process ends, whatever ends it; a shell that waits for the end of
its input then removes the folder.
"""

from __future__ import annotations

import os
import subprocess
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path
from types import TracebackType

from benchmarks.processor_time import cpu_seconds
from benchmarks.scale.children import command
from benchmarks.scale.hollow_processes import HollowProcesses
from benchmarks.scale.limits import resident_bytes
from benchmarks.scale.logs import logged_at
from gaproute.cluster.lateness import CHECK_INTERVAL
from gaproute.hollow.simulation.host_lists import HostLists

RAFT_MEMBERS = 3
PEERS_PORT, CLIENTS_PORT = 7461, 7462
START_INTERVAL = 0.1  # s between the starts of two processes
NANOSECONDS = 1e9  # in a second
REMOVER = 'cat > /dev/null; sleep 1; rm -rf "$1"'
COMMON_LINES = """\
listen peers {where}:{port}
hosts-file {folder}/hosts.list look 400ms
peers-file {folder}/peers.list look 1s
weak-word yes
keepers {members} longest 30s{votes}
reports answer probes no
track inference pure contract 1200ms limit 5s
model model-000 track inference lanes 4
"""

Process = subprocess.Popen[bytes]


class ReplacedFile:
    """A file that is replaced atomically, as readers of other processes look at any time."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def write(self, text: str) -> None:
        """Replace the content."""
        new = self._path.with_suffix(".new")
        new.write_text(text)
        os.replace(new, self._path)


class LoopbackFleet:
    """`size` gateways, the first `real` of them as processes of their own. A context manager.

    The others are hollow, `each` of them in a process. `hosts`: of the list.
    """

    def __init__(self, size: int, *, real: int, each: int, seed: int, hosts: int) -> None:
        self.size, self._seed, self._host_count = size, seed, hosts
        self._real_numbers = range(real)
        self.real: dict[str, Process] = {}  # by the gateway's name
        self.hollow = HollowProcesses(range(real, size), each)
        self._late = 0  # ns, of this process
        self._killed_real: set[str] = set()

    @staticmethod
    def address(number: int) -> str:
        """The address of a gateway, without its port."""
        return f"127.61.{number >> 8}.{number & 255}"

    def __enter__(self) -> LoopbackFleet:
        self._folder = Path(tempfile.mkdtemp(prefix="gaproute-ladder-"))
        self._remover = subprocess.Popen(
            ["sh", "-c", REMOVER, "sh", str(self._folder)], stdin=subprocess.PIPE, start_new_session=True
        )
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        processes = self.processes()
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()
        assert self._remover.stdin is not None
        self._remover.stdin.close()
        self._remover.wait()

    # Starts

    def start(self) -> None:
        """Write the lists and start all processes, one after the other."""
        self._host_lists = HostLists(self._host_count, [ReplacedFile(self._folder / "hosts.list")])
        peers = [f"peer g{number} {self.address(number)}:{PEERS_PORT}\n" for number in range(self.size)]
        (self._folder / "peers.list").write_text("".join(peers))
        for number in self._real_numbers:
            self._start_real(number)
            time.sleep(START_INTERVAL)
        configuration = self._folder / "hollow.conf"
        configuration.write_text("name hollow\n" + self._common_lines("127.0.0.1", ""))
        for first, count in self.hollow.ranges:
            arguments: list[object] = ["gaproute.hollow", configuration, "--first", first, "--count", count]
            process = self._start_process(
                f"hollow-{first}", [*arguments, "--seed", self._seed], takes_orders=True
            )
            self.hollow.add(first, process)
            time.sleep(START_INTERVAL)

    def _common_lines(self, where: str, votes: str) -> str:
        """The lines of the configuration that all gateways have."""
        members = ",".join(f"g{number}" for number in range(RAFT_MEMBERS))
        return COMMON_LINES.format(
            where=where, port=PEERS_PORT, folder=self._folder, members=members, votes=votes
        )

    def _start_real(self, number: int) -> None:
        """Start one process of `gaproute serve`."""
        name, where = f"g{number}", self.address(number)
        votes = f" votes {self._folder}/{name}.votes" if number < RAFT_MEMBERS else ""
        configuration = self._folder / f"{name}.conf"
        listen = f"name {name}\nlisten kserve {where}:{CLIENTS_PORT}\n"
        configuration.write_text(listen + self._common_lines(where, votes))
        arguments = ["gaproute", "serve", configuration, "--seed", self._seed * 1000 + number]
        self.real[name] = self._start_process(name, arguments)

    def _start_process(
        self, name: str, arguments: Iterable[object], *, takes_orders: bool = False
    ) -> Process:
        """A process that ends with this one; its log goes into the folder."""
        stdin = subprocess.PIPE if takes_orders else None
        with (self._folder / f"{name}.log").open("wb") as log:
            return subprocess.Popen(command(arguments), stdin=stdin, stdout=subprocess.PIPE, stderr=log)

    def real_processes(self) -> list[Process]:
        """Of the real gateways that were not killed."""
        return [process for name, process in self.real.items() if name not in self._killed_real]

    def processes(self) -> list[Process]:
        """Those that were started and not killed since."""
        return [*self.real_processes(), *self.hollow.processes()]

    # Time and cost

    def wait(self, seconds: float) -> None:
        """Sleep in short steps, and note how late this process is."""
        end = time.monotonic_ns() + round(seconds * NANOSECONDS)
        while (now := time.monotonic_ns()) < end:
            due = min(now + CHECK_INTERVAL, end)
            time.sleep((due - now) / NANOSECONDS)
            self._late = max(self._late, time.monotonic_ns() - due)

    def lateness(self) -> dict[str, int]:
        """By who was late: ns at most since the last call."""
        self.hollow.snapshots()
        late = {"parent": self._late, "hollow": self.hollow.take_lateness()}
        self._late = 0
        return late

    def cpu(self) -> dict[int, float]:
        """Seconds of CPU by process id."""
        return {process.pid: cpu_seconds(process.pid) for process in self.processes()}

    def waited(self) -> dict[int, float]:
        """Seconds for which each process was ready to run and had no core, by process id."""
        return {
            process.pid: int(Path(f"/proc/{process.pid}/schedstat").read_text().split()[1]) / NANOSECONDS
            for process in self.processes()
        }

    @staticmethod
    def memory(processes: Iterable[Process]) -> int:
        """Bytes resident of these processes."""
        return sum(resident_bytes(process.pid) for process in processes)

    # Gateways and hosts

    def kill_real(self) -> str:
        """Kill the last real gateway; its name."""
        name = f"g{len(self._real_numbers) - 1}"
        self.real[name].kill()
        self.real[name].wait()
        self._killed_real.add(name)
        return name

    def drain(self, host: str) -> None:
        """Have the host list say that this host drains."""
        self._host_lists.states[host] = "draining"
        self._host_lists.publish()

    def last_logged(self, event: str, name: str, state: str, since: float = 0.0) -> float | None:
        """When the last real gateway logged it after `since`; None until all others have."""
        times = []
        for gateway in self.real:
            if gateway in self._killed_real or gateway == name:
                continue
            at = logged_at(self._folder / f"{gateway}.log", event, name, state, since)
            if at is None:
                return None
            times.append(at)
        return max(times)
