"""What answering ten gateways that learn costs a busy one: CPU, and the latency of its requests, in windows
with and without.

    python benchmarks/telling.py [--hosts 60] [--pairs 6] [--seconds 4] [--out docs/measured]

The gateway relays at half of what it can do, and knows 300 functions. In every second window ten learners
begin at once, take the whole snapshot, and go on asking for changes, as after a rolling restart of ten.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
from collections.abc import Mapping
from functools import partial
from pathlib import Path
from statistics import median
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.gateway_processes import read_status
from benchmarks.relay_processes import GatewayProcess, start_hosts
from benchmarks.rows import write
from gaproute.config import read_peers
from gaproute.loop import Loop
from gaproute.peers import ObservationClient

SECOND = 1_000_000_000
LEARNERS = 10
DECISIONS = "gaproute.decisions.routing:Gateway"
MS_PER_PERCENT = 10  # of CPU in a second, for each percent of a core
COLUMNS = {  # of the table, by the figures of a run
    "CPU, ms a task": "cpu_ms",
    "p50, ms": "p50_ms",
    "p99, ms": "p99_ms",
    "telling, % of a core": "telling",
    "facts told": "facts",
    "asks put off": "put_off",
    "snapshots whole": "whole",
}

Figures = dict[str, Any]


class IgnoredObservations:
    """Observations and event log of a learner, of which only matters that the bytes came and were read."""

    def rejection_counts(self) -> Mapping[str, int]:
        """Nothing is rejected."""
        return {}

    def merge(self, observations: object) -> None:
        """Nothing is stored."""

    def event(self, level: str, name: str, **fields: object) -> None:
        """Not logged."""


def learn(where: str, seconds: float) -> None:
    """A process with learners for a time; it prints how many got the whole snapshot."""
    loop, peers = Loop(), read_peers("peers", f"peer giver {where}")
    complete: list[int] = []
    for number in range(LEARNERS):
        ignored: Any = IgnoredObservations()
        finished = partial(complete.append, number)
        ObservationClient(loop, peers, ignored, lambda subjects: 0, finished, ignored)
    loop.call_later(round(seconds * SECOND), loop.stop)
    loop.run()
    print(json.dumps({"whole": len(complete)}))


class MeasuredGateway:
    """A busy gateway with an address for its peers and one for operators."""

    def __init__(self, hosts: list[str], folder: str) -> None:
        self._peers_address, self._operators_path = f"unix:{folder}/p", f"{folder}/o"
        self._process = GatewayProcess(
            hosts,
            DECISIONS,
            folder,
            f"listen peers {self._peers_address}",
            f"listen operator unix:{self._operators_path}",
        )
        self._process.addresses = self._process.addresses[:1]
        rates = sorted(self._process.measure(2)["rate"] for _ in range(3))
        self.rate: float = rates[1] / 2  # requests a second

    def window(self, seconds: float, seed: int, *, learners: bool) -> Figures:
        """The figures of one window."""
        learning = self._start_learners(seconds) if learners else None
        before = self._transfers()
        figures = self._process.measure(seconds, self.rate, seed)
        after = self._transfers()
        figures["telling"] = (after["cpu_ms"] - before["cpu_ms"]) / seconds / MS_PER_PERCENT
        figures["facts"] = after["facts"] - before["facts"]
        figures["put_off"] = after["put_off"] - before["put_off"]
        figures["whole"] = json.loads(learning.communicate()[0])["whole"] if learning else 0
        return figures

    def end(self) -> None:
        """Shut the gateway down."""
        self._process.end()

    def _start_learners(self, seconds: float) -> subprocess.Popen[bytes]:
        command = [sys.executable, __file__, "learn", self._peers_address, str(seconds)]
        return subprocess.Popen(command, stdout=subprocess.PIPE)

    def _transfers(self) -> Figures:
        """What the gateway counted of its answers to learners."""
        transfers: Figures = read_status(self._operators_path)["telling"]
        return transfers


def make_row(runs: list[Figures], *, learners: bool, rate: float) -> Figures:
    """The medians of the windows with or without learners."""
    medians = {name: round(median(run[figure] for run in runs), 3) for name, figure in COLUMNS.items()}
    return {
        "learners": LEARNERS if learners else 0,
        "tasks/s": round(rate),
        **medians,
        "p99 of each": " ".join(f"{run['p99_ms']:.1f}" for run in runs),
    }


def main() -> None:
    """Run the command line."""
    options = argparse.ArgumentParser()
    options.add_argument("--hosts", type=int, default=60)
    options.add_argument("--pairs", type=int, default=6)
    options.add_argument("--seconds", type=float, default=4)
    options.add_argument("--out", default="docs/measured")
    arguments = options.parse_args()
    windows: dict[bool, list[Figures]] = {False: [], True: []}
    with start_hosts(arguments.hosts) as hosts, tempfile.TemporaryDirectory() as folder:
        gateway = MeasuredGateway(hosts.addresses, folder)
        for pair in range(arguments.pairs):
            for learners in (False, True) if pair % 2 else (True, False):
                windows[learners].append(gateway.window(arguments.seconds, pair + 1, learners=learners))
        gateway.end()
    rows = []
    for learners, runs in windows.items():
        rows.append(make_row(runs, learners=learners, rate=gateway.rate))
        print(rows[-1], flush=True)
    write(arguments.out, "telling", rows)


if __name__ == "__main__":
    if sys.argv[1:2] == ["learn"]:
        learn(sys.argv[2], float(sys.argv[3]))
    else:
        main()
