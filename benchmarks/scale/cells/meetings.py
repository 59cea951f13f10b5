"""Whether calls of a rare function meet at one instance, from gateways that never heard of each other.

All of the fleet's gateways call, each with its own count of what it saw; those that are entries of cells are
played in full and decide within their cells. Beside the rare functions others keep the hosts busy.
"""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any, NamedTuple

from benchmarks.fleet.clock import MILLI, SECOND
from benchmarks.scale.cells.callers import Callers, OnFound
from benchmarks.scale.cells.fleet import Shape, bare_cell, make_table, with_entries
from benchmarks.scale.cells.world import CellWorld
from gaproute import interface as face
from gaproute.decisions.cells.table import CellTable, split_cell

SHAPE = Shape(64, 20, 16_000, entries=8)
RARE_INTERVAL = 60 * SECOND  # between two calls of a rare function in the whole fleet, on average
BUSY_FUNCTIONS = 200


class Meetings:
    """Counts of calls that an instance could have awaited, and of those that found one."""

    def __init__(self, keep_alive: int) -> None:
        self._keep_alive = keep_alive
        self._last_called: dict[str, int] = {}  # by function
        self.counts: Counter[str] = Counter()

    def call_began(self, now: int, function: str, *, measured: bool) -> OnFound:
        """A call begins; what is to be called with what it found."""
        last = self._last_called.get(function)
        allowed = measured and last is not None and now - last < self._keep_alive
        self._last_called[function] = now

        def on_found(found: face.InstanceStatus | None) -> None:
            self.counts["calls"] += measured
            if allowed:
                self.counts["allowed"] += 1
                self.counts["found"] += found is face.InstanceStatus.WARM
                self.counts["failed"] += found is None

        return on_found


class TwoTables(NamedTuple):
    """The table before and the one now."""

    before: CellTable
    now: CellTable


def make_two_tables(shape: Shape) -> TwoTables:
    """A cell added, one lost and one split between them."""
    rows = with_entries([bare_cell(number, shape) for number in range(shape.cells + 1)], shape)
    *others, added = rows[1:]
    halves = split_cell(others[0], "split", others[0].entries)
    return TwoTables(make_table(shape, 1, rows[:-1]), make_table(shape, 2, [*others[1:], added, *halves]))


class MeetingsPlay:
    """One play. `background`: calls a second of functions that are called often."""

    def __init__(
        self, shape: Shape, keep_alive: int, *, old_share: float, background: float, seed: int
    ) -> None:
        self._random, self._shape, self._background = Random(seed), shape, background
        tables = make_two_tables(shape)
        entries = {int(entry.name[7:]) for cell in tables.now.cells for entry in cell.entries}
        self.world = CellWorld(shape, tables.now, sorted(entries), keep_alive, seed)
        self._callers = Callers(
            self.world, tables.now, tables.before, old_share=old_share, random=self._random
        )
        self.meetings = Meetings(keep_alive)
        self._measured_from = 0

    def run(self, functions: int, seconds: int, warm_up: int) -> None:
        """Play so many rare functions; calls count after the warm-up, s."""
        clock, self._measured_from = self.world.clock, warm_up * SECOND
        for number in range(functions):
            clock.at(self._random.randrange(RARE_INTERVAL), self._call_rare, f"rare{number}")
        if self._background:
            clock.at(MILLI, self._call_busy)
        clock.run(seconds * SECOND)

    def _call_rare(self, function: str) -> None:
        now = self.world.clock.now
        on_found = self.meetings.call_began(now, function, measured=now >= self._measured_from)
        self._callers.call(self._random.randrange(self._shape.gateways), function, on_found)
        gap = int(self._random.expovariate(1) * RARE_INTERVAL)
        self.world.clock.at(now + gap, self._call_rare, function)

    def _call_busy(self) -> None:
        number = self._random.randrange(self._shape.gateways)
        function = f"busy{self._random.randrange(BUSY_FUNCTIONS)}"
        self._callers.call(number, function, _ignore)
        gap = int(self._random.expovariate(self._background) * SECOND)
        self.world.clock.after(gap, self._call_busy)


def _ignore(found: face.InstanceStatus | None) -> None:
    """What a busy function found is not counted."""


def play(
    shape: Shape,
    functions: int,
    keep_alive: int,
    seconds: int,
    warm_up: int,
    old_share: float = 0.0,
    background: float = 0.0,
    seed: int = 1,
) -> dict[str, Any]:
    """The figures of one play. `old_share`: of the gateways, those that go by the table before."""
    played = MeetingsPlay(shape, keep_alive, old_share=old_share, background=background, seed=seed)
    played.run(functions, seconds, warm_up)
    world, counts = played.world, played.meetings.counts
    busy = sum(host.in_flight / host.capacity for host in world.hosts.values()) / len(world.hosts)
    return {
        "share that found a standing copy": round(counts["found"] / max(1, counts["allowed"]), 4),
        "calls that keep-alive allowed": counts["allowed"],
        "calls that failed": counts["failed"],
        "loads": world.counts["loads"],
        "runs": world.counts["runs"],
        "full gateways": len(world.gateways),
        "mean hosts busy": round(busy, 3),
    }
