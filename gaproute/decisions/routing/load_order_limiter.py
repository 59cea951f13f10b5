"""The limit on load orders; times are handed in, in ns.

The platform allows so many load orders for the requests that were taken within a window of time. It counts an
order at the moment at which the host has received it completely, and the requests that were taken in the
window before that moment. A gateway can see neither: an order may be on its way for long, and the platform
leaves out some requests (malformed or repeated ones). So the gateway counts both on the safe side:

- an order counts from when it is sent until one window after its end;
- a request counts once it was delivered, as a host answers only requests that the platform counts, and only
  while it is younger than the window less `max_transit_time`, the longest time that an order is on its way.

Then a limit that holds whenever an order is sent also holds whenever one arrives. Let an order arrive at time
`t`, and let `w` be the last time up to `t` at which one was sent; `t - w` is at most `max_transit_time`.
Every order that the platform counts at `t` was counted here at `w`, and every request counted here at `w` was
taken within the window before `t`.
"""

from bisect import bisect_right, insort
from collections import deque

from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.routing.parameters import MAX_SAMPLES
from gaproute.interface import RoutingSettings

# Of the window: the longest time that an order may be on its way; the connection of one that may still be on
# its way then is closed. Only the requests in the rest of the window count, half of them: that still allows
# one order for every seven requests.
TRANSIT_SHARE = 0.5
ALREADY_LOADED_SHARE = (
    0.25  # of the usual time of a load: an order that ends sooner found its instances loaded
)
MIN_ORDER_SAMPLES = 3  # ended orders from which on their results predict that of the next order
TRIAL_ODDS = 16  # of so many orders that are probably useless one is sent, as hosts may have changed


class LoadOrderLimiter:
    """Allows `free` load orders and `share` times the requests within `window` (ns; 0: no limit)."""

    def __init__(self, free: float, share: float, window: int) -> None:
        self.free, self.share, self.window = free, share, window
        self.max_transit_time = int(TRANSIT_SHARE * window)  # an order that takes longer must never arrive
        self.open_orders = 0  # sent and not ended
        self.ends: deque[int] = deque()  # of the orders that ended within the window
        # Whether each of the last orders found its instances loaded already.
        self.already_loaded: deque[bool] = deque(maxlen=MAX_SAMPLES)
        self.arrivals: list[int] = []  # when the delivered requests had arrived, sorted

    @classmethod
    def from_settings(cls, settings: RoutingSettings) -> "LoadOrderLimiter":
        """The limit that the terms give."""
        return cls(settings.load_orders_free, settings.load_order_share, settings.load_order_window)

    def record_delivery(self, now: int, arrived_at: int) -> None:
        """Counts a request that was delivered, by the time at which it had arrived."""
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
        counted_since = now - self.window + self.max_transit_time
        requests = len(self.arrivals) - bisect_right(self.arrivals, counted_since)
        return self.open_orders + len(self.ends) + 1 <= self.free + self.share * requests

    def record_sent(self) -> None:
        """Counts an order that is sent."""
        self.open_orders += 1

    def record_end(self, now: int, *, good: bool = False, relative_duration: float = 1.0) -> None:
        """Notes the end of an order; `relative_duration`: its time divided by the usual time of a load."""
        self.open_orders -= 1
        self.ends.append(now)
        self.already_loaded.append(good and relative_duration < ALREADY_LOADED_SHARE)

    def is_likely_useful(self, random: RandomGenerator) -> bool:
        """Whether an order for more instances probably brings any.

        Hosts that add instances by themselves have loaded them before the order arrives, and each order has
        a price. Now and then an order is sent nevertheless, to notice a change.
        """
        found = sum(self.already_loaded)
        if len(self.already_loaded) < MIN_ORDER_SAMPLES or 2 * found <= len(self.already_loaded):
            return True
        return not random.below(TRIAL_ODDS)
