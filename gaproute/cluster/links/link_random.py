"""Seeded random generators, one for each link and sort of traffic."""

from __future__ import annotations

from collections.abc import Callable

from gaproute.cluster.addresses import Link
from gaproute.cluster.links.faults import LinkTraffic
from gaproute.shared.randomness import RandomSource

WORD_MASK = (1 << 64) - 1


class LinkRandom:
    """The generators of one emulator. `make_source(seed)` makes one.

    Each depends on the seed and the link alone, so that it does not matter which of several emulators serves
    the link, or what other links carry.
    """

    def __init__(self, seed: int, make_source: Callable[[int], RandomSource]) -> None:
        self._seed, self._make_source = seed, make_source
        self._sources: dict[tuple[Link, LinkTraffic], RandomSource] = {}

    def source(self, link: Link, traffic: LinkTraffic) -> RandomSource:
        """The generator of this link's streams or datagrams."""
        key = link, traffic
        found = self._sources.get(key)
        if found is None:
            number = self._seed << 32 ^ link.number << 1 ^ (traffic is LinkTraffic.STREAMS)
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
