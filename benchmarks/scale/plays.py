"""Measuring by sizes that grow until a play takes too long, and the processor time of repeated calls."""

import gc
import time
from collections.abc import Callable, Sequence

from benchmarks.scale.measurement import LEAST_SIZES, PLAYS, Measurement, Play, Point

LONG_PLAY = 5.0  # seconds of processor time of one play, after which no larger size is measured
CPU = "processor time of the process, garbage collection as the program runs it"
MEMORY = "memory by tracemalloc after a garbage collection"


def cpu_ms(action: Callable[[], object], repeats: int = 1) -> float:
    """Milliseconds of processor time of one of `repeats` runs."""
    began = time.process_time_ns()
    for _ in range(repeats):
        action()
    return (time.process_time_ns() - began) / 1e6 / repeats


def grown(
    name: str, meaning: str, unit: str, parameter: str, sizes: Sequence[int], play: Play, conditions: str
) -> Measurement:
    """Call `play(size, seed)` for each size and seed, up to the size at which a play takes `LONG_PLAY`.

    At least as many sizes are measured as a fit needs.
    """
    points: list[Point] = []
    for size in sizes:
        values: list[float] = []
        longest = 0.0
        for seed in range(1, PLAYS + 1):
            gc.collect()
            began = time.process_time()
            values.append(play(size, seed))
            longest = max(longest, time.process_time() - began)
        points.append(Point(size, values))
        if longest > LONG_PLAY and len(points) >= LEAST_SIZES:
            break
    return Measurement(name, meaning, unit, parameter, points, with_omitted(conditions, sizes[len(points) :]))


def with_omitted(conditions: str, omitted: Sequence[int]) -> str:
    """The conditions, with the sizes that were not measured."""
    if not omitted:
        return conditions
    return f"{conditions}; not measured as plays grew too long: {', '.join(f'{size:,}' for size in omitted)}"
