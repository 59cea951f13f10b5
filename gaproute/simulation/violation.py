"""The error that ends a run in which something was violated that must always hold."""

from typing import NamedTuple

from gaproute.errors import GaprouteError
from gaproute.simulation.fault_schedule import FaultSchedule
from gaproute.units import SECOND


class RunPosition(NamedTuple):
    """How far a run had come, with all that is needed to play it again."""

    schedule: FaultSchedule
    step: int
    now: int  # true time, ns
    events: tuple[str, ...]  # the last ones, as text


class InvariantViolationError(GaprouteError):
    """An invariant does not hold: `name` is the name of its check, `text` says what was found."""

    def __init__(self, text: str, position: RunPosition) -> None:
        self.name = text.partition(":")[0]
        self.text, self.position = text, position
        super().__init__(
            f"{text}; seed {position.schedule.seed}, step {position.step}, {position.now / SECOND:.6f} s"
        )

    def report(self) -> str:
        """The last events, the error, and the fault schedule as JSON."""
        return "\n".join([*self.position.events, str(self), self.position.schedule.to_json()])
