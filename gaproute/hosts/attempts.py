"""The handle of an attempt that is not sent, and the callback types of the clients of hosts."""

from collections.abc import Callable
from typing import TypeAlias

from gaproute.core.in_flight import AttemptResult
from gaproute.interface import Result
from gaproute.loop import Loop

OnAttemptEnded: TypeAlias = Callable[[AttemptResult], object]
OnLoadOrderEnded: TypeAlias = Callable[[Result, int], object]  # (result, number of loaded instances)


class UnsentAttempt:
    """The handle of an attempt that is not sent; the loop calls `on_ended` with its result later."""

    __slots__ = ("on_ended",)

    started = False
    cancellable = True

    def __init__(self, loop: Loop, on_ended: OnAttemptEnded, result: Result) -> None:
        self.on_ended: OnAttemptEnded | None = on_ended
        loop.call_soon(self._end, AttemptResult(result, None))

    def _end(self, result: AttemptResult) -> None:
        if self.on_ended is not None:
            self.on_ended(result)

    def cancel(self) -> None:
        """Ends the attempt; `on_ended` is not called any more."""
        self.on_ended = None
