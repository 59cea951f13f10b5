"""What the invariants of these packages share: bounds of sizes."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple


class Bound(NamedTuple):
    """How many of something there are, and how many there may be."""

    name: str
    size: int
    limit: int


def bound_violations(bounds: Iterable[Bound]) -> Iterator[str]:
    """The violations as text, one for each size above its limit."""
    for name, size, limit in bounds:
        if size > limit:
            yield f"{size} {name}, {limit} at most"
