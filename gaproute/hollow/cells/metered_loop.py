"""A gateway's simulated loop that measures the gateway's CPU time."""

from __future__ import annotations

import time

from gaproute.hollow.simulation import GatewayLoop, SimulatedLoop
from gaproute.loop.timers import Callback, Timer


class MeteredLoop(GatewayLoop):
    """`cpu_time`: ns of CPU that the gateway's own callbacks have taken."""

    __slots__ = ("cpu_time",)

    def __init__(self, shared: SimulatedLoop, lag: int = 0) -> None:
        super().__init__(shared, lag)
        self.cpu_time = 0

    def call_at(self, when: int, call: Callback, *args: object) -> Timer:
        """Call `call(*args)` then, later by the lag, and measure it."""
        return super().call_at(when, self._measure, call, args)

    def _measure(self, call: Callback, args: tuple[object, ...]) -> None:
        began = time.thread_time_ns()
        call(*args)
        self.cpu_time += time.thread_time_ns() - began
