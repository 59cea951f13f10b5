"""Handles signals in turns of the loop, through a wake-up descriptor."""

import os
import signal
from collections.abc import Callable

from gaproute.loop.descriptors import READ, DescriptorWatcher

READ_SIZE = 512  # bytes read in one call; each is the number of a signal


class SignalHandlers:
    """The callbacks of signals; they are called in a turn of the loop, outside the signal handler.

    The loop is an argument of each method and is not stored: it owns this object, and a reference cycle would
    leave the epolls of an abandoned loop open until a garbage collection.
    """

    def __init__(self) -> None:
        self.callbacks: dict[int, Callable[[], object]] = {}  # by signal number

    def set_callback(self, loop: DescriptorWatcher, number: int, call: Callable[[], object]) -> None:
        """Has `call()` called for each signal of that number, in place of an earlier callback.

        Errors: OSError where the wake-up descriptor cannot be opened; then nothing is changed.
        """
        if not self.callbacks:
            self._open_wakeup(loop)
        self.callbacks[number] = call
        signal.signal(number, lambda *_: None)

    def _open_wakeup(self, loop: DescriptorWatcher) -> None:
        reader, writer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        try:
            loop.watch(reader, READ, lambda events: self.dispatch(loop, reader))
            signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        except BaseException:
            loop.unwatch(reader)
            os.close(reader)
            os.close(writer)
            raise

    def dispatch(self, loop: DescriptorWatcher, reader: int) -> None:
        """Calls the callbacks of the signals that the descriptor reports, once for each number."""
        try:
            numbers = os.read(reader, READ_SIZE)
        except (BlockingIOError, InterruptedError):
            return
        for number in dict.fromkeys(numbers):
            if number in self.callbacks:
                loop.call_guarded(self.callbacks[number])  # the next one is called even if this one fails
