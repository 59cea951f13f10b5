"""The place of one process in a run: what outlives it, and the process that runs there now."""

from collections.abc import Callable, Sequence
from typing import Any, Protocol, TypeAlias

from gaproute.simulation.clock import SimulatedClock
from gaproute.simulation.disk import SimulatedDisk
from gaproute.simulation.seeded_random import SeededRandom

OutgoingMessages: TypeAlias = Sequence[tuple[str, object]]  # (receiver's name, message)
Outbox: TypeAlias = list[tuple[str, object]]  # the same, while it is being filled


class SimulatedProcess(Protocol):
    """What a simulation runs. All times are ns of the process's own clock.

    An OSError that a method raises ends the process, as an error that a supervisor sees; any other exception
    is a violation named `raised`.
    """

    @property
    def due(self) -> int | None:
        """When `tick` is to be called; None: not at all."""

    def tick(self, now: int, /) -> OutgoingMessages:
        """Does what is due; what is to be sent."""

    def hear(self, now: int, sender: str, message: Any, /) -> OutgoingMessages:
        """Takes a message, which it must not change; what is to be sent.

        Each kind of process takes messages of its own, hence Any.
        """


# Makes the process of a slot from the slot's name, disk, random numbers and own time.
ProcessFactory: TypeAlias = Callable[[str, SimulatedDisk, SeededRandom, int], SimulatedProcess]


class ProcessSlot:
    """The slot `number`; its `process` is None while none runs there.

    `drift`: the clock's own, in millionths; `fault_drifts` has those of faults by the fault's number.
    """

    __slots__ = (
        "name",
        "number",
        "factory",
        "disk",
        "clock",
        "random",
        "process",
        "incarnation",
        "due",
        "pauses",
        "inbox",
        "drift",
        "fault_drifts",
    )

    def __init__(self, name: str, number: int, factory: ProcessFactory, random: SeededRandom) -> None:
        self.name, self.number, self.factory, self.random = name, number, factory, random
        self.disk, self.clock = SimulatedDisk(), SimulatedClock()
        self.drift = 0
        self.fault_drifts: dict[int, int] = {}
        self.process: SimulatedProcess | None = None
        self.incarnation = 0  # how often a process was started here
        self.due: int | None = None  # true time of the tick that counts; all others are outdated
        self.pauses = 0  # faults that pause the process at the moment
        self.inbox: list[tuple[str, object]] = []  # sender and message that came while it was paused

    def update_drift(self, true: int) -> None:
        """The clock drifts as the latest fault says that lasts, else by its own drift."""
        drifts = self.fault_drifts
        self.clock.set_drift(true, drifts[max(drifts)] if drifts else self.drift)
