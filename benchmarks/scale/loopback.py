"""Hollow gateways beside real ones on loopback, in real time.

    python -m benchmarks.scale.loopback [--rungs 60,125,250,1000] [--real 10] [--each 20] [--seconds 900]

Each rung: `--real` processes of `gaproute serve`, three of them the Raft group, and hollow gateways, `--each`
to a process, which all know one another by one peers file. A rung is void where the parent or a process of
hollow gateways ran late, or where the median gateway waited for a core (bounds below): it measured the
machine then. The ladder stops at the limits of `limits.py` and at a void rung, as a larger one cannot keep
time either. Results are stored in docs/measured/scale/ladders/ladder-loopback.json.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from benchmarks.scale import climbing
from benchmarks.scale.climbing import PlayedRung
from benchmarks.scale.limits import MEGABYTE, LimitReachedError, Limits
from benchmarks.scale.loopback_fleet import LoopbackFleet, Process
from benchmarks.scale.measurement import LADDERS
from gaproute.cluster.lateness import MAX_CPU_WAIT

MAX_LATE = 150  # ms that a process may be late, as the harness's scripts allow
# Seconds: leases are granted half a minute after the Raft group was founded, and renewed at half of theirs.
SETTLE, CALM = 45, 15
LONG = 90  # seconds until which a change is waited for
POLL_INTERVAL = 0.5  # seconds
MILLI = 1_000_000
DRAINED_HOST = "host-00007"
DEAD, ALIVE = "dead", "alive"
COUNTED_PARTS = ("membership", "demand", "leases")


class LoopbackRung:
    """Plays one size; `figures` fills as it goes, `void` with reasons why they do not count."""

    def __init__(self, size: int, arguments: argparse.Namespace, limits: Limits) -> None:
        self.size, self.limits = size, limits
        self.figures: dict[str, Any] = {}
        self.void: list[str] = []
        self.fleet = LoopbackFleet(
            size, real=arguments.real, each=arguments.each, seed=arguments.seed, hosts=arguments.hosts
        )

    def play(self) -> None:
        """Start the fleet and measure it. Errors: `LimitReachedError`."""
        with self.fleet as fleet:
            self.limits.check(0, len(fleet.real) + len(fleet.hollow.ranges))
            fleet.start()
            self.wait(SETTLE)
            fleet.lateness()  # what was late at the start counts for nothing
            self.measure_calm()
            self.check_lateness("calm")
            self.measure_change()
            self.measure_death("hollow", fleet.hollow.kill_last)
            self.measure_death("real", fleet.kill_real)
            self.measure_return()
            self.check_lateness("changes")
            self.figures["errors"] = sum(answer["errors"] for answer in fleet.hollow.snapshots())

    def wait(self, seconds: float) -> None:
        """Wait, then check the limits. Errors: `LimitReachedError`."""
        self.fleet.wait(seconds)
        processes = self.fleet.processes()
        self.limits.check(self.fleet.memory(processes) / MEGABYTE, len(processes))

    def measure_calm(self) -> None:
        """Nothing happens: messages, bytes, CPU, memory, of hollow gateways and of real ones."""
        fleet = self.fleet
        before, cpu, waited = fleet.hollow.totals(), fleet.cpu(), fleet.waited()
        began = time.monotonic()
        self.wait(CALM)
        span = time.monotonic() - began
        after, cpu_after, waited_after = fleet.hollow.totals(), fleet.cpu(), fleet.waited()
        hollow = after["gateways"]
        self.figures |= _part_figures(before, after, span)
        spent = {pid: cpu_after[pid] - cpu[pid] for pid in cpu_after}
        self.figures |= self._cost_figures("hollow", fleet.hollow.processes(), spent, span, hollow)
        self.figures |= self._cost_figures("real", fleet.real_processes(), spent, span, len(fleet.real))
        self._check_waited(sorted((waited_after[pid] - waited[pid]) / span for pid in waited))

    def _cost_figures(
        self, kind: str, processes: Sequence[Process], cpu: Mapping[int, float], span: float, count: int
    ) -> dict[str, float]:
        """CPU and memory of each of `count` gateways in these processes."""
        spent = sum(cpu[process.pid] for process in processes)
        return {
            f"{kind}_cpu_percent": 100 * spent / span / count,
            f"{kind}_memory_mb": self.fleet.memory(processes) / MEGABYTE / count,
        }

    def _check_waited(self, shares: Sequence[float]) -> None:
        """Void the rung where the median process was ready without a core for too much of the span."""
        share = self.figures["waited_share"] = shares[len(shares) // 2]
        if share > MAX_CPU_WAIT:
            self.void.append(
                f"gateways were ready without a core for {share:.0%} of the calm span, "
                f"{MAX_CPU_WAIT:.0%} are allowed"
            )

    def check_lateness(self, span: str) -> None:
        """Void the rung where anybody ran too late."""
        for who, late in self.fleet.lateness().items():
            self.figures[f"{span}_{who}_late_ms"] = late / MILLI
            if late > MAX_LATE * MILLI:
                self.void.append(
                    f"{who} ran up to {late / MILLI:.0f} ms late in the {span}, {MAX_LATE} allowed"
                )

    def wait_until(self, condition: Callable[[], float | None]) -> float | None:
        """What the condition gives as soon as it gives something, None where it did not in time."""
        began = time.monotonic()
        while not (found := condition()):
            if time.monotonic() - began > LONG:
                return None
            self.wait(POLL_INTERVAL)
        return found

    def measure_change(self) -> None:
        """A host drains: seconds until the last real gateway has logged it."""
        began = time.time()
        self.fleet.drain(DRAINED_HOST)
        known_at = self.wait_until(lambda: self.fleet.last_logged("host_changed", DRAINED_HOST, "draining"))
        self.figures["change_known_real_s"] = _since(began, known_at)

    def measure_death(self, kind: str, kill: Callable[[], str]) -> None:
        """A gateway is killed: seconds until all hollow ones, and all real ones, hold it dead."""
        began, name = time.time(), kill()
        hollow = self.wait_until(lambda: self.fleet.hollow.last_noticed(name, DEAD))
        real = self.wait_until(lambda: self.fleet.last_logged("member_changed", name, DEAD))
        self.figures[f"{kind}_death_known_hollow_s"] = _since(began, hollow)
        self.figures[f"{kind}_death_known_real_s"] = _since(began, real)

    def measure_return(self) -> None:
        """The hollow gateway that was killed is back, empty: seconds until all hold it alive."""
        began, name = time.time(), self.fleet.hollow.start_killed()
        hollow = self.wait_until(lambda: self.fleet.hollow.last_noticed(name, ALIVE, began))
        real = self.wait_until(lambda: self.fleet.last_logged("member_changed", name, ALIVE, began))
        self.figures["back_known_hollow_s"] = _since(began, hollow)
        self.figures["back_known_real_s"] = _since(began, real)


def _since(began: float, at: float | None) -> float | None:
    return at and at - began


def _part_figures(before: Mapping[str, int], after: Mapping[str, int], span: float) -> dict[str, float]:
    """Messages, bytes and entries of the parts of a hollow gateway."""
    hollow = after["gateways"]
    figures: dict[str, float] = {}
    for part in COUNTED_PARTS:
        for counter in ("messages", "bytes"):
            name = f"{part}.{counter}"
            if after.get(name):
                figures[f"{part}_{counter}_per_s"] = (after[name] - before[name]) / span / hollow
        figures[f"{part}_entries"] = after[f"{part}.entries"] / hollow
    figures["hosts_entries"] = after["hosts.entries"] / hollow
    figures["leases_held"] = after["leases.held"] / hollow
    figures["least_up"] = after["least_up"]
    return figures


def play(size: int, arguments: argparse.Namespace, limits: Limits) -> PlayedRung:
    """One rung."""
    rung, stopped = LoopbackRung(size, arguments, limits), ""
    try:
        rung.play()
    except LimitReachedError as reason:
        stopped = str(reason)
    if rung.void:
        stopped = "void: " + "; ".join(rung.void)
    processes = arguments.real + len(rung.fleet.hollow.ranges)
    more = {"real": arguments.real, "processes": processes, "void": rung.void}
    return PlayedRung(rung.figures, stopped, more)


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale.loopback", description=__doc__)
    climbing.add_arguments(parser, rungs="60,125,250,1000", seconds=900, name="loopback")
    parser.add_argument("--real", type=int, default=10, help="processes of `gaproute serve`, 3 at least")
    parser.add_argument("--each", type=int, default=20, help="hollow gateways to a process")
    parser.add_argument(
        "--hosts", type=int, default=60, help="all gateways of a process parse a list at once"
    )
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    limits, conditions = climbing.limits_of(arguments), {"clock": "real", "seed": arguments.seed}
    file = climbing.LadderFile(LADDERS, arguments.name, limits, conditions, {"late_ms": MAX_LATE})
    climbing.climb(climbing.sizes_of(arguments), lambda size: play(size, arguments, limits), file.keep)


if __name__ == "__main__":
    main()
