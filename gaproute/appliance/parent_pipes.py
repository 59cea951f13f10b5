"""The child's side of the two pipes between a parent and its child; `child_process.py` is the other side."""

import os
from collections.abc import Callable
from contextlib import suppress

from gaproute.loop import Loop
from gaproute.loop.descriptors import READ

READY_MESSAGE = b"ready"


def watch_parent(loop: Loop, liveness_pipe: int, on_ended: Callable[[], None]) -> None:
    """Calls `on_ended` when the pipe is closed: the parent has ended or stops all its children together."""

    def ended(events: int) -> None:
        loop.unwatch(liveness_pipe)
        on_ended()

    loop.watch(liveness_pipe, READ, ended)


def report_ready(ready_pipe: int) -> None:
    """Reports to the parent that this process serves, and closes the pipe."""
    with suppress(OSError):  # if the parent has ended, the liveness pipe stops this process
        os.write(ready_pipe, READY_MESSAGE)
    os.close(ready_pipe)
