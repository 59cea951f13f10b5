"""Stand-in hosts: they load what is missing, keep idle instances for the keep-alive, and may go down."""

from __future__ import annotations

from typing import NamedTuple

from benchmarks.fleet.clock import MILLI

LOAD_TIME = 440 * MILLI  # of an instance
WORK_TIME = 50 * MILLI  # of a call, while the host has capacity
LOADS_AT_ONCE = 4  # that a host works at; more wait


class CallService(NamedTuple):
    """What becomes of a call that a host has accepted."""

    duration: int  # ns until its answer
    was_warm: bool
    began_load: bool


class CellHost:
    """`capacity`: calls at a time at full speed; with more in flight each takes longer.

    `worked`: ns that all calls took, without their loads. `slowdown`: by which all takes longer. A host with
    `is_mute` takes calls and never answers.
    """

    def __init__(self, name: str, cell: str, zone: str, capacity: float, keep_alive: int) -> None:
        self.name, self.cell, self.zone = name, cell, zone
        self.capacity, self.keep_alive = capacity, keep_alive
        self.loaded_until: dict[str, int] = {}  # by function
        self._loaded_at: dict[str, int] = {}  # by function
        self.in_flight, self.slowdown, self.worked = 0, 1.0, 0
        self._load_ends: list[int] = []  # of the loads that go on
        self.is_up, self.is_mute = True, False

    def accept(self, now: int, function: str) -> CallService:
        """Take a call."""
        self.in_flight += 1
        work = int(WORK_TIME * self.slowdown * max(1.0, self.in_flight / self.capacity))
        self.worked += work
        loaded_at = self._loaded_at.get(function, 0)
        began_load = self.loaded_until.get(function, -1) < now
        if began_load:
            loaded_at = self._load(now, function)
        load_wait = max(0, loaded_at - now)
        self.loaded_until[function] = now + load_wait + work + self.keep_alive
        return CallService(load_wait + work, load_wait == 0, began_load)

    def _load(self, now: int, function: str) -> int:
        """Load an instance; when it is there."""
        self._load_ends = sorted(end for end in self._load_ends if end > now)
        begins = now if len(self._load_ends) < LOADS_AT_ONCE else self._load_ends[-LOADS_AT_ONCE]
        loaded_at = self._loaded_at[function] = begins + int(LOAD_TIME * self.slowdown)
        self._load_ends.append(loaded_at)
        return loaded_at

    def go_down(self) -> None:
        """The process ends; its instances are gone."""
        self.is_up, self.in_flight, self.loaded_until, self._load_ends = False, 0, {}, []

    def come_back(self) -> None:
        """A new process, without instances."""
        self.is_up = True
