"""Limits on sizes, which the invariants of the packages under `gaproute.shared` check."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple


class Bound(NamedTuple):
    """The number of items of one kind, with the limit on that number."""

    name: str
    size: int
    limit: int


def bound_violations(bounds: Iterable[Bound]) -> Iterator[str]:
    """Yields one violation, as text, for each size above its limit."""
    for name, size, limit in bounds:
        if size > limit:
            yield f"{size} {name}, {limit} at most"
