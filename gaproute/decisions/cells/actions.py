"""The type of the generators of the decisions on cells."""

from collections.abc import Generator
from typing import NamedTuple, TypeVar

from gaproute.interface import Action, Fail, Outcome, Reject

# A generator is resumed with the number of an attempt, with (now, outcome or None) after a wait, else with
# None.
Resumption = int | tuple[int, Outcome | None] | None
Returned = TypeVar("Returned")
Actions = Generator[Action, Resumption, Returned]
FinalAnswer = Reject | Fail


class Wakeup(NamedTuple):
    """The end of a wait: when it ended (ns), and the outcome that ended it, None if the time did."""

    now: int
    outcome: Outcome | None


def wakeup_of(resumption: Resumption) -> Wakeup:
    """What a wait was resumed with."""
    assert isinstance(resumption, tuple)
    return Wakeup(*resumption)
