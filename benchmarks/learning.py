"""What a restarted gateway gains by what it is told: the same day without, by peers, by its own disk, by
both.

    python benchmarks/learning.py [--seeds 1,2,3] [--hosts 20] [--at-once 2] [--out docs/measured]
    python benchmarks/learning.py --wrong         peers that tell wrong copies: none, 20, 50 and 100% of them

Four gateways before the hosts; one of them, or all in turn, are killed and start again half a second later.
From the hosts' taps: the share of a gateway's tasks that found a copy standing, in its first two and ten
seconds beside the eight before the first kill, and the time until two seconds in a row had 95% of that share;
store fetches in the 30 s after the first kill; from the clients' taps the service of the restarted gateways'
first ten seconds; from the gateways' logs the CPU that telling and remembering took.
"""

import argparse
import itertools
import json
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rows import write
from trial_command import play_trial

from gaproute.standins.tap import read_tap

SECOND = 1_000_000_000
KILL = 24  # by then the store is calm: copies stand where the gateways want them
SCRIPT = """
day length {length}s rate {rate} hosts {hosts} gateways 4 models {models} retries 0 impatient 0 {told}
kind std share 1 cores 4 speed 1 copies 10
track fault-check pure contract 1200ms limit 5s earnings 3
track repair-order effectful contract 600ms limit 4s earnings 3
traffic fault-check share 0.8 work 100ms lanes 4 start 300ms
traffic repair-order share 0.2 work 80ms lanes 4 start 300ms
store pace 40 limit 80 thrash 0.2
host-life keep 10s cold-share 0.17 cold-time 12s fall 2.5 tip 1500ms idle-close 5s
copies keep 10s orders yes free 6 share 0.3 window 10s
relays limit 4 twins yes cancel yes
reports answer
cold share 0.17 time 12s
{troubles}
"""


AFTER = 30 * SECOND  # from the first kill, in which fetches are counted
MODES = {"nothing": (False, False), "disk": (False, True), "peers": (True, False), "both": (True, True)}
LIARS = {
    "0%": "gaproute.decisions.routing:Gateway",
    "20%": "gaproute.standins.false_reports:ReportsFalselyAtTimes",
    "50%": "gaproute.standins.false_reports:ReportsFalselyByHalf",
    "100%": "gaproute.standins.false_reports:ReportsFalselyAlways",
}


def play(hosts, mode, seed, struck, decisions=LIARS["0%"]):
    troubles = "\n".join(
        f"trouble gateway-kill at {KILL + 2 * place}s back 500ms gateway {place}" for place in range(struck)
    )
    peers, memory = ("yes" if each else "no" for each in MODES[mode])
    how = f"peers {peers} memory {memory}"
    with tempfile.TemporaryDirectory(prefix="gl-") as folder:
        script, out = Path(folder, "day.script"), Path(folder, "o")
        script.write_text(
            SCRIPT.format(
                length=KILL + 30, rate=8 * hosts, hosts=hosts, models=3 * hosts, troubles=troubles, told=how
            )
        )
        result = play_trial(script, seed=seed, decisions=decisions, out=out)
        ran = [event for path in out.glob("host-*.tap") for event in read_tap(path) if event["what"] == "ran"]
        run = read_tap(out / "run.tap")
        logs = [
            json.loads(line)
            for path in out.glob("g*.log")
            for line in path.read_text().splitlines()
            if line.startswith("{")
        ]
        fetches = [event["at"] for event in read_tap(out / "store.tap") if event["what"] == "fetch"]
        ends = [
            event
            for event in read_tap(out / "clients.tap")
            if event["what"] in ("answer", "broken", "overdue")
        ]
    kills = {event["gateway"]: event["at"] for event in run if event["what"] == "killed"}
    starts = {event["gateway"]: event["at"] for event in run if event["what"] == "started"}
    first = min(kills.values())

    def warm(gateway, begin, end):
        found = [
            event["found"] == 1
            for event in ran
            if event["mark"].startswith(f"g{gateway}-") and begin <= event["at"] < end
        ]
        return sum(found) / max(1, len(found))

    def mean(values):
        values = list(values)
        return sum(values) / len(values)

    soon = [
        event
        for event in ends
        if event["gateway"] in starts
        and kills.get(event["gateway"]) is not None
        and 0 <= event["asked"] - starts[event["gateway"]] < 10 * SECOND
    ]
    good = [
        event["what"] == "answer"
        and event["outcome"] == "delivered"
        and event["at"] - event["asked"] < (1200 if event["track"] == "fault-check" else 600) * 1_000_000
        for event in soon
    ]

    def recovery(gateway):
        """Seconds until two seconds in a row had 95% of the old share."""
        old = warm(gateway, first - 8 * SECOND, first)
        for tenth in range(0, 150, 5):
            begin = starts[gateway] + tenth * SECOND // 10
            if warm(gateway, begin, begin + 2 * SECOND) >= 0.95 * old:
                return tenth / 10
        return 15.0

    stopped = [event for event in logs if event.get("event") == "stopped"]
    return {
        "before": mean(warm(each, first - 8 * SECOND, first) for each in kills),
        "2 s": mean(warm(each, starts[each], starts[each] + 2 * SECOND) for each in kills),
        "10 s": mean(warm(each, starts[each], starts[each] + 10 * SECOND) for each in kills),
        "recovery, s": mean(recovery(each) for each in kills),
        "fetches/s before": sum(first - 8 * SECOND <= at < first for at in fetches) / 8,
        "fetches in 30 s": sum(first <= at < first + AFTER for at in fetches),
        "service": sum(good) / max(1, len(good)),
        "broken": len(result["broken"]),
        "telling, % of a core": 100 * max([event["observation_cpu_share"] for event in stopped], default=0),
    }


def row_of(head, runs):
    row = dict(head)
    for name in runs[0]:
        if name not in ("broken", "all"):
            row[name] = round(median(run[name] for run in runs), 3)
    return row | {
        "fetches, each": " ".join(str(run["fetches in 30 s"]) for run in runs),
        "broken": sum(run["broken"] for run in runs),
    }


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--seeds", default="1,2,3")
    arguments.add_argument("--hosts", type=int, default=20)
    arguments.add_argument("--modes", default=",".join(MODES))
    arguments.add_argument("--struck", default="1,4")
    arguments.add_argument("--wrong", action="store_true")
    arguments.add_argument("--at-once", type=int, default=2)
    arguments.add_argument("--out", default="docs/measured")
    told = arguments.parse_args()
    seeds = [int(seed) for seed in told.seeds.split(",")]
    if told.wrong:
        days = [
            ({"restarted": "4 of 4", "told": "nothing"}, (told.hosts, "nothing", 4, LIARS["0%"])),
            *(
                ({"restarted": "4 of 4", "told": f"{wrong} wrong"}, (told.hosts, "peers", 4, LIARS[wrong]))
                for wrong in LIARS
            ),
        ]
    else:
        days = [
            ({"restarted": f"{struck} of 4", "told by": mode}, (told.hosts, mode, struck, LIARS["0%"]))
            for struck, mode in itertools.product(map(int, told.struck.split(",")), told.modes.split(","))
        ]

    def one(work):
        (_, (hosts, mode, struck, decisions)), seed = work
        return play(hosts, mode, seed, struck, decisions)

    with ThreadPoolExecutor(told.at_once) as pool:
        # Seed by seed, so that what the machine does meanwhile falls on all rows alike.
        works = [(day, seed) for seed in seeds for day in days]
        results = list(pool.map(one, works))
    rows = []
    for day in days:
        rows.append(
            row_of(day[0], [result for work, result in zip(works, results, strict=True) if work[0] is day])
        )
        print(rows[-1], flush=True)
    name = ("learning-wrong" if told.wrong else "learning") + ("" if told.hosts == 20 else f"-{told.hosts}")
    write(told.out, name, rows)


if __name__ == "__main__":
    main()
