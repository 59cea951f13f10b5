"""Signals handled in turns of the loop, through a wake-up descriptor."""

import os
import signal
from collections.abc import Callable

from gaproute.loop.descriptors import READ, DescriptorWatcher

READ_SIZE = 512  # signals read at once, a byte each


class SignalHandlers:
    """What is called for each signal; none of it inside the interpreter's signal handler.

    The loop is handed in with each call, as it owns these: a cycle would keep its epolls open until a garbage
    collection where it is not closed.
    """

    def __init__(self) -> None:
        self.calls: dict[int, Callable[[], object]] = {}  # by signal number

    def set(self, loop: DescriptorWatcher, number: int, call: Callable[[], object]) -> None:
        """`call()` from now on. Errors: OSError where the wake-up descriptor cannot be had; nothing is left
        behind then."""
        if not self.calls:
            self._open_wakeup(loop)
        self.calls[number] = call
        signal.signal(number, lambda *_: None)

    def _open_wakeup(self, loop: DescriptorWatcher) -> None:
        reader, writer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        try:
            loop.watch(reader, READ, lambda events: self.read(loop, reader))
            signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        except BaseException:
            loop.unwatch(reader)
            os.close(reader)
            os.close(writer)
            raise

    def read(self, loop: DescriptorWatcher, reader: int) -> None:
        """Calls what is set for the signals that have come by the descriptor, each of them once."""
        try:
            numbers = os.read(reader, READ_SIZE)
        except (BlockingIOError, InterruptedError):
            return
        for number in dict.fromkeys(numbers):
            if number in self.calls:
                loop.guard(self.calls[number])  # one that fails must not take the next one's call
