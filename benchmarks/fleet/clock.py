"""The clock of a play: events in order of time, equal times in order of asking."""

import heapq

MICRO, MILLI, SECOND = 1_000, 1_000_000, 1_000_000_000


class Clock:
    def __init__(self):
        self.now, self.events, self.count = 0, [], 0

    def at(self, when, call, *args):
        self.count += 1
        heapq.heappush(self.events, (when, self.count, call, args))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
