"""A long hunt over seeds: keepers and holders under all faults; what breaks is made small and kept.

    python benchmarks/hunt.py [--seeds 0-999] [--seconds 60] [--keepers 3] [--kind common|tight|forgotten]
                              [--jobs 1] [--out found]

Plays seeds until all are played or the time is over; says how many a minute. Each breach is written to the
folder `--out` as a file with its last events and its plan made small, which `kept` of
`gaproute.simulation.fault_schedule` reads back for a test to keep. Ends with 1 where anything broke.
"""

import argparse
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from gaproute.simulation import shrink
from gaproute.simulation.raft_group import SPANS, plan, play

PLAYS = 200  # to make one breach small


def hunt(seeds, told):
    end, played, steps, found = time.monotonic() + told.seconds, 0, 0, {}
    for seed in seeds:
        if time.monotonic() > end:
            break
        world, breach = play(plan(seed, told.keepers, told.kind), told.keepers, told.kind)
        played, steps = played + 1, steps + world.step
        if breach is None:
            continue
        found[breach.name] = found.get(breach.name, 0) + 1
        print(breach, flush=True)
        if found[breach.name] == 1:  # one of each name is made small
            small, least = shrink(
                lambda plan: play(plan, told.keepers, told.kind)[1], breach.plan, breach.name, PLAYS
            )
            Path(told.out).mkdir(parents=True, exist_ok=True)
            kept = Path(told.out, f"{told.kind}-{told.keepers}-{seed}.txt")
            kept.write_text((least or breach).report() + "\n")
            print(f"  from {len(breach.plan.faults)} faults to {len(small.faults)}", flush=True)
    return played, steps, found


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--seeds", default="0-999")
    arguments.add_argument("--seconds", type=float, default=60)
    arguments.add_argument("--keepers", type=int, default=3)
    arguments.add_argument("--kind", choices=SPANS, default="common")
    arguments.add_argument("--jobs", type=int, default=1)
    arguments.add_argument("--out", default="found")
    told = arguments.parse_args()
    first, _, last = told.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    if told.jobs > 1:  # each plays a run of seeds of its own, as a process
        share = -(-len(seeds) // told.jobs)
        words = [
            sys.executable,
            __file__,
            "--seconds",
            str(told.seconds),
            "--keepers",
            str(told.keepers),
            "--kind",
            told.kind,
            "--out",
            told.out,
        ]
        parts = [seeds[at : at + share] for at in range(0, len(seeds), share)]
        started = [subprocess.Popen([*words, "--seeds", f"{part[0]}-{part[-1]}"]) for part in parts]
        return max(one.wait() for one in started)
    began = time.monotonic()
    played, steps, found = hunt(seeds, told)
    took = time.monotonic() - began
    print(
        f"{told.kind}, {told.keepers} keepers: {played} seeds in {took:.1f} s, "
        f"{60 * played / took:.0f} a minute ({60 * played / time.process_time():.0f} by CPU), "
        f"{steps / max(1, played):.0f} steps a seed; broken: {found or 'nothing'}",
        flush=True,
    )
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
