"""The limit on load orders: the clock is handed in.

The platform counts a load order when it has come whole to its host, beside the requests that it counts as
taken in the window before that moment. Neither is seen from here: an order may travel for long, and of the
requests that came some are faulty, doubled or their clients', which the platform leaves out. So both are
counted on the safe side. An order counts from its sending until a window after its end. A request counts once
it was delivered, as only a host that knew it for a real one answers it well, and only while it is younger
than the window less the longest way of an order. For an order that arrives at `t`, less than that way after
the last sending at `w` before it: all orders counted there were counted at `w`, as `w` <= `t`, and all
requests counted at `w` came within the window before `t`. So the bound kept at each sending holds at each
arrival.
"""

from bisect import bisect_right, insort
from collections import deque

from gaproute.decisions.chance import Chance
from gaproute.decisions.routing.parameters import SAMPLES
from gaproute.interface import Terms

TRAVEL_SHARE = 0.5  # of the window, for the way of an order; one that may still be under way then ends with
#                     its connection. At half the requests it still is an order for every seven
FOUND_SHARE = 0.25  # of the usual time of a load: an order done sooner found its instances loaded
LEAST_ORDERS = 3  # of the last orders that say something of the next
TRIAL_ODDS = 16  # of so many orders that likely bring nothing one is sent: hosts may have changed


class LoadOrderLimiter:
    """Load orders: `free` of them and `share` of the requests within the window (ns); 0: no limit."""

    def __init__(self, free: float, share: float, window: int) -> None:
        self.free, self.share, self.window = free, share, window
        self.travel_time = int(TRAVEL_SHARE * window)  # an order that has not arrived by then must never
        self.open_orders = 0  # sent and not ended
        self.ends: deque[int] = deque()  # of the orders that ended within the window
        self.found_loaded: deque[bool] = deque(maxlen=SAMPLES)  # whether the last orders found their
        #                                                         instances loaded
        self.arrivals: list[int] = []  # of the delivered requests, in order

    @classmethod
    def of(cls, terms: Terms) -> "LoadOrderLimiter":
        """The limit that the terms give."""
        return cls(terms.load_orders_free, terms.load_order_share, terms.load_order_window)

    def delivered(self, now: int, arrived_at: int) -> None:
        """A request that came then was delivered."""
        if self.window <= 0:
            return
        insort(self.arrivals, arrived_at)
        if self.arrivals[0] <= now - 2 * self.window:
            del self.arrivals[: bisect_right(self.arrivals, now - self.window)]

    def allows(self, now: int) -> bool:
        """Whether one more order may be sent."""
        while self.ends and self.ends[0] < now - self.window:
            self.ends.popleft()
        if self.window <= 0:
            return True
        counted_since = now - self.window + self.travel_time
        requests = len(self.arrivals) - bisect_right(self.arrivals, counted_since)
        return self.open_orders + len(self.ends) + 1 <= self.free + self.share * requests

    def sent(self) -> None:
        """An order was sent."""
        self.open_orders += 1

    def ended(self, now: int, *, good: bool = False, took: float = 1.0) -> None:
        """An order has ended; `took`: of the usual time of a load."""
        self.open_orders -= 1
        self.ends.append(now)
        self.found_loaded.append(good and took < FOUND_SHARE)

    def likely_useful(self, chance: Chance) -> bool:
        """Whether an order for more instances likely brings any.

        Hosts that add instances by themselves have them loaded when it comes, and each order has its price.
        Now and then one is tried all the same.
        """
        found = sum(self.found_loaded)
        if len(self.found_loaded) < LEAST_ORDERS or 2 * found <= len(self.found_loaded):
            return True
        return not chance.below(TRIAL_ODDS)
