"""The load ration: decisions only, the clock handed in.

The platform counts a load order when it has come whole to its worker, beside the tasks that it counts as
taken in the window before that moment. Neither is seen from here: an order may travel for long, and of the
tasks that came some are faulty, doubled or their clients', which the platform leaves out. So both are
counted on the safe side. An order counts from its wish until a window after its end. A task counts once it
was delivered, as only a worker that knew it for a real one answers it well, and only while it is younger
than the window less the longest way of an order. For an order that arrives at `t`, less than that way after
the last wish at `w` before it: all orders counted there were counted at `w`, as `w` <= `t`, and all tasks
counted at `w` came within the window before `t`. So the bound kept at each wish holds at each arrival.
"""

from bisect import bisect_right, insort
from collections import deque

from gaproute.decisions.routing.beliefs import KEPT

TRAVEL = 0.5  # of the window, for the way of an order; one that may still be under way then ends
#                          with its connection. At half the tasks it still is an order for every seven
FOUND = 0.25  # of the usual time of a load: an order done sooner found its copies standing
LEAST = 3  # of the last orders that say something of the next
TRIED = 16  # of so many orders that likely bring nothing one goes out: hosts may have changed


class Ration:
    """Load orders: `free` of them and `share` of the tasks within the window; 0: no ration."""

    def __init__(self, free, share, window):
        self.free, self.share, self.window = free, share, window
        self.travel = int(TRAVEL * window)  # an order that has not arrived by then must never
        self.out, self.ends = 0, deque()  # orders without an end; ends of the others
        self.found = deque(maxlen=KEPT)  # of the last orders, whether they found their copies standing
        self.tasks = []  # when the delivered ones came, in order

    def delivered(self, now, came):
        if self.window > 0:
            insort(self.tasks, came)
            if self.tasks[0] <= now - 2 * self.window:
                del self.tasks[: bisect_right(self.tasks, now - self.window)]

    def may(self, now):
        while self.ends and self.ends[0] < now - self.window:
            self.ends.popleft()
        if self.window <= 0:
            return True
        tasks = len(self.tasks) - bisect_right(self.tasks, now - self.window + self.travel)
        return self.out + len(self.ends) + 1 <= self.free + self.share * tasks

    def ordered(self):
        self.out += 1

    def ended(self, now, good=False, took=1.0):
        """`took`: of the usual time of a load."""
        self.out -= 1
        self.ends.append(now)
        self.found.append(good and took < FOUND)

    def worth(self, chance):
        """Whether an order for more copies likely brings any: hosts that add copies by themselves have them
        standing when it comes, and each order has its price. Now and then one is tried all the same."""
        return len(self.found) < LEAST or 2 * sum(self.found) <= len(self.found) or not chance.below(TRIED)
