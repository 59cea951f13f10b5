"""Runs the invariants of a run after each step and ends the run where one is violated.

Each check returns texts of what is violated, "name: what was found"; none if all is well. A check may be an
object that remembers what it saw.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from gaproute.simulation.process_slot import ProcessSlot, SimulatedProcess
from gaproute.simulation.simulation import Simulation

Violations: TypeAlias = Iterable[str]
StepCheck: TypeAlias = Callable[[Simulation, ProcessSlot], Violations]
SendCheck: TypeAlias = Callable[[Simulation, ProcessSlot, str, object], Violations]
StateCheck: TypeAlias = Callable[[Simulation], Violations]


@dataclass
class InvariantChecks:
    """The checks of a run, by when they are due.

    `after_each_step` looks at the one process that has just acted; `before_each_send` at each message with
    its receiver; `periodic` at everything, at every `period`th step and at the end; `final` at the end alone.
    """

    after_each_step: Sequence[StepCheck] = ()
    before_each_send: Sequence[SendCheck] = ()
    periodic: Sequence[StateCheck] = ()
    final: Sequence[StateCheck] = ()
    period: int = 1

    def __post_init__(self) -> None:
        self._steps_left = self.period

    def after_step(self, simulation: Simulation, slot: ProcessSlot) -> None:
        """Raises InvariantViolationError."""
        for check in self.after_each_step:
            _raise_first(simulation, check(simulation, slot))
        self._steps_left -= 1
        if self._steps_left <= 0:
            self._steps_left = self.period
            self._check_state(simulation, self.periodic)

    def before_send(self, simulation: Simulation, slot: ProcessSlot, to: str, message: object) -> None:
        """Raises InvariantViolationError."""
        for check in self.before_each_send:
            _raise_first(simulation, check(simulation, slot, to, message))

    def at_end(self, simulation: Simulation) -> None:
        """Raises InvariantViolationError."""
        self._check_state(simulation, (*self.periodic, *self.final))

    @staticmethod
    def _check_state(simulation: Simulation, checks: Sequence[StateCheck]) -> None:
        for check in checks:
            _raise_first(simulation, check(simulation))


def _raise_first(simulation: Simulation, violations: Violations) -> None:
    for text in violations:
        raise simulation.timeline.violation(text)


class NeverDecreases:
    """A StepCheck: what `value(process)` returns never decreases while the process has the same disk."""

    def __init__(self, name: str, value: Callable[[SimulatedProcess | None], int | None]) -> None:
        self.name, self.value = name, value
        self._seen: dict[tuple[str, int], int] = {}  # by the slot's name and the disk's generation

    def __call__(self, simulation: Simulation, slot: ProcessSlot) -> Violations:
        """Looks at the process that has just acted."""
        value = self.value(slot.process)
        if value is None:
            return
        key = slot.name, slot.disk.generation
        before = self._seen.get(key)
        self._seen[key] = value
        if before is not None and value < before:
            yield f"{self.name}: {value} after {before} at {slot.name}"
