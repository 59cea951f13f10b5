"""Runs a module of the program, unchanged, on a clock that is wrong and bound to its parent's life.

    python -m gaproute.cluster.child [--rate R] [--offset-ms M] [--parent-death] -- MODULE ARGUMENTS...

does what `python -m MODULE ARGUMENTS...` would do.

The clock: `time.monotonic_ns`, `monotonic`, `time_ns` and `time` are replaced before the program is
imported, so that it does not matter whether it asks `time` or has taken the function over by name or as a
default. They run at `rate` times the true pace from this process's start on, and are ahead by the offset.

Where the wrong clock does not reach, and how much that matters:
- epoll waits in true time. At a rate above 1 the loop wakes when its clock is past what was due, by (R - 1)
  of the wait; below 1 it wakes early, finds nothing due and polls again for the rest. The loop waits for a
  second at most in one poll, so that at R = 1.02 nothing is later than 20 ms, and less than that for all
  that is nearer.
- `datetime` and the kernel (TCP's timers, file times) keep true time: log lines can be laid side by side.
- `perf_counter` and `process_time` are left alone: what costs are measured by must not be wrong.
- Processes that the program starts itself (`serve --processes`) have the true clock again, and end with
  their parent by its pipe alone.
"""

from __future__ import annotations

import ctypes
import os
import runpy
import signal
import sys
import time
from collections.abc import Callable

import click

from gaproute.units import MILLI, SECOND

MAX_RATE = 100
PR_SET_PDEATHSIG = 1  # prctl of Linux: a signal for this process when the thread that started it ends
INIT_PID = 1  # the parent of a process whose own has ended
CLOCK_UNITS = {"monotonic_ns": 1, "monotonic": SECOND, "time_ns": 1, "time": SECOND}  # ns in its unit

Clock = Callable[[], float]


def skewed_clock(true: Clock, start: float, *, rate: float, offset: float) -> Clock:
    """A clock made of `true`: at `rate` from its value `start` on, ahead by `offset`, in its unit.

    It gives whole numbers where `start` is one.
    """
    whole = isinstance(start, int)

    def clock() -> float:
        elapsed = (true() - start) * rate
        return start + offset + (int(elapsed) if whole else elapsed)

    return clock


def skew_clocks(*, rate: float, offset: int) -> None:
    """Replaces the functions of `time`; `offset` in ns. Errors: ValueError for a rate that is none."""
    if not 0 < rate < MAX_RATE:
        raise ValueError(f"a clock's rate is above 0 and below {MAX_RATE}, not {rate}")
    for name, unit in CLOCK_UNITS.items():
        true = getattr(time, name)
        in_unit = offset if unit == 1 else offset / unit
        setattr(time, name, skewed_clock(true, true(), rate=rate, offset=in_unit))


def die_with_parent(parent: int) -> None:
    """SIGKILL for this process when its parent ends.

    Errors: OSError; ProcessLookupError where `parent`, the parent's id as it was known before, has ended
    already: then no signal would ever come.
    """
    kernel = ctypes.CDLL(None, use_errno=True)
    if kernel.prctl(PR_SET_PDEATHSIG, ctypes.c_ulong(signal.SIGKILL), 0, 0, 0):
        raise OSError(ctypes.get_errno(), "prctl")
    if os.getppid() != parent:
        raise ProcessLookupError(f"binding a process to its parent: process {parent} ended first")


@click.command(context_settings={"ignore_unknown_options": True})
@click.option("--rate", type=float, default=1.0, help="Seconds of its clock in a true one.")
@click.option("--offset-ms", type=float, default=0.0, help="How far its clock is ahead at the start.")
@click.option("--parent-death", is_flag=True, help="Killed when its parent ends.")
@click.option(
    "--parent",
    type=int,
    help="The parent's process id, where the caller knows it: closes the gap before this process asks.",
)
@click.argument("arguments", nargs=-1, required=True, type=click.UNPROCESSED)
def main(
    *, rate: float, offset_ms: float, parent_death: bool, parent: int | None, arguments: tuple[str, ...]
) -> None:
    """Run the module that is the first of ARGUMENTS."""
    if parent_death:
        try:
            die_with_parent(os.getppid() if parent is None else parent)
        except ProcessLookupError:
            sys.exit(1)
        if os.getppid() == INIT_PID and parent is None:
            sys.exit(1)  # the parent ended before this line
    if rate != 1.0 or offset_ms:
        skew_clocks(rate=rate, offset=int(offset_ms * MILLI))
    sys.argv = list(arguments)  # its first word is replaced by the module's path
    runpy.run_module(arguments[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
