"""The gateway's decisions by functions kept, all rare, in a fleet of one size: memory, a call, tidying."""

import gc
import time
import tracemalloc
from dataclasses import dataclass
from functools import cache, partial

from benchmarks.scale.gateways import MEGABYTE, SECOND, Caller, row
from benchmarks.scale.measurement import PLAYS, Measurement, Point
from benchmarks.scale.plays import CPU, MEMORY, cpu_ms
from gaproute.interface import State

HOSTS = 1_600
FUNCTIONS = (100, 250, 500, 1_000, 2_500, 10_000, 40_000)
BY = f"functions kept, at {HOSTS:,} hosts"
CALLS = 50  # measured at each size
ROUNDS = 5  # of housekeeping, measured at each size
LONG_STEP = 20.0  # seconds of processor time until the next size, beyond which it is left out


@dataclass(frozen=True)
class Sample:
    """What is measured with so many functions kept."""

    call: float
    tidy: float
    tidy_host_left: float


def _fill(caller, kept, functions):
    """Calls functions not called before, up to so many. False if it would take too long."""
    begun = time.process_time()
    for number in range(kept, functions):
        caller.call(f"rare-{number}")
        done = number + 1 - kept
        if done == CALLS and (time.process_time() - begun) * (functions - kept) / done > LONG_STEP:
            return False
    return True


def _steps(seed):
    """(functions, caller) at each size, one gateway growing, until the next would take too long."""
    caller, kept = Caller(HOSTS, seed), 0
    caller.crowd_mix()
    for functions in FUNCTIONS:
        if not _fill(caller, kept, functions):
            return
        yield functions, caller
        kept = functions


def _call(caller, kept, functions):
    """Milliseconds of a call of functions called before, and since the list last changed."""
    stride = (functions - kept) // CALLS
    names = iter([f"rare-{kept + number * stride}" for number in range(CALLS)])
    return cpu_ms(lambda: caller.call(next(names)), CALLS)


def _tidy(caller):
    """Milliseconds of a round of housekeeping."""
    keeper, now = caller.gateway.housekeep(caller.now), caller.now + SECOND
    next(keeper)
    return cpu_ms(lambda: keeper.send((now, None)))


def _host_leaves(caller, number):
    """Milliseconds of a round before which a host left the list; it is listed again afterwards."""
    caller.gateway.update_hosts(caller.now, [row(number, State.GONE)], False)
    spent = _tidy(caller)
    caller.gateway.update_hosts(caller.now, [row(number)], False)
    return spent


@cache
def _played(seed):
    """{functions: Sample} of one play."""
    found, kept = {}, 0
    for functions, caller in _steps(seed):
        call, kept = _call(caller, kept, functions), functions
        tidy = sum(_tidy(caller) for _ in range(ROUNDS)) / ROUNDS
        left = sum(_host_leaves(caller, number) for number in range(ROUNDS)) / ROUNDS
        found[functions] = Sample(call, tidy, left)
    return found


@cache
def _memory(seed):
    """{functions: megabytes that they hold} of one play."""
    found = {}
    gc.collect()
    tracemalloc.start()
    try:
        caller = Caller(HOSTS, seed)
        caller.crowd_mix()
        caller.call("before")
        empty, kept = tracemalloc.get_traced_memory()[0], 0
        for functions in FUNCTIONS:
            if not _fill(caller, kept, functions):
                break
            kept = functions
            gc.collect()
            found[functions] = (tracemalloc.get_traced_memory()[0] - empty) / MEGABYTE
        return found
    finally:
        tracemalloc.stop()


def _measured(name, meaning, unit, played, value, conditions):
    """The measurement of the sizes that every play reached."""
    plays = [played(seed) for seed in range(1, PLAYS + 1)]
    sizes = [size for size in FUNCTIONS if all(size in play for play in plays)]
    left = FUNCTIONS[len(sizes) :]
    if left:
        told = ", ".join(f"{size:,}" for size in left)
        conditions = f"{conditions}; not measured as plays grew too long: {told}"
    points = [Point(size, [value(play[size]) for play in plays]) for size in sizes]
    return Measurement(name, meaning, unit, BY, points, conditions)


MEASUREMENTS = {
    name: partial(_measured, name, meaning, unit, played, value, conditions)
    for name, meaning, unit, played, value, conditions in (
        (
            "decisions-memory-by-functions",
            "memory of the rare functions kept",
            "MB",
            _memory,
            float,
            f"{MEMORY}; one call of each function",
        ),
        (
            "decisions-later-call-by-functions",
            "later call of a rare function",
            "ms",
            _played,
            lambda sample: sample.call,
            CPU,
        ),
        (
            "decisions-tidying-by-functions",
            "a second's round of housekeeping, nothing to forget",
            "ms",
            _played,
            lambda sample: sample.tidy,
            CPU,
        ),
        (
            "decisions-tidying-host-left-by-functions",
            "a second's round of housekeeping after a host left the list",
            "ms",
            _played,
            lambda sample: sample.tidy_host_left,
            CPU,
        ),
    )
}
