"""The type of the generators by which the cells' decisions are driven."""

from collections.abc import Generator
from typing import NamedTuple, TypeVar

from gaproute.interface import Action, Fail, Outcome, Reject

# What a generator is resumed with: the number of an attempt; (now, outcome or None) after a wait; else None.
Resumption = int | tuple[int, Outcome | None] | None
Returned = TypeVar("Returned")
Actions = Generator[Action, Resumption, Returned]
FinalAnswer = Reject | Fail


class Wakeup(NamedTuple):
    """What ended a wait: an outcome, or None for the time; and when, ns."""

    now: int
    outcome: Outcome | None


def wakeup_of(resumption: Resumption) -> Wakeup:
    """What a wait was resumed with."""
    assert isinstance(resumption, tuple)
    return Wakeup(*resumption)
