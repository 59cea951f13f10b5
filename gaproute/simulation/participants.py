"""What takes part in a run beside its processes: the checks and the workload."""

from typing import Protocol, TypeVar

from gaproute.simulation.process_slot import ProcessSlot

SimulationT = TypeVar("SimulationT", contravariant=True)  # the simulation that calls


class Checks(Protocol[SimulationT]):
    """What must hold during a run. The methods raise InvariantViolationError."""

    def after_step(self, simulation: SimulationT, slot: ProcessSlot, /) -> None:
        """The process in the slot has just acted or been started."""

    def before_send(self, simulation: SimulationT, slot: ProcessSlot, to: str, message: object, /) -> None:
        """The process in the slot is about to send a message."""

    def at_end(self, simulation: SimulationT, /) -> None:
        """The run has reached the time up to which it was to be played."""


class Workload(Protocol[SimulationT]):
    """What is done from outside while a simulation runs."""

    def next_time(self, now: int, /) -> int:
        """The true time of the next `run`, after the one at `now`."""

    def run(self, simulation: SimulationT, /) -> None:
        """Does what is due."""
