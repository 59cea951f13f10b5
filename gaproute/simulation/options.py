"""How a run differs from the usual one."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from gaproute.simulation.process_slot import ProcessSlot

# Finds among the slots, by name, the one whose process leads; None where no process does.
LeaderFinder: TypeAlias = Callable[[Mapping[str, ProcessSlot]], ProcessSlot | None]


def no_leader(slots: Mapping[str, ProcessSlot]) -> ProcessSlot | None:
    """No process leads."""
    return None


class MessageCodec(NamedTuple):
    """Messages go as bytes over the simulated network."""

    encode: Callable[[object], object]
    decode: Callable[[object], object]


@dataclass(frozen=True, kw_only=True, slots=True)
class SimulationOptions:
    """`drifts`: of the clocks in millionths by name, 0 where a name is missing; None: drawn, up to MAX_DRIFT.

    `codec`: without one processes hand each other objects, which they must not change. `leader` says which
    slot a fault's LEADER stands for. `narrow_part`: the processes draw from such a part of each range only.
    """

    drifts: Mapping[str, int] | None = None
    codec: MessageCodec | None = None
    leader: LeaderFinder = no_leader
    narrow_part: int = 0


DEFAULT_OPTIONS = SimulationOptions()
