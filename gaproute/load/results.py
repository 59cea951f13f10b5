"""What came of a load: counts and histograms that a file keeps and later reports read."""

import base64
import json
from collections import Counter
from pathlib import Path

from hdrh.histogram import HdrHistogram

HIGHEST = 600_000_000  # us: ten minutes
DIGITS = 3
VERSION = 1


class Tally:
    """Of one traffic. Times are from the intended start, in microseconds."""

    def __init__(self):
        self.times = HdrHistogram(1, HIGHEST, DIGITS)
        self.ends, self.seconds = Counter(), []  # by outcome; tasks ended in each second

    def ended(self, outcome, took, second):
        self.ends[outcome] += 1
        self.times.record_value(min(HIGHEST, max(1, took // 1000)))
        while len(self.seconds) <= second:
            self.seconds.append(0)
        self.seconds[second] += 1

    def plain(self):
        return {
            "ends": dict(self.ends),
            "seconds": self.seconds,
            "times": base64.b64encode(self.times.encode()).decode(),
        }

    @classmethod
    def of(cls, plain):
        made = cls()
        made.ends, made.seconds = Counter(plain["ends"]), plain["seconds"]
        made.times = HdrHistogram.decode(base64.b64decode(plain["times"]))
        return made

    def figures(self):
        times = self.times
        return {"tasks": times.get_total_count(), "well": self.ends["delivered"]} | {
            name: times.get_value_at_percentile(at) / 1000
            for name, at in (("p50", 50), ("p90", 90), ("p99", 99), ("p99.9", 99.9), ("max", 100))
        }


def write_result(path, load, seed, tallies, counts):
    Path(path).write_text(
        json.dumps(
            {
                "version": VERSION,
                "script": load.text,
                "seed": seed,
                "counts": dict(counts),
                "traffic": {name: tally.plain() for name, tally in tallies.items()},
            },
            indent=1,
        )
    )


def read_result(path):
    """(script, seed, counts, {traffic: Tally}). Errors: ValueError where the file is none of these."""
    try:
        told = json.loads(Path(path).read_text())
        if told["version"] != VERSION:
            raise ValueError(f"{path}: version {told['version']}, this is {VERSION}")
        return (
            told["script"],
            told["seed"],
            told["counts"],
            {name: Tally.of(plain) for name, plain in told["traffic"].items()},
        )
    except (KeyError, TypeError, json.JSONDecodeError) as fault:
        raise ValueError(f"{path}: no result of a load: {fault!r}") from fault


def compare(paths):
    """[{file, traffic, figures...}] of one or more results."""
    rows = []
    for path in paths:
        _, _, counts, tallies = read_result(path)
        for name, tally in tallies.items():
            rows.append(
                {
                    "file": Path(path).name,
                    "traffic": name,
                    **tally.figures(),
                    "not well": dict(sorted((end, n) for end, n in tally.ends.items() if end != "delivered")),
                }
            )
    return rows
