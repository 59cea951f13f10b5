"""Rounds of maintenance in one process, over many seeds and faults: what the truth at the hosts says.

    python -m benchmarks.rounds --seeds 1008 --out docs/measured/rounds

Beside it the same fleets and faults by two ways without a floor, and the time of rounds without faults
against the best order of all, for rounds small enough to try every order.
"""

import argparse
import itertools
import json
import statistics
import time
from collections import Counter
from multiprocessing import Pool

from gaproute.maintenance import capacity_floor
from gaproute.simulation.rounds import KINDS, play
from gaproute.simulation.rounds.baselines import FixedGroups, OneAtATime, best, runs_with

SECOND = 1_000_000_000
MADE = {"in steps": None, "one at a time": OneAtATime, "fixed groups": FixedGroups}
LOAD = 3 * SECOND  # of a copy in the mean
LONG = 60 * SECOND  # a host away in the runs that are timed: what a restart of a machine takes


def one(job):
    kind, seed, way = job
    told = {} if MADE[way] is None else {"made": runs_with(MADE[way])}
    run, breach = play(seed, kind, **told)
    ends = Counter(run.judge.ends.get(asked.name, (0, "open"))[1] for asked in run.rounds)
    return {
        "kind": kind,
        "seed": seed,
        "way": way,
        "breach": str(breach)[:400] if breach else "",
        "ends": dict(ends),
        "outs": run.judge.outs,
        "own": run.judge.own,
        "lost": run.judge.lost,
        "breaches": [
            {
                "row": list(each[2]),
                "floor": each[3],
                "there": each[4],
                "class": each[5],
                "what": list(each[6]),
                "things": each[7],
                "touch": each[8].split()[0],
            }
            for each in run.judge.breaches
        ],
    }


def timed(seed):
    """(hosts, ns of the run, ns of the best order), or None where the round was refused or is too large."""
    run, breach = play(seed, "none", outs=LONG, hosts=(5, 8))
    (asked,), (end,) = run.rounds, run.judge.ends.values() if run.judge.ends else (None,)
    if breach or end is None or end[1] != "ended" or len(asked.hosts) > 5:
        return None
    warm = {name: dict.fromkeys(copies, run.fleet[name].lanes) for name, copies in run.copies.items()}
    free = {name: host.slots - len(warm[name]) for name, host in run.fleet.items()}
    shortest = best(
        asked,
        run.fleet,
        warm,
        capacity_floor.need(asked, run.demand, run.zones),
        free,
        LOAD,
        itertools.permutations(asked.hosts),
    )
    return None if shortest is None else (len(asked.hosts), end[0], shortest)


def table(rows):
    lines = [
        "| way | faults | runs | hosts out | ended | refused | open | promised | beyond | own | checks |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for way in MADE:
        for kind in (*KINDS, "sum"):
            mine = [row for row in rows if row["way"] == way and kind in (row["kind"], "sum")]
            if not mine:
                continue
            ends = sum((Counter(row["ends"]) for row in mine), Counter())
            of_class = [
                sum(any(each["class"] == name for each in row["breaches"]) for row in mine)
                for name in ("promised", "beyond")
            ]
            outs, own = sum(row["outs"] for row in mine), sum(row["own"] > 0 for row in mine)
            checks = sum(bool(row["breach"]) for row in mine)
            lines.append(
                f"| {way} | {kind} | {len(mine)} | {outs} | {ends['ended']} | {ends['refused']} | "
                f"{ends['open']} | {of_class[0]} | {of_class[1]} | {own} | {checks} |"
            )
    return lines


def main():
    words = argparse.ArgumentParser()
    words.add_argument("--seeds", type=int, default=1008)
    words.add_argument("--others", type=int, default=240)
    words.add_argument("--timed", type=int, default=60)
    words.add_argument("--processes", type=int, default=8)
    words.add_argument(
        "--most", type=int, default=3600, help="s after which it tells what was done until then"
    )
    words.add_argument("--out", default="")
    told, began = words.parse_args(), time.time()
    jobs = [(KINDS[seed % len(KINDS)], seed, "in steps") for seed in range(told.seeds)]
    jobs = [
        (KINDS[seed % len(KINDS)], seed, way)
        for way in ("one at a time", "fixed groups")
        for seed in range(told.others)
    ] + jobs
    with Pool(told.processes) as pool:
        times = [each for each in pool.imap_unordered(timed, range(told.timed), 1) if each]
        rows = []
        for row in pool.imap_unordered(one, jobs, 4):
            rows.append(row)
            if time.time() - began > told.most:
                pool.terminate()
                break
    ratios = sorted(run / shortest for _, run, shortest in times)
    faults = Counter(
        f"{row['kind']}: {each['class']}, {each['things']} failed "
        f"({', '.join(each['what']) or 'nothing'}), at {each['touch']}"
        for row in rows
        if row["way"] == "in steps"
        for each in row["breaches"]
    )
    done = Counter(row["way"] for row in rows)
    lines = [
        f"{done['in steps']} seeds in steps, {done['one at a time']} of each other way, "
        f"{told.processes} processes, {time.time() - began:.0f} s",
        "",
        *table(rows),
        "",
        "Runs with at least one breach are counted, by class (see docs/maintenance.md). "
        "In steps, each breach:",
        "",
        *(f"- {count} times {name}" for name, count in sorted(faults.items())),
        "",
    ]
    if ratios:
        lines += [
            f"Time against the best order that sees all, {len(ratios)} rounds of up to 5 hosts, "
            f"{LONG // SECOND} s each away: median {statistics.median(ratios):.2f}, "
            f"most {ratios[-1]:.2f}, "
            f"{sum(ratio > 1.5 for ratio in ratios)} above 1.5.",
            "",
        ]
    print("\n".join(lines))
    if told.out:
        with open(f"{told.out}.md", "w") as file:
            file.write("# Rounds of maintenance, measured by `benchmarks/rounds.py`\n\n" + "\n".join(lines))
        with open(f"{told.out}.json", "w") as file:
            json.dump(
                {
                    "rows": [row for row in rows if row["breaches"] or row["breach"]],
                    "times": times,
                    "done": dict(done),
                },
                file,
                indent=1,
            )


if __name__ == "__main__":
    main()
