"""Measured values: with the time of their measurement, and the last few of them."""

from typing import TypeVar

from gaproute.decisions.routing.parameters import MAX_SAMPLES

Sample = tuple[int, float]  # (time in ns, value); a plain tuple, as each answer adds several

Value = TypeVar("Value")


class RecentSamples(list[Value]):
    """The last `MAX_SAMPLES` values; there is one for each host and function, and a deque takes 600 bytes."""

    __slots__ = ()

    def append(self, value: Value) -> None:
        """Adds a value as the newest."""
        super().append(value)
        if len(self) > MAX_SAMPLES:
            del self[0]
