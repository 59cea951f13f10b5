"""One play in which it is measured how evenly a fleet's gateways load its hosts, and tables of many plays."""

from concurrent.futures import ProcessPoolExecutor
from itertools import product
from statistics import mean

from benchmarks.fleet.clock import SECOND
from benchmarks.fleet.faults import FAULTS, KINDS, SIZES, THIRD, WEIGHTS, chance_of, none
from benchmarks.fleet.measures import Watch
from benchmarks.fleet.traffic import Traffic
from benchmarks.fleet.variants import VARIANTS
from benchmarks.fleet.world import World
from benchmarks.rows import table, write

SHOWN = (
    "cv",
    "by chance",
    "low",
    "high",
    "lasting",
    "peak",
    "idle",
    "herd",
    "herd p99",
    "herd event",
    "p50",
    "p99",
    "late",
    "loads",
    "CPU",
)


def play(variant, fault, gateways, hosts, rate, seconds, seed, since=2):
    """The figures of one play (`measures.Watch.sums`)."""
    weights = WEIGHTS[fault](gateways) if fault in WEIGHTS else None
    world = World(gateways, hosts, VARIANTS[variant], SIZES.get(fault, (1.0,)))
    watch = Watch(world, seconds * SECOND, since * SECOND)
    FAULTS.get(fault, none)(world, watch, chance_of(seed))
    Traffic(world, rate, seed, weights, fault in THIRD)
    world.clock.run(seconds * SECOND)
    return watch.sums()


def plays(told):
    """A row for each variant, fault and rate: the means over the seeds, and all plays."""
    wanted = list(
        product(
            told.variants.split(","), told.faults.split(","), [int(rate) for rate in told.rates.split(",")]
        )
    )
    seeds = [int(seed) for seed in told.seeds.split(",")]
    with ProcessPoolExecutor(told.jobs) as pool:
        asked = {
            (what, seed): pool.submit(
                play,
                what[0],
                what[1],
                int(told.gateways),
                told.hosts,
                what[2],
                told.seconds,
                seed,
                told.since,
            )
            for what in wanted
            for seed in seeds
        }
        rows, each = [], []
        for what in wanted:
            of = {seed: asked[what, seed].result() for seed in seeds}
            head = dict(zip(("variant", "fault", "rate"), what, strict=True))
            rows.append(head | {name: round(mean(sums[name] for sums in of.values()), 3) for name in SHOWN})
            each += [
                head | {"seed": seed} | {name: round(value, 4) for name, value in sums.items()}
                for seed, sums in of.items()
            ]
            print(rows[-1], flush=True)
    return rows, each


def show(told):
    rows, each = plays(told)
    print(table(rows))
    if told.out:
        write(told.out, told.name, rows, plays=each)


__all__ = ["KINDS", "play", "show"]
