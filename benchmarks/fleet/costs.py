"""What a fleet costs its hosts as gateways go from 3 to 200 at constant traffic.

It counts what the gateways wish: probes, words told, orders, and connections by how long hosts keep one. Its
figures show how costs grow, not what an operators' day would give."""

from benchmarks.fleet.clock import SECOND
from benchmarks.fleet.traffic import Traffic
from benchmarks.fleet.world import World


def play(gateways, hosts, rate, seconds):
    """The counts for each task."""
    world = World(gateways, hosts)
    Traffic(world, rate)
    world.clock.run(seconds * SECOND)
    return {what: count / world.counts["tasks"] for what, count in world.counts.items()}


def table(told):
    """Prints a row for each number of gateways."""
    print(
        "| gateways | probes a task | bytes told a task | orders a task | connections a task |"
        " loads a task | delivered |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for gateways in map(int, told.gateways.split(",")):
        each = play(gateways, told.hosts, told.rate, told.seconds)
        print(
            f"| {gateways} | {each['probes']:.3f} | {each['words']:.1f} | {each['orders']:.3f} | "
            f"{each['connections']:.3f} | {each['loads']:.3f} | {each['delivered']:.3f} |",
            flush=True,
        )
