"""What a fleet costs its hosts as gateways go from 3 to 200 at constant traffic.

It counts what the gateways ask for: probes, bytes to other gateways, load orders, and connections by how long
hosts leave one open. The figures show how costs grow, not what an operators' day would give.
"""

from __future__ import annotations

from collections.abc import Iterable

from benchmarks.fleet.clock import SECOND
from benchmarks.fleet.traffic import FleetTraffic
from benchmarks.fleet.world import FleetWorld

HEAD = (
    "| gateways | probes a task | bytes told a task | orders a task | connections a task |"
    " loads a task | delivered |\n"
    "| --- | --- | --- | --- | --- | --- | --- |"
)


def play(gateways: int, hosts: int, rate: int, seconds: int) -> dict[str, float]:
    """The counts for each request."""
    world = FleetWorld(gateways, hosts)
    FleetTraffic(world, rate)
    world.clock.run(seconds * SECOND)
    return {name: count / world.counts["tasks"] for name, count in world.counts.items()}


def print_table(gateway_counts: Iterable[int], *, hosts: int, rate: int, seconds: int) -> None:
    """Print a row for each number of gateways."""
    print(HEAD)
    for gateways in gateway_counts:
        costs = play(gateways, hosts, rate, seconds)
        print(
            f"| {gateways} | {costs['probes']:.3f} | {costs['words']:.1f} | {costs['orders']:.3f} | "
            f"{costs['connections']:.3f} | {costs['loads']:.3f} | {costs['delivered']:.3f} |",
            flush=True,
        )
