"""Random numbers from a seed and words: each actor, the net and the load have streams of their own, so that a
fault which is taken out of a plan leaves most of what the others draw as it was, and a failing plan can be
made smaller."""

from random import Random

import xxhash

MILLION = 1_000_000


class SeededRandom:
    """`SeededRandom(seed, "net")`. Random.random is promised to be the same in every version of Python for a
    seed."""

    __slots__ = ("random",)

    def __init__(self, *words):
        self.random = Random(xxhash.xxh3_64_intdigest("\n".join(map(str, words)).encode())).random

    def below(self, n):
        return int(self.random() * n)

    def between(self, low, high):
        return low + int(self.random() * (high - low + 1))

    def often(self, millionth):
        """True in so many of a million."""
        return self.random() * MILLION < millionth

    def of(self, things):
        return things[int(self.random() * len(things))]


class NarrowRandom(SeededRandom):
    """Draws from the lowest part only, so that what is spread by chance to keep out of each other's way
    meets."""

    __slots__ = ("part",)

    def __init__(self, part, *words):
        super().__init__(*words)
        self.part = part

    def below(self, n):
        return int(self.random() * (n // self.part + 1)) if n > self.part else int(self.random() * n)
