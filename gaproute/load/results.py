"""What came of a load: counts and histograms that a file keeps and later reports read."""

import base64
import json
from collections import Counter
from pathlib import Path

from hdrh.histogram import HdrHistogram

HIGHEST = 600_000_000  # us: ten minutes
DIGITS = 3
VERSION = 1


class TrafficResult:
    """Of one traffic. Times are from the intended start, in microseconds."""

    def __init__(self):
        self.latencies = HdrHistogram(1, HIGHEST, DIGITS)
        self.outcomes, self.ended_per_second = Counter(), []  # by outcome; tasks ended in each second

    def record(self, outcome, took, second):
        self.outcomes[outcome] += 1
        self.latencies.record_value(min(HIGHEST, max(1, took // 1000)))
        while len(self.ended_per_second) <= second:
            self.ended_per_second.append(0)
        self.ended_per_second[second] += 1

    def to_json(self):
        return {
            "ends": dict(self.outcomes),
            "seconds": self.ended_per_second,
            "times": base64.b64encode(self.latencies.encode()).decode(),
        }

    @classmethod
    def from_json(cls, plain):
        made = cls()
        made.outcomes, made.ended_per_second = Counter(plain["ends"]), plain["seconds"]
        made.latencies = HdrHistogram.decode(base64.b64decode(plain["times"]))
        return made

    def summary(self):
        times = self.latencies
        return {"tasks": times.get_total_count(), "well": self.outcomes["delivered"]} | {
            name: times.get_value_at_percentile(at) / 1000
            for name, at in (("p50", 50), ("p90", 90), ("p99", 99), ("p99.9", 99.9), ("max", 100))
        }


def write_result(path, load, seed, results, counts):
    Path(path).write_text(
        json.dumps(
            {
                "version": VERSION,
                "script": load.text,
                "seed": seed,
                "counts": dict(counts),
                "traffic": {name: result.to_json() for name, result in results.items()},
            },
            indent=1,
        )
    )


def read_result(path):
    """(script, seed, counts, {traffic: result}). Errors: ValueError where the file is none of these."""
    try:
        told = json.loads(Path(path).read_text())
        if told["version"] != VERSION:
            raise ValueError(f"{path}: version {told['version']}, this is {VERSION}")
        return (
            told["script"],
            told["seed"],
            told["counts"],
            {name: TrafficResult.from_json(plain) for name, plain in told["traffic"].items()},
        )
    except (KeyError, TypeError, json.JSONDecodeError) as fault:
        raise ValueError(f"{path}: no result of a load: {fault!r}") from fault


def summary_rows(paths):
    """[{file, traffic, figures...}] of one or more results."""
    rows = []
    for path in paths:
        _, _, counts, results = read_result(path)
        for name, result in results.items():
            rows.append(
                {
                    "file": Path(path).name,
                    "traffic": name,
                    **result.summary(),
                    "not well": dict(
                        sorted((end, n) for end, n in result.outcomes.items() if end != "delivered")
                    ),
                }
            )
    return rows
