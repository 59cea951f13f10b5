"""A reconnect storm: half of all connections drop and come back within a second, each with a request.

    python benchmarks/storm.py [--connections 2000,6000,10000] [--runs 3] [--out docs/measured]

One gateway with the module, ten hosts that answer at once, connections held by the load generator. Quiet
clients that stayed go on with orders (non-idempotent) at 50 a second. Measured for 5 s without and with a
storm at the start: their time to the answer, what became of the storm's requests, and CPU; once with the
admission as it is, once with all that waits in one queue, in the order of coming, accepts first.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from statistics import median
from types import TracebackType
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.gateway_processes import wait_started
from benchmarks.processor_time import cpu_seconds
from benchmarks.relay_processes import start_hosts
from benchmarks.rows import write
from gaproute.load import LoadResult, read_result
from gaproute.load.results import TrafficResult

COMMAND = Path(__file__).resolve()
ROOT = COMMAND.parent.parent
AS_IT_IS, ONE_LINE = "as it is", "one line"
HOSTS, ORDERS, CHECKS = 10, 20, 60  # hosts, and functions of each request class
CONNECTIONS_A_SECOND = 3000  # opened by the load generator
WARM_UP_CONNECTIONS, WARM_UP_SEED = 100, 9
PARKED, QUEUED = 1, 2  # states of an idle connection
CONFIGURATION = """
name g
listen kserve 127.0.0.1:0
track check pure contract 1200ms limit 5s earnings 1
track order effectful contract 600ms limit 4s earnings 3
copies keep 10s orders yes free 6 share 0.3 window 10s
clients connections 19000 per-address 2000
"""
LOAD = """
target {where}
length 5s
hold {count} over {over}s addresses 100 again 200ms
traffic orders rate 50 path {orders} share 0.2 patience 8s
traffic checks rate 100 path {checks} share 0.8 patience 8s
{storm}
"""
STORM_LINE = "storm at 50ms share 0.5 back 1s"

Row = dict[str, Any]


def serve(file: str, admission: str) -> None:
    """A process with the gateway, as it is or with all that waits in one queue."""
    if admission == ONE_LINE:
        _use_one_queue()
    from gaproute.cli.main import main as gateway

    gateway(["serve", file, "--seed", "1"])


def _use_one_queue() -> None:
    from gaproute.connections import AcceptedConnections
    from gaproute.decisions.admission.admission import Admission, AdmissionQueue

    def enqueue_as_new(connections: Any, events: Sequence[tuple[int, int]], seen: int) -> None:
        for fd, _ in events:
            if connections.states[fd] == PARKED:
                connections.states[fd] = QUEUED
                connections.new_queue.append((fd, seen))

    def next_queue(admission: Any, returning: int, new: int, *, has_arriving: bool) -> AdmissionQueue | None:
        if has_arriving:
            return AdmissionQueue.ARRIVING
        return AdmissionQueue.NEW if new else None

    replaced: Any = AcceptedConnections
    replaced.enqueue_events = enqueue_as_new
    replaced = Admission
    replaced.next_queue = next_queue


class Gateway:
    """A gateway in a process of its own; `address` is that of its clients. A context manager that ends it."""

    def __init__(self, hosts: Sequence[str], admission: str, folder: str) -> None:
        file = Path(folder, "g.conf")
        lines = [f"host h{number} {where} capacity 4" for number, where in enumerate(hosts)]
        lines += [f"model o{number} track order lanes 4" for number in range(ORDERS)]
        lines += [f"model c{number} track check lanes 4" for number in range(CHECKS)]
        file.write_text(CONFIGURATION + "\n".join(lines) + "\n")
        self._process = subprocess.Popen(
            [sys.executable, str(COMMAND), "serve", str(file), admission], stderr=subprocess.PIPE, cwd=ROOT
        )
        self.address = wait_started(self._process)[0]

    def __enter__(self) -> Gateway:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        assert self._process.stderr is not None
        self._process.terminate()
        self._process.wait()
        self._process.stderr.close()

    def cpu(self) -> float:
        """CPU time of the process, s."""
        return cpu_seconds(self._process.pid)


def play(where: str, folder: str, connections: int, *, storm: bool, seed: int) -> LoadResult:
    """The result of one load against the gateway."""
    script, out = Path(folder, "load"), Path(folder, "out")
    script.write_text(
        LOAD.format(
            where=where,
            count=connections,
            over=max(1, connections // CONNECTIONS_A_SECOND),
            storm=STORM_LINE if storm else "",
            orders=",".join(f"/v2/models/o{number}/infer" for number in range(ORDERS)),
            checks=",".join(f"/v2/models/c{number}/infer" for number in range(CHECKS)),
        )
    )
    arguments = ["load", str(script), "--seed", str(seed), "--out", str(out), "--json"]
    subprocess.run([sys.executable, "-m", "gaproute", *arguments], capture_output=True, cwd=ROOT)
    return read_result(out)


def measure(admission: str, hosts: Sequence[str], connections: int, runs: int) -> Row:
    """The medians of some runs."""
    with tempfile.TemporaryDirectory() as folder, Gateway(hosts, admission, folder) as gateway:
        play(gateway.address, folder, WARM_UP_CONNECTIONS, storm=False, seed=WARM_UP_SEED)
        found = [_run(gateway, folder, connections, seed) for seed in range(runs)]
    medians = {name: round(median(run[name] for run in found), 1) for name in found[0]}
    return {"admission": admission, "connections": connections} | medians


def _run(gateway: Gateway, folder: str, connections: int, seed: int) -> Row:
    """Without a storm, then with one."""
    calm = play(gateway.address, folder, connections, storm=False, seed=seed).traffic["orders"]
    before = gateway.cpu()
    traffic = play(gateway.address, folder, connections, storm=True, seed=seed).traffic
    quiet = traffic["orders"]
    not_well = sum(
        count for outcome, count in quiet.outcomes.items() if outcome not in ("delivered", "given up")
    )
    return {
        "calm p99": calm.summary()["p99"],
        "storm p99": quiet.summary()["p99"],
        "quiet, not well": not_well,
        **_storm_figures([result for name, result in traffic.items() if name.endswith("storm")]),
        "CPU, s": gateway.cpu() - before,
    }


def _storm_figures(results: Sequence[TrafficResult]) -> Row:
    """Of the requests with which connections came back."""
    outcomes: Counter[str] = Counter()
    for result in results:
        outcomes.update(result.outcomes)
    answered = {outcome: outcomes[outcome] for outcome in ("delivered", "declined", "scrapped")}
    return {
        "storm's tasks": outcomes.total(),
        **answered,
        "no answer": outcomes.total() - sum(answered.values()),
        "storm's p99, ms": max(result.summary()["p99"] for result in results),
    }


def main() -> None:
    """Run the command line."""
    options = argparse.ArgumentParser()
    options.add_argument("--connections", default="2000,6000,10000")
    options.add_argument("--runs", type=int, default=3)
    options.add_argument("--out", default="docs/measured")
    arguments = options.parse_args()
    rows = []
    with start_hosts(HOSTS) as hosts:
        for count in map(int, arguments.connections.split(",")):
            for admission in (ONE_LINE, AS_IT_IS):
                rows.append(measure(admission, hosts.addresses, count, arguments.runs))
                print(rows[-1], flush=True)
    write(arguments.out, "storm", rows)


if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        serve(sys.argv[2], sys.argv[3])
    else:
        main()
