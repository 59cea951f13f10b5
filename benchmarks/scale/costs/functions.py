"""The gateway's decisions by functions known, all rare, in a fleet of one size: memory, a call, cleanup."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import cache
from typing import TypeVar

from benchmarks.scale.gateways import MEGABYTE, SECOND, Caller, row
from benchmarks.scale.measurement import PLAYS, Measurement, Measurements, Point
from benchmarks.scale.plays import CPU, MEMORY, cpu_ms, with_omitted
from gaproute.interface import ListedHostState

HOSTS = 1_600
FUNCTIONS = (100, 250, 500, 1_000, 2_500, 10_000, 40_000)
BY = f"functions kept, at {HOSTS:,} hosts"
CALLS = 50  # measured at each size
ROUNDS = 5  # of housekeeping, measured at each size
LONG_STEP = 20.0  # seconds of processor time until the next size, beyond which it is left out


T = TypeVar("T")


@dataclass(frozen=True)
class Sample:
    """What is measured with so many functions known, all in milliseconds."""

    call: float
    cleanup: float
    cleanup_host_left: float


def _fill(caller: Caller, known: int, functions: int) -> bool:
    """Call functions not called before, up to so many. False if it would take too long."""
    began = time.process_time()
    for number in range(known, functions):
        caller.call(f"rare-{number}")
        done = number + 1 - known
        if done == CALLS and (time.process_time() - began) * (functions - known) / done > LONG_STEP:
            return False
    return True


def _steps(seed: int) -> Iterator[tuple[int, Caller]]:
    """(functions, caller) at each size, one gateway growing, until the next would take too long."""
    caller, known = Caller(HOSTS, seed), 0
    caller.fill_mix()
    for functions in FUNCTIONS:
        if not _fill(caller, known, functions):
            return
        yield functions, caller
        known = functions


def _call(caller: Caller, known: int, functions: int) -> float:
    """Milliseconds of a call of functions called before, and since the list last changed."""
    stride = (functions - known) // CALLS
    names = iter([f"rare-{known + number * stride}" for number in range(CALLS)])
    return cpu_ms(lambda: caller.call(next(names)), CALLS)


def _cleanup(caller: Caller) -> float:
    """Milliseconds of a round of housekeeping."""
    housekeeping, now = caller.gateway.housekeep(caller.now), caller.now + SECOND
    next(housekeeping)
    return cpu_ms(lambda: housekeeping.send((now, None)))


def _host_leaves(caller: Caller, number: int) -> float:
    """Milliseconds of a round before which a host left the list; it is listed again afterwards."""
    caller.gateway.update_hosts(caller.now, [row(number, ListedHostState.GONE)], complete=False)
    spent = _cleanup(caller)
    caller.gateway.update_hosts(caller.now, [row(number)], complete=False)
    return spent


@cache
def _played(seed: int) -> dict[int, Sample]:
    """{functions: Sample} of one play."""
    found: dict[int, Sample] = {}
    known = 0
    for functions, caller in _steps(seed):
        call, known = _call(caller, known, functions), functions
        cleanup = sum(_cleanup(caller) for _ in range(ROUNDS)) / ROUNDS
        left = sum(_host_leaves(caller, number) for number in range(ROUNDS)) / ROUNDS
        found[functions] = Sample(call, cleanup, left)
    return found


@cache
def _memory(seed: int) -> dict[int, float]:
    """{functions: megabytes that they take} of one play."""
    found: dict[int, float] = {}
    gc.collect()
    tracemalloc.start()
    try:
        caller = Caller(HOSTS, seed)
        caller.fill_mix()
        caller.call("before")
        empty, known = tracemalloc.get_traced_memory()[0], 0
        for functions in FUNCTIONS:
            if not _fill(caller, known, functions):
                break
            known = functions
            gc.collect()
            found[functions] = (tracemalloc.get_traced_memory()[0] - empty) / MEGABYTE
        return found
    finally:
        tracemalloc.stop()


def _measured(
    name: str,
    meaning: str,
    unit: str,
    played: Callable[[int], dict[int, T]],
    value: Callable[[T], float],
    conditions: str,
) -> Measurement:
    """The measurement of the sizes that every play reached.

    `played(seed)` gives what one play found by size, `value` takes the cost from it.
    """
    plays = [played(seed) for seed in range(1, PLAYS + 1)]
    sizes = [size for size in FUNCTIONS if all(size in play for play in plays)]
    points = [Point(size, [value(play[size]) for play in plays]) for size in sizes]
    omitted = FUNCTIONS[len(sizes) :]
    return Measurement(name, meaning, unit, BY, points, with_omitted(conditions, omitted))


def _deferred(
    name: str,
    meaning: str,
    unit: str,
    played: Callable[[int], dict[int, T]],
    value: Callable[[T], float],
    conditions: str,
) -> Measurements:
    """{name: function that makes the measurement}; arguments as of `_measured`."""
    return {name: lambda: _measured(name, meaning, unit, played, value, conditions)}


MEASUREMENTS: Measurements = {
    **_deferred(
        "decisions-memory-by-functions",
        "memory of the rare functions kept",
        "MB",
        _memory,
        float,
        f"{MEMORY}; one call of each function",
    ),
    **_deferred(
        "decisions-later-call-by-functions",
        "later call of a rare function",
        "ms",
        _played,
        lambda sample: sample.call,
        CPU,
    ),
    **_deferred(
        "decisions-tidying-by-functions",
        "a second's round of housekeeping, nothing to forget",
        "ms",
        _played,
        lambda sample: sample.cleanup,
        CPU,
    ),
    **_deferred(
        "decisions-tidying-host-left-by-functions",
        "a second's round of housekeeping after a host left the list",
        "ms",
        _played,
        lambda sample: sample.cleanup_host_left,
        CPU,
    ),
}
