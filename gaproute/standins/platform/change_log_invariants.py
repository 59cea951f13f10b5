"""What must hold of the stand-in change log at any time, as gateways are judged by what it noted.

Each check gives its violations as text; its name stands in taps.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from gaproute.standins.invariant_violation import InvariantViolation
from gaproute.standins.platform.gateway_feed import GatewayFeed


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


def find_violations(feeds: Sequence[GatewayFeed], event_count: int) -> list[InvariantViolation]:
    """All violations at this moment."""
    return [
        InvariantViolation(check.__name__, text) for check in CHECKS for text in check(feeds, event_count)
    ]
