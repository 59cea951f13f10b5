"""One gateway process under a parent process, which starts it, waits until it serves, and stops it.

Two pipes connect the two processes. The child writes to the ready pipe once it serves. The parent holds the
write end of the liveness pipe and never writes to it: the child reads the end of file when the parent has
ended, or when the parent closes the pipe to stop all children together.
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

MAX_START_TIME = 30 * SECOND  # a child that does not serve by then is killed; long enough for a busy machine
MAX_READY_MESSAGE_BYTES = 16  # more than the `READY_MESSAGE` of a child


class ChildProcess:
    """A child process. Errors: OSError if it cannot be started; no process and no descriptor is left then.

    The promise `ready` is settled with True once the process serves, or with False if it ends before. The
    promise `ended` is settled with the return code. `started_at`: ns of the loop's clock.
    """

    def __init__(self, loop: Loop, command: Sequence[str], descriptors: Iterable[int]) -> None:
        """`descriptors`: descriptors of the listening sockets that the child inherits."""
        self.loop = loop
        self.started_at: int = loop.now()
        self.ready, self.ended = Promise(), Promise()
        self.liveness_pipe: int | None = None
        self.ready_pipe: int | None = None
        self.pidfd: int | None = None
        self.process: subprocess.Popen[bytes]
        with ExitStack() as rollback:
            self._start_process(command, descriptors, rollback)
            self.start_timer: Timer = loop.call_later(MAX_START_TIME, self.kill)
            rollback.pop_all()

    def stop(self) -> None:
        """Asks this process to stop, while other processes go on accepting clients."""
        if not self.ended.ready:
            self.process.send_signal(signal.SIGTERM)

    def stop_with_all(self) -> None:
        """Asks this process to stop together with all others; it first accepts the clients in the queue."""
        self._close_liveness_pipe()
        if not self.ready.ready:
            # Until the child serves, it does not watch the liveness pipe and has accepted no client
            self.stop()

    def kill(self) -> None:
        """Kills the process."""
        if not self.ended.ready:
            self.process.kill()

    def _start_process(self, command: Sequence[str], descriptors: Iterable[int], rollback: ExitStack) -> None:
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
            message = os.read(self.ready_pipe, MAX_READY_MESSAGE_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        self._close_ready_pipe()
        if message:  # an empty read means that the process has ended
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
    """Starts the process, which inherits its ends of the pipes and the listening sockets."""
    inherited = (liveness_end, ready_end, *descriptors)
    for descriptor in inherited:
        os.set_inheritable(descriptor, True)
    pipes = ("--life", str(liveness_end), "--ready", str(ready_end))
    return subprocess.Popen([*command, *pipes], pass_fds=inherited)
