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
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import fmean, median
from typing import Any, NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.rows import write
from benchmarks.trial_command import play_trial
from gaproute.standins.tap import read_tap

SECOND = 1_000_000_000
KILL = 24  # by then the store is calm: copies stand where the gateways want them
SCRIPT = """
day length {length}s rate {rate} hosts {hosts} gateways 4 models {models} retries 0 impatient 0 {sources}
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


BEFORE = 8 * SECOND  # the first kill, in which warm instances and fetches are counted
AFTER = 30 * SECOND  # from the first kill, in which fetches are counted
MODES = {"nothing": (False, False), "disk": (False, True), "peers": (True, False), "both": (True, True)}
LIARS = {
    "0%": "gaproute.decisions.routing:Gateway",
    "20%": "gaproute.standins.false_reports:ReportsFalselyAtTimes",
    "50%": "gaproute.standins.false_reports:ReportsFalselyByHalf",
    "100%": "gaproute.standins.false_reports:ReportsFalselyAlways",
}


Row = dict[str, Any]
TapEvent = dict[str, Any]


class Day(NamedTuple):
    """What is played: `mode` is a key of `MODES`, `killed` says how many of the four gateways are killed."""

    hosts: int
    mode: str
    killed: int
    decisions: str


class Taps:
    """What the taps and logs of a played day say of the gateways that were killed."""

    def __init__(self, folder: Path) -> None:
        """`folder`: where the trial wrote its taps and logs."""
        self.ran = [
            event for path in folder.glob("host-*.tap") for event in read_tap(path) if event["what"] == "ran"
        ]
        run = read_tap(folder / "run.tap")
        self.kills = {event["gateway"]: event["at"] for event in run if event["what"] == "killed"}
        self.starts = {event["gateway"]: event["at"] for event in run if event["what"] == "started"}
        self.first_kill = min(self.kills.values())
        fetches = [event for event in read_tap(folder / "store.tap") if event["what"] == "fetch"]
        self.fetched_at = [event["at"] for event in fetches]
        self.ends = [
            event
            for event in read_tap(folder / "clients.tap")
            if event["what"] in ("answer", "answered late", "broken", "overdue")
        ]
        self.cpu_shares = [
            line["observation_cpu_share"] for line in read_logs(folder) if line.get("event") == "stopped"
        ]

    def warm_share(self, gateway: int, begin: int, end: int) -> float:
        """The share of the gateway's requests that found a warm instance, of those that ran in this span."""
        found = [
            bool(event["found"] == 1)
            for event in self.ran
            if event["mark"].startswith(f"g{gateway}-") and begin <= event["at"] < end
        ]
        return sum(found) / max(1, len(found))

    def warm_before(self, gateway: int) -> float:
        """The same in the last seconds before the first kill."""
        return self.warm_share(gateway, self.first_kill - BEFORE, self.first_kill)

    def warm_after(self, gateway: int, span: int) -> float:
        """The same in a span after the gateway started again."""
        return self.warm_share(gateway, self.starts[gateway], self.starts[gateway] + span)

    def recovery(self, gateway: int) -> float:
        """Seconds until two seconds in a row had 95% of the share before."""
        before = self.warm_before(gateway)
        for tenth in range(0, 150, 5):
            begin = self.starts[gateway] + tenth * SECOND // 10
            if self.warm_share(gateway, begin, begin + 2 * SECOND) >= 0.95 * before:
                return tenth / 10
        return 15.0

    def fetch_count(self, begin: int, end: int) -> int:
        """How many instances were fetched from the store in this span."""
        return sum(begin <= at < end for at in self.fetched_at)

    def service_after_start(self) -> float:
        """The share in time, of the requests of the first ten seconds after each start."""
        in_time = [is_in_time(event) for event in self.ends if self._follows_a_start(event)]
        return sum(in_time) / max(1, len(in_time))

    def _follows_a_start(self, event: TapEvent) -> bool:
        gateway = event["gateway"]
        if gateway not in self.starts or self.kills.get(gateway) is None:
            return False
        return bool(0 <= event["asked"] - self.starts[gateway] < 10 * SECOND)


def read_logs(folder: Path) -> list[TapEvent]:
    """The log lines of all gateways."""
    return [
        json.loads(line)
        for path in folder.glob("g*.log")
        for line in path.read_text().splitlines()
        if line.startswith("{")
    ]


def is_in_time(event: TapEvent) -> bool:
    """Whether the request was delivered within its latency objective."""
    if event["what"] != "answer" or event["outcome"] != "delivered":
        return False
    objective_ms = 1200 if event["track"] == "fault-check" else 600
    return bool(event["at"] - event["asked"] < objective_ms * 1_000_000)


def day_script(day: Day) -> str:
    """The script of the day."""
    troubles = "\n".join(
        f"trouble gateway-kill at {KILL + 2 * place}s back 500ms gateway {place}"
        for place in range(day.killed)
    )
    peers, memory = ("yes" if each else "no" for each in MODES[day.mode])
    return SCRIPT.format(
        length=KILL + 30,
        rate=8 * day.hosts,
        hosts=day.hosts,
        models=3 * day.hosts,
        troubles=troubles,
        sources=f"peers {peers} memory {memory}",
    )


def play(day: Day, seed: int) -> Row:
    """The figures of one played day."""
    with tempfile.TemporaryDirectory(prefix="gl-") as folder:
        script, out = Path(folder, "day.script"), Path(folder, "o")
        script.write_text(day_script(day))
        result = play_trial(script, seed=seed, decisions=day.decisions, out=out)
        taps = Taps(out)
    killed, first = list(taps.kills), taps.first_kill
    return {
        "before": fmean(taps.warm_before(each) for each in killed),
        "2 s": fmean(taps.warm_after(each, 2 * SECOND) for each in killed),
        "10 s": fmean(taps.warm_after(each, 10 * SECOND) for each in killed),
        "recovery, s": fmean(taps.recovery(each) for each in killed),
        "fetches/s before": taps.fetch_count(first - BEFORE, first) / (BEFORE // SECOND),
        "fetches in 30 s": taps.fetch_count(first, first + AFTER),
        "service": taps.service_after_start(),
        "broken": len(result["broken"]),
        "telling, % of a core": 100 * max(taps.cpu_shares, default=0),
    }


def row_of(head: Row, runs: Sequence[Row]) -> Row:
    """A row of the table: medians of the runs."""
    row = dict(head)
    for name in runs[0]:
        if name not in ("broken", "all"):
            row[name] = round(median(run[name] for run in runs), 3)
    return row | {
        "fetches, each": " ".join(str(run["fetches in 30 s"]) for run in runs),
        "broken": sum(run["broken"] for run in runs),
    }


def planned_days(options: argparse.Namespace) -> list[tuple[Row, Day]]:
    """The head of each row with its day."""
    if options.wrong:
        honest = LIARS["0%"]
        return [
            ({"restarted": "4 of 4", "told": "nothing"}, Day(options.hosts, "nothing", 4, honest)),
            *(
                (
                    {"restarted": "4 of 4", "told": f"{wrong} wrong"},
                    Day(options.hosts, "peers", 4, decisions),
                )
                for wrong, decisions in LIARS.items()
            ),
        ]
    return [
        ({"restarted": f"{killed} of 4", "told by": mode}, Day(options.hosts, mode, killed, LIARS["0%"]))
        for killed, mode in itertools.product(map(int, options.struck.split(",")), options.modes.split(","))
    ]


def main() -> None:
    """Plays all days and writes the table."""
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--seeds", default="1,2,3")
    arguments.add_argument("--hosts", type=int, default=20)
    arguments.add_argument("--modes", default=",".join(MODES))
    arguments.add_argument("--struck", default="1,4")
    arguments.add_argument("--wrong", action="store_true")
    arguments.add_argument("--at-once", type=int, default=2)
    arguments.add_argument("--out", default="docs/measured")
    options = arguments.parse_args()
    days = planned_days(options)
    # Seed by seed, so that what the machine does meanwhile falls on all rows alike.
    jobs = [(place, int(seed)) for seed in options.seeds.split(",") for place in range(len(days))]
    with ThreadPoolExecutor(options.at_once) as pool:
        results = list(pool.map(lambda job: play(days[job[0]][1], job[1]), jobs))
    rows = []
    for place, (head, _) in enumerate(days):
        runs = [result for job, result in zip(jobs, results, strict=True) if job[0] == place]
        rows.append(row_of(head, runs))
        print(rows[-1], flush=True)
    size = "" if options.hosts == 20 else f"-{options.hosts}"
    write(options.out, ("learning-wrong" if options.wrong else "learning") + size, rows)


if __name__ == "__main__":
    main()
