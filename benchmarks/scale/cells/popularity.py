"""Which functions are called how often, by Zipf's law."""

from __future__ import annotations

from array import array
from bisect import bisect_left
from itertools import accumulate
from random import Random


class Popularity:
    """Draws one of so many functions; the n-th has a weight of 1 / n**exponent."""

    def __init__(self, functions: int, exponent: float, random: Random) -> None:
        self._names = [f"function{rank}" for rank in range(functions)]
        self._sums = array("d", accumulate(1 / rank**exponent for rank in range(1, functions + 1)))
        self._random = random

    def draw(self) -> str:
        """A function's name."""
        return self._names[bisect_left(self._sums, self._random.random() * self._sums[-1])]
