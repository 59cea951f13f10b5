"""One gateway process under a parent: started, watched until it serves, asked to end or killed.

Two pipes connect the processes. The child writes to the ready pipe once it serves. The parent has the writing
end of the liveness pipe and never writes to it: its end of file means that the parent has ended, or that all
children are to end together.
"""

import os
import signal
import subprocess
from collections.abc import Iterable, Sequence
from contextlib import ExitStack

from gaproute.loop import Loop, Promise
from gaproute.loop.descriptors import READ
from gaproute.loop.timers import Timer
from gaproute.units import SECOND

MAX_START_TIME = 30 * SECOND  # until a child serves, on a busy machine; then it is killed
READY_MESSAGE_BYTES = 16  # longer than the message of a child


class ChildProcess:
    """One process. Errors: OSError where it cannot be started; then nothing of it is left.

    `ready` is settled with True once the process serves, with False if it ended before; `ended` with its
    return code. `started`: when it was started, ns of the loop's clock.
    """

    def __init__(self, loop: Loop, command: Sequence[str], descriptors: Iterable[int]) -> None:
        """`descriptors`: those of the listening sockets that the child inherits."""
        self.loop = loop
        self.started: int = loop.now()
        self.ready, self.ended = Promise(), Promise()
        self.liveness_pipe: int | None = None
        self.ready_pipe: int | None = None
        self.pidfd: int | None = None
        self.process: subprocess.Popen[bytes]
        with ExitStack() as rollback:
            self._start(command, descriptors, rollback)
            self.start_timer: Timer = loop.call_later(MAX_START_TIME, self.kill)
            rollback.pop_all()

    def stop(self) -> None:
        """Asks this process to end, while others go on accepting clients."""
        if not self.ended.ready:
            self.process.send_signal(signal.SIGTERM)

    def stop_with_all(self) -> None:
        """Asks the process to end together with all others, so that it accepts the clients in the queue."""
        self._close_liveness_pipe()
        if not self.ready.ready:
            self.stop()  # it does not watch the pipe yet, and has accepted no client

    def kill(self) -> None:
        """Kills the process."""
        if not self.ended.ready:
            self.process.kill()

    def _start(self, command: Sequence[str], descriptors: Iterable[int], rollback: ExitStack) -> None:
        with ExitStack() as child_ends:
            liveness_end, self.liveness_pipe = os.pipe2(os.O_CLOEXEC)
            child_ends.callback(os.close, liveness_end)
            rollback.callback(self._close_liveness_pipe)
            self.ready_pipe, ready_end = os.pipe2(os.O_CLOEXEC | os.O_NONBLOCK)
            child_ends.callback(os.close, ready_end)
            rollback.callback(self._close_ready_pipe)
            self.process = _spawn(command, liveness_end, ready_end, descriptors)
            rollback.callback(self._kill_and_wait)
        self.pidfd = os.pidfd_open(self.process.pid)
        rollback.callback(self._close_pidfd)
        self.loop.watch(self.pidfd, READ, self._on_exit)
        self.loop.watch(self.ready_pipe, READ, self._on_ready)

    def _on_ready(self, events: int) -> None:
        assert self.ready_pipe is not None
        try:
            message = os.read(self.ready_pipe, READY_MESSAGE_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        self._close_ready_pipe()
        if message:  # without a message the process has ended
            self.start_timer.cancel()
            self.ready.set(True)

    def _on_exit(self, events: int) -> None:
        self.process.wait()
        self._close_pidfd()
        self._close_liveness_pipe()
        self._close_ready_pipe()
        self.start_timer.cancel()
        self.ready.set(False)
        self.ended.set(self.process.returncode)

    def _kill_and_wait(self) -> None:
        self.process.kill()
        self.process.wait()

    def _close_liveness_pipe(self) -> None:
        if self.liveness_pipe is not None:
            os.close(self.liveness_pipe)
            self.liveness_pipe = None

    def _close_ready_pipe(self) -> None:
        if self.ready_pipe is not None:
            self.loop.unwatch(self.ready_pipe)
            os.close(self.ready_pipe)
            self.ready_pipe = None

    def _close_pidfd(self) -> None:
        if self.pidfd is not None:
            self.loop.unwatch(self.pidfd)
            os.close(self.pidfd)
            self.pidfd = None


def _spawn(
    command: Sequence[str], liveness_end: int, ready_end: int, descriptors: Iterable[int]
) -> subprocess.Popen[bytes]:
    """Starts the process with its ends of the pipes and the listening sockets."""
    inherited = (liveness_end, ready_end, *descriptors)
    for descriptor in inherited:
        os.set_inheritable(descriptor, True)
    pipes = ("--life", str(liveness_end), "--ready", str(ready_end))
    return subprocess.Popen([*command, *pipes], pass_fds=inherited)
