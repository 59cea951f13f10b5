"""Outcomes and latencies of a load, and the file that keeps them for later reports."""

from __future__ import annotations

import base64
import json
from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple, Protocol

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from gaproute.errors import GaprouteError

HIGHEST_LATENCY = 600_000_000  # us; a longer one counts as this
SIGNIFICANT_DIGITS = 3  # of the histograms
FILE_VERSION = 1
PERCENTILES = {"p50": 50, "p90": 90, "p99": 99, "p99.9": 99.9, "max": 100}

JsonObject = dict[str, Any]  # of a result file, or a row of a report


class RequestOutcome(StrEnum):
    """How a request ended, where the server did not say so: it names outcomes of its own in a header."""

    DELIVERED = "delivered"  # answered with status 200
    BROKEN = "broken"  # its connection ended first
    OVERDUE = "overdue"  # no answer within the traffic's patience
    GIVEN_UP = "given up"  # its connection was reset by a storm
    NEVER_SENT = "never sent"  # no connection was free for it until the end


class ResultFileError(GaprouteError, ValueError):
    """A file is not a result of a load that this version can read."""


class LatencyHistogram(Protocol):
    """What is used of an `HdrHistogram`, which has no type stubs."""

    def record_value(self, value: int, /) -> object:
        """Counts a value."""

    def get_value_at_percentile(self, percentile: float, /) -> float:
        """The value that so many percent of all do not exceed."""

    def get_total_count(self) -> int:
        """How many values were counted."""

    def encode(self) -> bytes:
        """The histogram as `HdrHistogram.decode` reads it."""


class TrafficResult:
    """What became of the requests of one traffic.

    `outcomes` counts them by how they ended, `ended_per_second` by the second of the load in which they did.
    `latencies` is a histogram in microseconds from the intended start.
    """

    def __init__(self) -> None:
        self.latencies: LatencyHistogram = HdrHistogram(1, HIGHEST_LATENCY, SIGNIFICANT_DIGITS)
        self.outcomes: Counter[str] = Counter()
        self.ended_per_second: list[int] = []

    def record(self, outcome: str, latency: int, second: int) -> None:
        """Count a request that took `latency` ns and ended in this second of the load."""
        self.outcomes[outcome] += 1
        self.latencies.record_value(min(HIGHEST_LATENCY, max(1, latency // 1000)))
        while len(self.ended_per_second) <= second:
            self.ended_per_second.append(0)
        self.ended_per_second[second] += 1

    @property
    def unsuccessful(self) -> dict[str, int]:
        """Counts by outcome of the requests that were not delivered."""
        return {
            outcome: count for outcome, count in self.outcomes.items() if outcome != RequestOutcome.DELIVERED
        }

    def summary(self) -> dict[str, float]:
        """The figures of a report: requests, those delivered, and percentiles of the latency in ms."""
        percentiles = {
            name: self.latencies.get_value_at_percentile(percentile) / 1000
            for name, percentile in PERCENTILES.items()
        }
        return {
            "tasks": self.latencies.get_total_count(),
            "well": self.outcomes[RequestOutcome.DELIVERED],
            **percentiles,
        }

    def to_json(self) -> JsonObject:
        """The form that a result file has."""
        return {
            "ends": dict(self.outcomes),
            "seconds": self.ended_per_second,
            "times": base64.b64encode(self.latencies.encode()).decode(),
        }

    @classmethod
    def from_json(cls, stored: JsonObject) -> TrafficResult:
        """The result that `to_json` gave. Errors: KeyError, TypeError where it is of another form."""
        result = cls()
        result.outcomes, result.ended_per_second = Counter(stored["ends"]), stored["seconds"]
        result.latencies = HdrHistogram.decode(base64.b64decode(stored["times"]))
        return result


class LoadResult(NamedTuple):
    """What a result file holds: the script's text, the seed, events by name, and results by traffic."""

    script: str
    seed: int
    counts: dict[str, int]
    traffic: dict[str, TrafficResult]


def write_result(path: str | Path, result: LoadResult) -> None:
    """Write a result file. Errors: OSError."""
    document = {
        "version": FILE_VERSION,
        "script": result.script,
        "seed": result.seed,
        "counts": dict(result.counts),
        "traffic": {name: traffic.to_json() for name, traffic in result.traffic.items()},
    }
    Path(path).write_text(json.dumps(document, indent=1))


def read_result(path: str | Path) -> LoadResult:
    """Read a result file. Errors: OSError, `ResultFileError`."""
    try:
        document = json.loads(Path(path).read_text())
        if document["version"] != FILE_VERSION:
            raise ResultFileError(f"{path}: version {document['version']}, this is {FILE_VERSION}")
        traffic = {name: TrafficResult.from_json(stored) for name, stored in document["traffic"].items()}
        return LoadResult(document["script"], document["seed"], document["counts"], traffic)
    except (KeyError, TypeError, json.JSONDecodeError) as error:
        raise ResultFileError(f"{path}: no result of a load: {error!r}") from error


def summary_rows(paths: Iterable[str | Path]) -> list[JsonObject]:
    """One row of figures for each traffic of each result file. Errors: as of `read_result`."""
    return [
        {
            "file": Path(path).name,
            "traffic": name,
            **traffic.summary(),
            "not well": dict(sorted(traffic.unsuccessful.items())),
        }
        for path in paths
        for name, traffic in read_result(path).traffic.items()
    ]
