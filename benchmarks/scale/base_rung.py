"""What a rung of any fleet on the simulated clock has: limits, time, counts a gateway and second."""

from __future__ import annotations

import ctypes
import gc
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from benchmarks.scale.limits import MEGABYTE, Limits, resident_bytes
from gaproute.hollow.simulation import SimulatedFleet
from gaproute.hollow.simulation.fleet import STEP

SECOND = 1_000_000_000
CALM = 15  # simulated seconds of a counting
LONG = 60  # simulated seconds until which something is waited for
SLICE = 1  # simulated seconds between two checks of the limits

Counters = Mapping[str, float]  # of a gateway, by "part.counter"
Condition = Callable[[], object]


def release_garbage() -> None:
    """Free what nobody holds, and give it back to the system where the C library can."""
    gc.collect()
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


class BaseRung(ABC):
    """Plays one size; `figures` fills as it goes, so that a rung that is stopped shows what it had.

    A kind of rung makes its fleet in `make_fleet` and takes its figures in `measure`.
    """

    fleet: SimulatedFleet  # once the play has begun

    def __init__(self, size: int, limits: Limits) -> None:
        self.size, self.limits = size, limits
        self.figures: dict[str, Any] = {}
        release_garbage()  # or the fleet's memory would be lessened by what is freed during the play
        self._resident_before = resident_bytes()

    @abstractmethod
    def make_fleet(self) -> SimulatedFleet:
        """The fleet."""

    @abstractmethod
    def measure(self) -> None:
        """Take all figures. Errors: `LimitReachedError`."""

    def play(self) -> None:
        """Make the fleet and measure it. Errors: `LimitReachedError`."""
        began = time.process_time()
        self.fleet = self.make_fleet()
        gc.disable()  # a collection would search the memory of all gateways, in a call of any one
        try:
            self.measure()
        finally:
            gc.enable()
            self.figures["run_cpu_s"] = round(time.process_time() - began, 1)
            self.figures["simulated_s"] = round(self.fleet.loop.time / SECOND, 2)
            self.figures["events"] = self.fleet.loop.events_played

    # Time

    def run(self, seconds: float) -> None:
        """Play so many simulated seconds, with checks of the limits. Errors: `LimitReachedError`."""
        end = self.fleet.loop.time + round(seconds * SECOND)
        while self.fleet.loop.time < end:
            self.fleet.run(min(SLICE, (end - self.fleet.loop.time) / SECOND))
            self.check_limits()

    def run_until(self, condition: Condition, step: int = STEP) -> float | None:
        """As the fleet's, with checks of the limits. Errors: `LimitReachedError`."""

        def checked_condition() -> object:
            self.check_limits()
            return condition()

        return self.fleet.run_until(checked_condition, LONG, step)

    def check_limits(self) -> None:
        """Errors: `LimitReachedError` where a limit is reached."""
        self.limits.check(resident_bytes() / MEGABYTE)

    def seconds_since(self, began: int) -> float:
        """Simulated seconds since that time, ns."""
        return (self.fleet.loop.time - began) / SECOND

    # Counts

    def resident_megabytes(self) -> float:
        """Memory of the process a gateway, less what it had before the fleet was made."""
        release_garbage()
        return (resident_bytes() - self._resident_before) / MEGABYTE / self.size

    def counters(self) -> dict[str, dict[str, float]]:
        """The counters of each gateway that runs, by its name."""
        return {
            name: {
                f"{part}.{counter}": value
                for part, counters in gateway.counters().items()
                for counter, value in counters.items()
            }
            for name, gateway in self.fleet.gateways.items()
        }


class BytesSent(NamedTuple):
    """Bytes a second."""

    mean: float
    busiest: float  # of the gateway that sent most


class Growth:
    """How the counters of the gateways `names` grew in a span of seconds."""

    def __init__(
        self,
        before: Mapping[str, Counters],
        after: Mapping[str, Counters],
        names: Iterable[str],
        span: float,
    ) -> None:
        self.before, self.after, self.names, self.span = before, after, list(names), span

    def rate(self, counter: str) -> float:
        """A counter's growth a gateway and second."""
        grown = sum(self.after[name][counter] - self.before[name][counter] for name in self.names)
        return grown / self.span / len(self.names)

    def rates(self, parts: Iterable[str]) -> dict[str, float]:
        """Messages and bytes of the parts that count them, a gateway and second, by the figure's name."""
        counted = self.after[self.names[0]]
        return {
            f"{part}_{counter}_per_s": self.rate(f"{part}.{counter}")
            for part in parts
            for counter in ("messages", "bytes")
            if f"{part}.{counter}" in counted
        }

    def bytes_sent(self) -> BytesSent:
        """Of all parts together."""
        sent = [_bytes_of(self.after[name]) - _bytes_of(self.before[name]) for name in self.names]
        return BytesSent(sum(sent) / self.span / len(sent), max(sent) / self.span)


def _bytes_of(counters: Counters) -> float:
    return sum(value for name, value in counters.items() if name.endswith(".bytes"))
