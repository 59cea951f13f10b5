"""A loop on a simulated clock, with the product's loop's face for timers: time passes from event to event."""

import heapq

from gaproute.loop.timers import Timer


class SimulatedLoop:
    """A heap of timers, shared by all gateways; an exception of a call ends the run."""

    def __init__(self, now=0):
        self.time, self.timers = now, []
        self.timer_count = self.done = self.cancelled_count = 0

    def now(self):
        """Simulated nanoseconds."""
        return self.time

    def at(self, when, call, *args):
        """Calls it then, or as the next event where that has passed."""
        timer = Timer(self, when, call, args)
        self.timer_count += 1
        heapq.heappush(self.timers, (when, self.timer_count, timer))
        return timer

    def run(self, span):
        """Plays all events of the next `span` ns."""
        end, timers, pop = self.time + span, self.timers, heapq.heappop
        while timers and timers[0][0] <= end:
            when, _, timer = pop(timers)
            call = timer.call
            if call is None:
                continue
            timer.call = None
            self.time = max(self.time, when)
            self.done += 1
            call(*timer.args)
        self.time = end


class GatewayLoop:
    """What one gateway sees of the loop; `lag`: ns by which its process runs late."""

    __slots__ = ("shared", "lag", "on_late_turn")

    def __init__(self, shared, lag=0):
        self.shared, self.lag, self.on_late_turn = shared, lag, []

    def now(self):
        """Simulated nanoseconds."""
        return self.shared.time

    def at(self, when, call, *args):
        """Calls it then, later by the lag."""
        return self.shared.at(max(when, self.shared.time) + self.lag, call, *args)

    def after(self, span, call, *args):
        """Calls it after the span."""
        return self.at(self.shared.time + span, call, *args)

    def soon(self, call, *args):
        """Calls it as soon as the gateway has a turn."""
        return self.at(self.shared.time, call, *args)
