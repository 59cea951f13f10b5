"""What a client of hosts returns for an attempt, and an attempt that no host gets."""

from collections.abc import Callable
from typing import Protocol, TypeAlias

from gaproute.core.core import Heard
from gaproute.interface import Report, Result
from gaproute.loop import Loop

OnAttemptEnded: TypeAlias = Callable[[Heard], object]
OnLoadOrderEnded: TypeAlias = Callable[[Result, int], object]  # (result, instances that are loaded)
OnProbeEnded: TypeAlias = Callable[[bool, Report | None], object]  # (ready, load report)


class AttemptHandle(Protocol):
    """An attempt that was handed to a client of hosts."""

    @property
    def started(self) -> bool:
        """Whether the kernel has taken a byte of it."""

    @property
    def cancellable(self) -> bool:
        """Whether it is cancelled, though it started, once nobody waits for its answer."""

    def cancel(self) -> None:
        """End the attempt; its callback is not called any more."""


class UnsentAttempt:
    """An attempt that is not sent; `on_ended` is called with the result, never at once."""

    __slots__ = ("on_ended",)

    started = False
    cancellable = True

    def __init__(self, loop: Loop, on_ended: OnAttemptEnded, result: Result) -> None:
        self.on_ended: OnAttemptEnded | None = on_ended
        loop.soon(self._end, Heard(result, None))

    def _end(self, heard: Heard) -> None:
        if self.on_ended is not None:
            self.on_ended(heard)

    def cancel(self) -> None:
        """Call nothing any more."""
        self.on_ended = None
