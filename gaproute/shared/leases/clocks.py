"""When permits end by the leader's own clock. Only a leader has one; it begins anew with each leader, so
that no time is ever carried from one clock to another."""

import heapq


class Clocks:
    def __init__(self, now, waits):
        self.ends, self.heap = {}, []  # fence: (at, when); (when, fence, at)
        for fence, at, wait in waits:
            self.note(now, fence, at, wait)

    def note(self, now, fence, at, wait):
        """Granted or renewed by entry `at`, which was applied now; `wait` None: it stands no more."""
        self.ends.pop(fence, None)
        if wait is None:
            return
        self.ends[fence] = at, now + wait
        heapq.heappush(self.heap, (now + wait, fence, at))
        if len(self.heap) > 64 + 2 * len(self.ends):  # renewals leave their old ends behind
            self.heap = [(when, fence, at) for fence, (at, when) in self.ends.items()]
            heapq.heapify(self.heap)

    @property
    def due(self):
        return self.heap[0][0] if self.heap else None

    def over(self, now, most):
        """[(fence, at)] that ended, `most` of them; the rest stays for the next call."""
        came = []
        while self.heap and self.heap[0][0] <= now and len(came) < most:
            when, fence, at = heapq.heappop(self.heap)
            if self.ends.get(fence) == (at, when):
                del self.ends[fence]
                came.append((fence, at))
        return came
