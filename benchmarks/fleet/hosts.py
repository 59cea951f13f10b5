"""Stand-in hosts: they load instances by themselves, slow down under load, warm up, and may go down."""

from __future__ import annotations

from typing import NamedTuple

from benchmarks.fleet.clock import MILLI, SECOND

LOAD_TIME = 900 * MILLI  # of an instance
WORK_TIME = 70 * MILLI  # of a request on an idle host
ROUND_TRIP = MILLI
LANES = 4  # of a host of size 1, which works at full speed on up to twice as many requests
CAPACITY = 4.0  # of a host of size 1, as the host list has it
FULL = 4 * LANES  # requests in flight at which a host of size 1 reports all of its CPU busy
COLD_SHARE, COLD_TIME = 0.17, 18 * SECOND  # of its strength that a host has at its start; until it has all


class Service(NamedTuple):
    """What becomes of a request that a host has accepted."""

    duration: int  # ns until its answer
    load_wait: int  # ns of it that an instance was loaded
    began_load: bool
    was_warm: bool


class FleetHost:
    """A host of a play. `started`: when it began to warm up, None for one that is warm from the beginning.

    `in_flight` counts requests, `instances` has the time from which each function is loaded, `arrivals` the
    times at which requests came. An answer of an earlier `incarnation` is lost.
    """

    def __init__(self, zone: int = 0, size: float = 1.0, started: int | None = None) -> None:
        self.zone, self.size, self.started = zone, size, started
        self.in_flight = 0
        self.instances: dict[str, int] = {}
        self.is_down, self.incarnation = False, 0
        self.arrivals: list[int] = []

    def cpu_share(self) -> float:
        """The share of its CPU that the host reports busy."""
        return min(1.0, self.in_flight / (FULL * self.size))

    def concurrency(self, now: int) -> float:
        """Requests that the host works on without slowing down."""
        strength = 2 * LANES * self.size
        if self.started is None or now - self.started >= COLD_TIME:
            return strength
        return strength * (COLD_SHARE + (1 - COLD_SHARE) * (now - self.started) / COLD_TIME)

    def accept(self, now: int, function: str) -> Service:
        """Take a request."""
        self.in_flight += 1
        self.arrivals.append(now)
        loaded_at = self.instances.get(function)
        began_load, was_warm = loaded_at is None, loaded_at is not None and loaded_at <= now
        if loaded_at is None:
            loaded_at = self.instances[function] = now + LOAD_TIME
        load_wait = max(0, loaded_at - now)
        work_time = int(WORK_TIME * max(1.0, self.in_flight / self.concurrency(now)))
        return Service(load_wait + ROUND_TRIP + work_time, load_wait, began_load, was_warm)

    def go_down(self) -> None:
        """Lose all that the host held."""
        self.is_down, self.in_flight, self.instances = True, 0, {}
        self.incarnation += 1

    def come_back(self, now: int) -> None:
        """Be up again, and warm up."""
        self.is_down, self.started = False, now
