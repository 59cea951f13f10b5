"""The bad day's service beside random choice and least queue, through the same sockets, rules and guards.

    python benchmarks/bad_day.py [--seeds 1,2,3] [--script bad-day] [--jobs 2] [--out docs/measured]

Each day is played by processes of its own (`gaproute trial`); the chart needs requirements-bench.txt.
"""

import argparse
import sys
from collections.abc import Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import median
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.rows import table, write
from benchmarks.trial_command import play_trial

WAYS = {
    "module": "gaproute.decisions.routing:Gateway",
    "least queue": "gaproute.standins.baselines:LeastQueue",
    "random choice": "gaproute.standins.baselines:RandomChoice",
}

WINDOW = 5  # s, over which a day is counted

Result = dict[str, Any]  # of `gaproute trial`


def play(way: str, seed: int, script: str) -> Result:
    """The result of one day; `way`: a key of `WAYS`."""
    result = play_trial(script, seed=seed, decisions=WAYS[way])
    print(way, seed, result["service"], flush=True)
    return result


def make_row(way: str, runs: Sequence[Result]) -> dict[str, Any]:
    """The row of one way to decide: figures over all seeds."""
    return {
        "decisions": way,
        "service": " ".join(f"{run['service']:.3f}" for run in runs),
        "median": f"{median(run['service'] for run in runs):.3f}",
        "worst 5 s": f"{min(min(w for w in run['windows'] if w is not None) for run in runs):.3f}",
        "store fetches": round(median(run["fetches"] for run in runs)),
        "relays": round(median(run["relays"] for run in runs)),
        "rules broken": sum(len(run["broken"]) for run in runs),
    }


def draw_chart(results: Mapping[str, Sequence[Result]], name: str, folder: Path) -> None:
    """Draw the service over the day into `name`.png; print why not where matplotlib is not installed."""
    try:
        from matplotlib import pyplot  # type: ignore[import-not-found]  # of requirements-bench.txt
    except ImportError:
        print("no chart: requirements-bench.txt is not installed")
        return
    figure, axes = pyplot.subplots(figsize=(8, 4))
    for way, runs in results.items():
        windows = [run["windows"] for run in runs]
        places = range(len(windows[0]))
        axes.plot(
            [WINDOW * place for place in places],
            [median(each[place] or 0 for each in windows) for place in places],
            marker="o",
            label=way,
        )
    axes.set(xlabel="seconds into the day", ylabel="service, median of the seeds", ylim=(0, 1.02), title=name)
    axes.legend()
    figure.tight_layout()
    figure.savefig(folder / f"{name}.png", dpi=90)


def read_options() -> argparse.Namespace:
    """The command's arguments."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--script", default="bad-day")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--out", default="docs/measured")
    return parser.parse_args()


def main() -> None:
    """Plays all days, and writes their figures and the chart."""
    options = read_options()
    seeds = [int(seed) for seed in options.seeds.split(",")]
    plays = [(way, seed) for seed in seeds for way in WAYS]
    with ThreadPoolExecutor(options.jobs) as pool:
        ended = pool.map(lambda each: play(each[0], each[1], options.script), plays)
        by_play = dict(zip(plays, ended, strict=True))
    results = {way: [by_play[way, seed] for seed in seeds] for way in WAYS}
    rows = [make_row(way, runs) for way, runs in results.items()]
    name = Path(options.script).stem
    folder = write(
        options.out,
        name,
        rows,
        broken={way: [run["broken"] for run in runs] for way, runs in results.items()},
        windows={way: [run["windows"] for run in runs] for way, runs in results.items()},
    )
    print(table(rows))
    draw_chart(results, name, folder)


if __name__ == "__main__":
    main()
