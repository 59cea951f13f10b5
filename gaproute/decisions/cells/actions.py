"""The types of the generators that yield the actions of the decisions on cells."""

from collections.abc import Generator
from typing import NamedTuple, TypeVar

from gaproute.interface import Action, Fail, Outcome, Reject

# The value with which a generator is resumed: the number of the attempt after an `Attempt`, (now, outcome or
# None) after a `Wait`, None after every other action
Resumption = int | tuple[int, Outcome | None] | None
Returned = TypeVar("Returned")
Actions = Generator[Action, Resumption, Returned]
FinalAction = Reject | Fail


class Wakeup(NamedTuple):
    """The end of a wait: its time (ns), and the outcome that ended it, or None if the time ran out."""

    now: int
    outcome: Outcome | None


def wakeup_of(resumption: Resumption) -> Wakeup:
    """The value with which a generator was resumed after a `Wait`."""
    assert isinstance(resumption, tuple)
    return Wakeup(*resumption)
