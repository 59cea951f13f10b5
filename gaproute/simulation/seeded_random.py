"""Random numbers that follow from a seed and a few labels.

Each process, the network and the load have generators of their own. Taking one fault out of a schedule then
leaves most of what the others draw as it was, so that a failing schedule can be made smaller.
"""

from collections.abc import Sequence
from random import Random
from typing import TypeVar

import xxhash

from gaproute.simulation.units import MILLION

Item = TypeVar("Item")


class SeededRandom:
    """A generator for the given labels, such as `SeededRandom(seed, "network")`.

    `Random.random` gives the same numbers for a seed in every version of Python; its other methods need not.
    """

    __slots__ = ("random",)

    def __init__(self, *labels: object) -> None:
        seed = xxhash.xxh3_64_intdigest("\n".join(map(str, labels)).encode())
        self.random = Random(seed).random

    def below(self, bound: int) -> int:
        """A number from 0 to `bound` - 1."""
        return int(self.random() * bound)

    def between(self, low: int, high: int) -> int:
        """A number from `low` to `high`, both included."""
        return low + int(self.random() * (high - low + 1))

    def happens(self, millionths: int) -> bool:
        """True with this probability."""
        return self.random() * MILLION < millionths

    def choice(self, items: Sequence[Item]) -> Item:
        """One of the items, each as likely as the others."""
        return items[int(self.random() * len(items))]


class NarrowRandom(SeededRandom):
    """Draws from the lowest `part`th of a range only.

    What processes spread at random to keep out of each other's way, such as election timeouts, then collides.
    """

    __slots__ = ("part",)

    def __init__(self, part: int, *labels: object) -> None:
        super().__init__(*labels)
        self.part = part

    def below(self, bound: int) -> int:
        """A number from 0 to about `bound` / `part`; from the whole range where that is too small."""
        return int(self.random() * (bound // self.part + 1 if bound > self.part else bound))
