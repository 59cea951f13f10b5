"""Gossip at scale, simulated: bytes and CPU a gateway, and how far figures of the fleet are from true.

    python benchmarks/gossip.py [--sizes 3,20,60,230,1000] [--seeds 1,2,3] [--jobs 4] [--out docs/measured]

Gateways on a simulated clock and network; decisions and bytes are the product's own. Each gateway takes 15
requests a second on average (some a thirtieth, some ten times as many) of 100 functions, the most popular
with a fifth of all, and each takes 0.3 s at one of 120 hosts; which are busy moves within tens of seconds.
Cases: nothing lost, 5% and 20% of the messages lost, three in ten ways between two gateways cut for good, and
one in twenty gateways that claims a million requests in flight on each of 64 hosts.

Figures, after 20 s, at ten gateways every 5 s:
bytes/s   sent by one gateway, with IP and UDP headers; as many come in. busiest: in, of the one that got most
CPU       of sending, receiving and their bytes, % of a core a gateway; read: us to read requests of all hosts
hands     mean error of a host's requests in flight over the fleet against their mean of the last 5 s, in % of
          the mean host; `alone`: by own requests times the gateways; `now`: by all true counts at that moment
age       of the requests in flight that others sent, s; tellers: from how many gateways a reader has them
demand    mean error of the ten most popular functions' arrivals a second, %; spread: estimate over truth
warm      instances used within 60 s that a reader can name, %; false: named, but never there
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from concurrent.futures import Future, ProcessPoolExecutor
from pathlib import Path
from statistics import mean
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.gossip_fleet import CASES, GossipFleet
from benchmarks.gossip_readings import read_at
from benchmarks.gossip_traffic import SECOND
from benchmarks.rows import median_with_range, write

LENGTH, FIRST, INTERVAL = 45, 20, 5  # s: of a play, until figures are counted, and between two readings
READERS = 10  # gateways at which is read

Figures = dict[str, float]


def play(size: int, case: str, seed: int) -> Figures:
    """The figures of one play. Errors: AssertionError where an invariant of the gossip is violated."""
    fleet = GossipFleet(size, case, seed)
    fleet.run(FIRST * SECOND)
    fleet.reset_counts()
    honest = [name for name in fleet.nodes if name not in fleet.liars]
    readings: list[Figures] = []
    for at in range(FIRST + INTERVAL, LENGTH + 1, INTERVAL):
        fleet.run(at * SECOND)
        readers = fleet.random.sample(honest, min(READERS, len(honest)))
        readings += [read_at(fleet, name) for name in readers]
    violations = fleet.violations()
    assert not violations, violations[:3]
    span = LENGTH - FIRST
    costs = {
        "words/s": fleet.messages_sent / span / size,
        "bytes/s": fleet.bytes_sent / span / size,
        "busiest": max(fleet.bytes_received.values()) / span,
        "CPU, %": 100 * fleet.cpu_time / span / size,
    }
    return costs | {name: mean([each[name] for each in readings]) for name in readings[0]}


def play_all(sizes: Sequence[int], seeds: Sequence[int], *, jobs: int, folder: str) -> None:
    """Play all sizes and cases, `jobs` plays at once; prints and writes each row when its plays are over."""
    cases = [(size, case) for size in sizes for case in CASES]
    rows: list[dict[str, Any]] = []
    with ProcessPoolExecutor(jobs) as pool:
        plays: dict[tuple[int, str, int], Future[Figures]] = {
            (size, case, seed): pool.submit(play, size, case, seed) for size, case in cases for seed in seeds
        }
        for size, case in cases:
            runs = [plays[size, case, seed].result() for seed in seeds]
            figures = {name: median_with_range([run[name] for run in runs]) for name in runs[0]}
            rows.append({"gateways": size, "faults": case} | figures)
            print(rows[-1], flush=True)
            write(folder, "gossip", rows, plays=len(seeds))


def main() -> None:
    """Run the command line."""
    options = argparse.ArgumentParser()
    options.add_argument("--sizes", default="3,20,60,230,1000")
    options.add_argument("--seeds", default="1,2,3")
    options.add_argument("--jobs", type=int, default=4)
    options.add_argument("--out", default="docs/measured")
    arguments = options.parse_args()
    sizes = [int(size) for size in arguments.sizes.split(",")]
    seeds = [int(seed) for seed in arguments.seeds.split(",")]
    play_all(sizes, seeds, jobs=arguments.jobs, folder=arguments.out)


if __name__ == "__main__":
    main()
