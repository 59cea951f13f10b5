"""What happens to calls and loads when cells, zones and regions fail and come back.

All gateways are played in full. A play has a quiet minute, the failure, and the time after its end; figures
are counts by the second.
"""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any, NamedTuple

from benchmarks.fleet.clock import SECOND
from benchmarks.scale.cells.failure_kinds import KINDS, make_failure
from benchmarks.scale.cells.fleet import Shape, make_table
from benchmarks.scale.cells.gateways import CallEnd, CellGateway
from benchmarks.scale.cells.popularity import Popularity
from benchmarks.scale.cells.terms import IDEMPOTENT, NON_IDEMPOTENT
from benchmarks.scale.cells.world import CellWorld
from gaproute import interface as face

__all__ = ["KINDS", "Spans", "play"]

SHAPE = Shape(26, 20, 39, entries=3)
FUNCTIONS, EXPONENT = 3_000, 0.9
RATE = 300.0  # calls a second in all
IDEMPOTENT_SHARE = 0.5
KEEP_ALIVE = 600 * SECOND
FIRST_SECONDS = 10  # of a part, whose figures stand apart
LAST_QUIET = 30  # seconds before the failure that are counted
INSIDE, OUTSIDE = "inside", "outside"  # callers in the zones that fail, and others
ENDS = (CallEnd.DELIVERED, CallEnd.REJECTED, CallEnd.FAILED)


class Spans(NamedTuple):
    """Seconds of a play's three parts."""

    quiet: int = 60
    failed: int = 60
    after: int = 90


DEFAULT_SPANS = Spans()


class CallKey(NamedTuple):
    """What calls are counted by."""

    second: int
    side: str  # of the caller
    end: str


class FailurePlay:
    """One play of a kind of failure."""

    def __init__(self, kind: str, seed: int, shape: Shape, *, rate: float, functions: int) -> None:
        self._random, self._rate = Random(seed), rate
        table = make_table(shape)
        self.world = CellWorld(shape, table, range(shape.gateways), KEEP_ALIVE, seed)
        self._popularity = Popularity(functions, EXPONENT, self._random)
        self._gateways = list(self.world.gateways.values())
        self._failure = make_failure(kind, self.world)
        self._by_end: Counter[CallKey] = Counter()  # by the second in which calls ended
        self._by_begin: Counter[CallKey] = Counter()  # by that in which they began

    def run(self, spans: Spans) -> None:
        """Play all three parts."""
        clock, fails_at, ends_at = self.world.clock, spans.quiet, spans.quiet + spans.failed
        clock.at(0, self._call)
        clock.at(fails_at * SECOND, self._failure.begin)
        clock.at(ends_at * SECOND, self._failure.end)
        clock.run((ends_at + spans.after) * SECOND)

    def figures(self, begin: int, end: int) -> dict[str, Any]:
        """Of the seconds between these. A lost call ends `CALL_TIME` after it began at the latest."""
        counts = self.world.counts_by_second
        seconds = [counts.get(second, Counter()) for second in range(begin, end)]

        def rate(name: str) -> float:
            return round(sum(each[name] for each in seconds) / len(seconds), 2)

        return {
            "calls a second": rate("calls"),
            "loads a second": rate("loads"),
            "most loads in a second": max((each["loads"] for each in seconds), default=0),
            "cold answers a second": rate("cold"),
            "outside": _shares(self._by_end, OUTSIDE, begin, end),
            "inside": _shares(self._by_end, INSIDE, begin, end),
            "outside, of the calls begun": _shares(self._by_begin, OUTSIDE, begin, end),
            "inside, of the calls begun": _shares(self._by_begin, INSIDE, begin, end),
        }

    def _call(self) -> None:
        gateway = self._random.choice(self._gateways)
        if gateway.is_up:
            self._call_at(gateway)
        gap = int(self._random.expovariate(self._rate) * SECOND)
        self.world.clock.after(gap, self._call)

    def _call_at(self, gateway: CellGateway) -> None:
        side = INSIDE if gateway.zone in self._failure.zones else OUTSIDE
        second = self.world.clock.now // SECOND

        def on_end(end: CallEnd, found: face.InstanceStatus) -> None:
            self._by_end[CallKey(self.world.clock.now // SECOND, side, end)] += 1
            self._by_begin[CallKey(second, side, end)] += 1

        is_idempotent = self._random.random() < IDEMPOTENT_SHARE
        function = self._popularity.draw()
        request_class = IDEMPOTENT if is_idempotent else NON_IDEMPOTENT
        self.world.call(gateway, function, request_class, on_end=on_end)


def _shares(calls: Counter[CallKey], side: str, begin: int, end: int) -> dict[str, float] | None:
    """The shares of the ends; None where there were no calls."""
    counts = {
        str(call_end): sum(calls[CallKey(second, side, call_end)] for second in range(begin, end))
        for call_end in ENDS
    }
    total = sum(counts.values())
    return {name: round(count / total, 4) for name, count in counts.items()} if total else None


def play(
    kind: str,
    seed: int = 1,
    shape: Shape = SHAPE,
    *,
    rate: float = RATE,
    spans: Spans = DEFAULT_SPANS,
    functions: int = FUNCTIONS,
) -> dict[str, Any]:
    """The figures of one play by its part, and the violations of invariants."""
    played = FailurePlay(kind, seed, shape, rate=rate, functions=functions)
    played.run(spans)
    fails_at, ends_at = spans.quiet, spans.quiet + spans.failed
    parts = {
        "before": (fails_at - min(LAST_QUIET, spans.quiet // 2), fails_at),
        "failed, first 10 s": (fails_at, fails_at + FIRST_SECONDS),
        "failed, then": (fails_at + FIRST_SECONDS, ends_at),
        "back, first 10 s": (ends_at, ends_at + FIRST_SECONDS),
        "back, then": (ends_at + FIRST_SECONDS, ends_at + spans.after),
    }
    figures: dict[str, Any] = {name: played.figures(begin, end) for name, (begin, end) in parts.items()}
    return figures | {"breaches": len(played.world.violations)}
