"""`python -m gaproute.cluster.child [--rate R] [--offset-ms M] [--parent-death] -- MODULE WORDS...`: runs a
module of the program, unchanged, as `python -m MODULE WORDS...` would, on a clock that is wrong, bound to
its parent's life.

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

import ctypes
import os
import runpy
import signal
import sys
import time

import click

SECOND, MILLI = 1_000_000_000, 1_000_000
PR_SET_PDEATHSIG = 1  # prctl of Linux: a signal for this process when the thread that started it ends
CLOCKS = {"monotonic_ns": 1, "monotonic": SECOND, "time_ns": 1, "time": SECOND}  # ns in its unit


def wrong(true, start, rate, offset):
    """A clock made of `true`: at `rate` from its value `start` on, ahead by `offset`, in its unit."""
    whole = isinstance(start, int)

    def clock():
        gone = (true() - start) * rate
        return start + offset + (int(gone) if whole else gone)

    return clock


def set_clocks(rate, offset):
    """Replaces the functions of `time`; `offset` in ns. Errors: ValueError for a rate that is none."""
    if not 0 < rate < 100:
        raise ValueError("a clock's rate is above 0 and below 100")
    for name, unit in CLOCKS.items():
        true = getattr(time, name)
        setattr(time, name, wrong(true, true(), rate, offset if unit == 1 else offset / unit))


def die_with(parent):
    """SIGKILL for this process when its parent ends. Errors: OSError; ProcessLookupError where `parent`, the
    parent's id as it was known before, has ended already: then no signal would ever come."""
    kernel = ctypes.CDLL(None, use_errno=True)
    if kernel.prctl(PR_SET_PDEATHSIG, ctypes.c_ulong(signal.SIGKILL), 0, 0, 0):
        raise OSError(ctypes.get_errno(), "prctl")
    if os.getppid() != parent:
        raise ProcessLookupError("the parent ended first")


@click.command(context_settings={"ignore_unknown_options": True})
@click.option("--rate", type=float, default=1.0, help="Seconds of its clock in a true one.")
@click.option("--offset-ms", type=float, default=0.0, help="How far its clock is ahead at the start.")
@click.option("--parent-death", is_flag=True, help="Killed when its parent ends.")
@click.option(
    "--parent",
    type=int,
    help="The parent's process id, where the caller knows it: closes the gap before this process asks.",
)
@click.argument("words", nargs=-1, required=True, type=click.UNPROCESSED)
def main(rate, offset_ms, parent_death, parent, words):
    """Run the module that is the first of WORDS."""
    if parent_death:
        try:
            die_with(os.getppid() if parent is None else parent)
        except ProcessLookupError:
            sys.exit(1)
        if os.getppid() == 1 and parent is None:
            sys.exit(1)  # taken over by init: the parent ended before this line
    if rate != 1.0 or offset_ms:
        set_clocks(rate, int(offset_ms * MILLI))
    sys.argv = list(words)  # its first word is replaced by the module's path
    runpy.run_module(words[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
