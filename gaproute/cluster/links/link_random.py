"""Seeded chance of links: a generator for each link and sort of traffic."""

from __future__ import annotations

from collections.abc import Callable

from gaproute.cluster.addresses import Link
from gaproute.cluster.links.faults import Traffic
from gaproute.shared.randomness import RandomSource

WORD_MASK = (1 << 64) - 1


class LinkRandom:
    """The generators of one emulator. `make_source(seed)` makes one.

    They are made of the seed alone, so that it does not matter which of several emulators serves a link, or
    what other links carry.
    """

    def __init__(self, seed: int, make_source: Callable[[int], RandomSource]) -> None:
        self._seed, self._make_source = seed, make_source
        self._sources: dict[tuple[Link, Traffic], RandomSource] = {}

    def source(self, link: Link, traffic: Traffic) -> RandomSource:
        """The generator of this link's streams or datagrams."""
        key = link, traffic
        found = self._sources.get(key)
        if found is None:
            number = self._seed << 32 ^ link.number << 1 ^ (traffic is Traffic.STREAMS)
            found = self._sources[key] = self._make_source(mix_bits(number))
        return found


def mix_bits(number: int) -> int:
    """A seed whose every bit depends on each of `number`'s (the finaliser of SplitMix64, Steele et al. 2014).

    Neighbouring links must not draw alike.
    """
    number = number + 0x9E3779B97F4A7C15 & WORD_MASK
    number = (number ^ number >> 30) * 0xBF58476D1CE4E5B9 & WORD_MASK
    number = (number ^ number >> 27) * 0x94D049BB133111EB & WORD_MASK
    return number ^ number >> 31
