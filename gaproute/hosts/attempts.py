"""An attempt that no host gets, and the callbacks of those that call a client of hosts."""

from collections.abc import Callable
from typing import TypeAlias

from gaproute.core.in_flight import AttemptResult
from gaproute.interface import Result
from gaproute.loop import Loop

OnAttemptEnded: TypeAlias = Callable[[AttemptResult], object]
OnLoadOrderEnded: TypeAlias = Callable[[Result, int], object]  # (result, instances that are loaded)


class UnsentAttempt:
    """An attempt that is not sent; `on_ended` is called with the result, never at once."""

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
        """Call nothing any more."""
        self.on_ended = None
