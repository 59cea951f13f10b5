"""Ends of very many idle connections: a heap of timers, a hierarchical wheel, and the calendar, one beside
the other.

    python benchmarks/timers.py [--counts 1000,20000,100000] [--out docs/measured]

Each holds so many idle ends of 75 s, spread by 10%. Over 20 s in steps of 10 ms, 1% of them move each second
(a connection had a request). Measured: CPU of the moves and of the steps, memory for each, the longest step;
then a stop of 100 s after which all are due: how much one turn does. In the heap a move cancels and pushes;
in the wheel it takes the entry out of its list of slots; in the calendar it only notes the new time.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
import tracemalloc
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.rows import write
from benchmarks.timer_forms import FORMS, STEP, Timers

SECOND = 1_000_000_000
IDLE_TIME, SPAN, STOP_TIME = 75 * SECOND, 20 * SECOND, 100 * SECOND
MOVED_EACH = 10_000  # one timer in so many moves in a step


class Play:
    """One form of timers, played with so many."""

    def __init__(self, form: type[Timers], count: int) -> None:
        self._random, self._count, self._now = random.Random(1), count, 0
        tracemalloc.start()
        self._timers = form(count)
        for number in range(count):
            self._timers.add(number, self._draw_end())
        self.bytes_each = tracemalloc.get_traced_memory()[0] / count
        tracemalloc.stop()
        self._move_time = self._moved = self._step_time = self._longest_step = 0

    def run(self) -> dict[str, Any]:
        """The figures of the play."""
        while self._now < SPAN:
            self._step()
            self._move()
        self._now += STOP_TIME
        began = time.perf_counter_ns()
        fired = self._timers.step(self._now)
        first_turn = time.perf_counter_ns() - began
        return {
            "bytes each": round(self.bytes_each),
            "us a move": round(self._move_time / self._moved / 1000, 2),
            "us a step": round(self._step_time / (SPAN // STEP) / 1000, 2),
            "longest step, us": round(self._longest_step / 1000),
            "first turn after a stop, us": round(first_turn / 1000),
            "fired in it": fired,
        }

    def _step(self) -> None:
        self._now += STEP
        began = time.perf_counter_ns()
        self._timers.step(self._now)
        took = time.perf_counter_ns() - began
        self._step_time += took
        self._longest_step = max(self._longest_step, took)

    def _move(self) -> None:
        numbers = [self._random.randrange(self._count) for _ in range(max(1, self._count // MOVED_EACH))]
        ends = [self._draw_end() for _ in numbers]
        began = time.perf_counter_ns()
        for number, end in zip(numbers, ends, strict=True):
            self._timers.move(number, end)
        self._move_time += time.perf_counter_ns() - began
        self._moved += len(numbers)

    def _draw_end(self) -> int:
        return self._now + IDLE_TIME + self._random.randrange(IDLE_TIME // 10)


def main() -> None:
    """Run the command line."""
    options = argparse.ArgumentParser()
    options.add_argument("--counts", default="1000,20000,100000")
    options.add_argument("--out", default="docs/measured")
    arguments = options.parse_args()
    rows = []
    for count in map(int, arguments.counts.split(",")):
        for name, form in FORMS.items():
            rows.append({"timers": count, "form": name} | Play(form, count).run())
            print(rows[-1], flush=True)
    write(arguments.out, "timers", rows)


if __name__ == "__main__":
    main()
