"""What a rung of any fleet on the simulated clock has: limits, time, counts a gateway and second."""

import ctypes
import gc
import time

from benchmarks.scale.limits import MEGABYTE, Limits, resident
from gaproute.hollow.simulation.fleet import STEP

SECOND = 1_000_000_000
CALM = 15  # simulated seconds of a counting
LONG = 60  # simulated seconds until which something is waited for
SLICE = 1  # simulated seconds between two looks at the limits


def _release_garbage():
    """Frees what nobody holds, and gives it back to the system where the C library can."""
    gc.collect()
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


class BaseRung:
    """Plays one size; `figures` fills as it goes, so that a rung that is stopped tells what it had.

    A kind of rung makes its fleet in `made` and takes its figures in `measure`.
    """

    def __init__(self, size: int, limits: Limits):
        self.size, self.limits, self.figures, self.fleet = size, limits, {}, None
        _release_garbage()  # or the fleet's memory would be told less by what is freed during the play
        self.empty = resident()

    def made(self):
        """The fleet."""
        raise NotImplementedError

    def measure(self):
        """Takes all figures. Errors: Stopped."""
        raise NotImplementedError

    def play(self):
        """Errors: Stopped."""
        began = time.process_time()
        self.fleet = self.made()
        gc.disable()  # a collection would search the memory of all gateways, in a call of any one
        try:
            self.measure()
        finally:
            gc.enable()
            self.figures["run_cpu_s"] = round(time.process_time() - began, 1)
            self.figures["simulated_s"] = round(self.fleet.loop.time / SECOND, 2)
            self.figures["events"] = self.fleet.loop.events_played

    # Time

    def run(self, seconds):
        """Plays so long, with a look at the limits in each slice."""
        end = self.fleet.loop.time + round(seconds * SECOND)
        while self.fleet.loop.time < end:
            self.fleet.run(min(SLICE, (end - self.fleet.loop.time) / SECOND))
            self.check()

    def until(self, holds, step=STEP):
        """As the fleet's, with looks at the limits."""

        def looked():
            self.check()
            return holds()

        return self.fleet.run_until(looked, LONG, step)

    def check(self):
        """Errors: Stopped."""
        self.limits.check(resident() / MEGABYTE)

    def since(self, began):
        """Simulated seconds since the moment."""
        return (self.fleet.loop.time - began) / SECOND

    # Counts

    def resident(self):
        """MB of the process a gateway, less what it had before the fleet was made."""
        _release_garbage()
        return (resident() - self.empty) / MEGABYTE / self.size

    def each(self):
        """{gateway: {"part.counter": value}}"""
        return {
            name: {
                f"{part}.{counter}": value
                for part, counters in gateway.counters().items()
                for counter, value in counters.items()
            }
            for name, gateway in self.fleet.gateways.items()
        }


class Growth:
    """How the counters of these gateways grew in a span. `before`, `after`: as of `BaseRung.each`."""

    def __init__(self, before, after, names, span):
        self.before, self.after, self.names, self.span = before, after, list(names), span

    def rate(self, counter):
        """A counter's growth a gateway and second."""
        grown = sum(self.after[name][counter] - self.before[name][counter] for name in self.names)
        return grown / self.span / len(self.names)

    def rates(self, parts):
        """{figure: messages or bytes of each of these parts that counts them, a gateway and second}"""
        one = self.after[self.names[0]]
        return {
            f"{part}_{counter}_per_s": self.rate(f"{part}.{counter}")
            for part in parts
            for counter in ("messages", "bytes")
            if f"{part}.{counter}" in one
        }

    def bytes(self):
        """Bytes of all parts a gateway and second, and those of the busiest."""
        sent = [self._sent(self.after[name]) - self._sent(self.before[name]) for name in self.names]
        return sum(sent) / self.span / len(sent), max(sent) / self.span

    @staticmethod
    def _sent(counters):
        return sum(value for name, value in counters.items() if name.endswith(".bytes"))
