"""What idle connections cost a process, how they wake, and how punctual their ends are, at several sizes.

    python benchmarks/connections.py [--sizes 1000,5000,10000,19000] [--out docs/measured]

In the same run, the server as it is (idle connections parked) and a plain one: a generator, a stream, a
reader and a timer for each connection. Both answer at once, without decisions behind them. For each size:
memory of the process over connections held; CPU while all are silent, and while 0.1% and 1% of them send a
request each second, with the time to the answer; then how late the idle ends of all come while 1% go on
sending (idle time 8 s, spread 10%).
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import time
from pathlib import Path
from types import TracebackType
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.connection_processes import LAST_ANSWERS, SECOND, hold, serve
from benchmarks.processor_time import main_thread_cpu
from benchmarks.rows import write

FORMS = ("plain", "parked")
SHORT_IDLE_TIME = 8 * SECOND
SETTLE = 2  # seconds after all connections are open
SHARES = (0, 0.001, 0.01)  # of the connections that send a request in a second
WAKE_SECONDS = 4  # in which most connections send once, and are idle from then on
EXPIRY_SECONDS = 9  # in which all others are closed for being idle
KILOBYTE = 1024

Row = dict[str, Any]


class ChildProcess:
    """A process of this program, given orders as lines of JSON. A context manager that ends it."""

    def __init__(self, *arguments: object) -> None:
        self._process = subprocess.Popen(
            [sys.executable, __file__, *map(str, arguments)], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )

    def __enter__(self) -> ChildProcess:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        self._process.stdin.close()
        self._process.wait()
        self._process.stdout.close()

    def read_answer(self) -> dict[str, Any]:
        """The next line that the process prints."""
        assert self._process.stdout is not None
        answer: dict[str, Any] = json.loads(self._process.stdout.readline())
        return answer

    def order(self, **order: Any) -> None:
        """Give an order without waiting for an answer."""
        assert self._process.stdin is not None
        self._process.stdin.write(json.dumps(order).encode() + b"\n")
        self._process.stdin.flush()

    def ask(self, **order: Any) -> dict[str, Any]:
        """Give an order, and return its answer."""
        self.order(**order)
        return self.read_answer()

    def memory(self) -> int:
        """Bytes of memory that the process has, its share of what is shared included."""
        rollup = Path(f"/proc/{self._process.pid}/smaps_rollup").read_text()
        return _kilobytes(rollup, "Pss") * KILOBYTE

    def cpu(self) -> int:
        """CPU time of the process, ns."""
        return main_thread_cpu(self._process.pid)


def kernel_memory() -> int:
    """Bytes that the kernel has allocated for its own objects."""
    return _kilobytes(Path("/proc/meminfo").read_text(), "Slab") * KILOBYTE


def _kilobytes(text: str, name: str) -> int:
    """The figure on the line of that name."""
    return next(int(line.split()[1]) for line in text.splitlines() if line.startswith(f"{name}:"))


def measure(form: str, size: int, seconds: float) -> Row:
    """One row: a server of that form with `size` connections."""
    with ChildProcess("serve", form) as server:
        where = server.read_answer()["at"]
        memory, kernel = server.memory(), kernel_memory()
        with ChildProcess("crowd", where, size) as clients:
            clients.read_answer()
            time.sleep(SETTLE)
            row: Row = {
                "form": form,
                "connections": size,
                "held": server.ask(held=True)["held"],
                "bytes each": round((server.memory() - memory) / size),
                "kernel bytes each, both ends": round((kernel_memory() - kernel) / size),
            }
            for share in SHARES:
                row |= _cost_of_requests(server, clients, share, size, seconds)
            return row | _lateness_of_idle_ends(server, clients, size)


def _cost_of_requests(
    server: ChildProcess, clients: ChildProcess, share: float, size: int, seconds: float
) -> Row:
    """CPU, and latency where there are requests, while a share of the connections sends them."""
    before = server.cpu()
    result = clients.ask(rate=share * size, seconds=seconds)
    span = seconds + LAST_ANSWERS / SECOND
    row = {f"% of a core at {share:.1%}": round((server.cpu() - before) / 1e7 / span, 2)}
    if share:
        cpu_each = (server.cpu() - before) / 1e3 / max(1, result["tasks"])
        row[f"us a task at {share:.1%}"] = round(cpu_each)
        row[f"p99 ms at {share:.1%}"] = round(result["p99"], 1)
    return row


def _lateness_of_idle_ends(server: ChildProcess, clients: ChildProcess, size: int) -> Row:
    server.order(idle=SHORT_IDLE_TIME)
    clients.ask(rate=size / WAKE_SECONDS, seconds=WAKE_SECONDS)
    clients.ask(rate=0.01 * size, seconds=EXPIRY_SECONDS)
    ends = server.ask(late=True)
    return {
        "idle ends": ends["ends"],
        "early": ends["early"],
        "late ms p50, p99.9, max": " ".join(f"{each:.1f}" for each in ends["late_ms"]),
    }


def main() -> None:
    """Run the command line."""
    options = argparse.ArgumentParser()
    options.add_argument("--sizes", default="1000,5000,10000,19000")
    options.add_argument("--seconds", type=float, default=5)
    options.add_argument("--out", default="docs/measured")
    arguments = options.parse_args()
    rows = []
    for size in map(int, arguments.sizes.split(",")):
        for form in FORMS:
            rows.append(measure(form, size, arguments.seconds))
            print(rows[-1], flush=True)
    write(arguments.out, "connections", rows)


if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        serve(sys.argv[2])
    elif sys.argv[1:2] == ["crowd"]:
        hold(sys.argv[2], int(sys.argv[3]))
    else:
        main()
