"""Handles signals in turns of the loop, by means of a wake-up descriptor."""

import os
import signal
from collections.abc import Callable

from gaproute.loop.descriptors import READ, DescriptorWatcher

READ_SIZE = 512  # bytes read in one call; each byte is a signal number


class SignalHandlers:
    """The callbacks of signals, which are called in a turn of the loop and not inside the signal handler.

    The loop is an argument of each method and is not stored. The loop owns this object, and a reference cycle
    would leave the epolls of an abandoned loop open until a garbage collection.
    """

    def __init__(self) -> None:
        self.callbacks: dict[int, Callable[[], object]] = {}  # by signal number

    def set_callback(self, loop: DescriptorWatcher, number: int, call: Callable[[], object]) -> None:
        """Sets `call()` as the callback of signal `number`, in place of an earlier callback.

        Errors: OSError if the wake-up descriptor cannot be opened; then nothing is changed.
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
        """Reads signal numbers from the wake-up descriptor and calls the callback of each number once."""
        try:
            numbers = os.read(reader, READ_SIZE)
        except (BlockingIOError, InterruptedError):
            return
        for number in dict.fromkeys(numbers):
            if number in self.callbacks:
                # An error does not keep the next callback from being called.
                loop.call_guarded(self.callbacks[number])
