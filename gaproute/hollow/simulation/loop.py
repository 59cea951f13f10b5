"""A simulated clock with the timer methods of the product's loop: time passes from event to event."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from gaproute.loop.timers import Callback, Timer


class SimulatedLoop:
    """The timers of all gateways; an exception of a callback ends the play.

    `time`: simulated ns. `events_played` counts callbacks.
    """

    def __init__(self, now: int = 0) -> None:
        self.time = now
        self.events_played = 0
        self.cancelled_count = 0  # set by `Timer`
        self._timers: list[tuple[int, int, Timer]] = []  # a heap: when, in which order made, timer
        self._timer_count = 0

    def now(self) -> int:
        """Simulated nanoseconds."""
        return self.time

    def call_at(self, when: int, call: Callback, *args: object) -> Timer:
        """Call `call(*args)` then, or as the next event where that has passed."""
        timer = Timer(self, when, call, args)
        self._timer_count += 1
        heapq.heappush(self._timers, (when, self._timer_count, timer))
        return timer

    def run(self, span: int) -> None:
        """Play all events of the next `span` ns."""
        end, timers, pop = self.time + span, self._timers, heapq.heappop
        while timers and timers[0][0] <= end:
            when, _, timer = pop(timers)
            call = timer.call
            if call is None:
                continue
            timer.call = None
            self.time = max(self.time, when)
            self.events_played += 1
            call(*timer.args)
        self.time = end


class GatewayLoop:
    """What one gateway sees of the loop. `lag`: ns by which its process runs late."""

    __slots__ = ("shared", "lag", "on_late_turn")

    def __init__(self, shared: SimulatedLoop, lag: int = 0) -> None:
        self.shared, self.lag = shared, lag
        self.on_late_turn: list[Callable[[], object]] = []  # as of the product's loop; never called here

    def now(self) -> int:
        """Simulated nanoseconds."""
        return self.shared.time

    def call_at(self, when: int, call: Callback, *args: object) -> Timer:
        """Call `call(*args)` then, later by the lag."""
        return self.shared.call_at(max(when, self.shared.time) + self.lag, call, *args)

    def call_later(self, span: int, call: Callback, *args: object) -> Timer:
        """Call `call(*args)` after the span, ns."""
        return self.call_at(self.shared.time + span, call, *args)

    def call_soon(self, call: Callback, *args: object) -> Timer:
        """Call `call(*args)` as soon as the gateway has a turn."""
        return self.call_at(self.shared.time, call, *args)
