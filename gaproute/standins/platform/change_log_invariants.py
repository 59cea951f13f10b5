"""What must hold of the stand-in change log at any time, as gateways are judged by what it noted.

Each check gives its breaches as text; its name stands in taps.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from gaproute.standins.platform.gateway_feed import GatewayFeed


class Breach(NamedTuple):
    """A check that failed, and what it found."""

    check: str
    text: str


def numbers(feeds: Sequence[GatewayFeed], event_count: int) -> Iterator[str]:
    """No feed has released or counted an event that is not written."""
    for feed in feeds:
        for name, number in (("due", feed.released), ("counted", feed.counted)):
            if not 0 <= number <= event_count:
                yield f"feed {feed.number}: {name} {number} of {event_count}"


def counted(feeds: Sequence[GatewayFeed], event_count: int) -> Iterator[str]:
    """On a feed without a fault all that is written counts as known to the gateway."""
    for feed in feeds:
        if not feed.faults and feed.counted != event_count:
            yield f"feed {feed.number}: {feed.counted} of {event_count} counted"


CHECKS = (numbers, counted)


def breaches(feeds: Sequence[GatewayFeed], event_count: int) -> list[Breach]:
    """All breaches at this moment."""
    return [Breach(check.__name__, text) for check in CHECKS for text in check(feeds, event_count)]
