"""The interface of a source of random numbers, which is passed as an argument so that runs are repeatable."""

from collections.abc import MutableSequence
from typing import Protocol, TypeVar

Item = TypeVar("Item")


class RandomSource(Protocol):
    """A seeded generator, such as `gaproute.decisions.chance.RandomGenerator`."""

    def below(self, bound: int, /) -> int:
        """Draws a number from 0 to `bound` - 1, all equally likely."""


def partial_shuffle(items: MutableSequence[Item], count: int, random: RandomSource) -> None:
    """Moves a random sample of `count` items, in random order, to the front of `items`, in place."""
    for position in range(min(count, len(items))):
        other = position + random.below(len(items) - position)
        items[position], items[other] = items[other], items[position]


def shuffle(items: MutableSequence[Item], random: RandomSource) -> None:
    """Shuffles the items in place, by the algorithm of Fisher and Yates."""
    for position in range(len(items) - 1, 0, -1):
        other = random.below(position + 1)
        items[position], items[other] = items[other], items[position]
