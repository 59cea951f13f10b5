"""A child's side of the two pipes to its parent (`child_process.py` has the other side)."""

import os
from collections.abc import Callable
from contextlib import suppress

from gaproute.loop import Loop
from gaproute.loop.descriptors import READ

READY_MESSAGE = b"ready"


def watch_parent(loop: Loop, liveness_pipe: int, on_ended: Callable[[], None]) -> None:
    """Calls `on_ended` when the pipe ends: the parent has ended, or all processes are to end together."""

    def ended(events: int) -> None:
        loop.unwatch(liveness_pipe)
        on_ended()

    loop.watch(liveness_pipe, READ, ended)


def report_ready(ready_pipe: int) -> None:
    """Reports to the parent that this process serves, and closes the pipe."""
    with suppress(OSError):  # the parent has ended, which the liveness pipe shows
        os.write(ready_pipe, READY_MESSAGE)
    os.close(ready_pipe)
