"""Limits load orders; every time is an argument, in ns.

The platform limits the load orders by the number of requests accepted within a window of time. It counts an
order at the moment at which the host has received it completely, and the requests accepted in the window
before that moment. A gateway can observe neither: an order may be in transit for a long time, and the
platform does not count some requests (malformed or repeated ones). The gateway therefore counts both
conservatively:

- an order counts from its sending until one window after its end;
- a request counts after its delivery, because a host answers only requests that the platform counts, and only
  while it is younger than the window minus `max_transit_time`, the longest time that an order is in transit.

A limit that holds whenever an order is sent then also holds whenever an order arrives. Let an order arrive at
time `t`, and let `w` be the last time up to `t` at which an order was sent; `t - w` is at most
`max_transit_time`. Every order that the platform counts at `t` was counted here at `w`, and every request
counted here at `w` was accepted within the window before `t`.
"""

from array import array
from bisect import bisect_right, insort
from collections import deque

from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.routing.parameters import MAX_SAMPLES
from gaproute.interface import RoutingSettings

# Longest time that an order may be in transit, as a share of the window; the connection of an order that may
# still be in transit after that time is closed. Only the requests in the rest of the window count, which is
# half of them and still allows one order for every seven requests.
TRANSIT_SHARE = 0.5
# Share of the usual load time: an order that ends sooner found its instances already loaded.
ALREADY_LOADED_SHARE = 0.25
MIN_ORDER_SAMPLES = 3  # ended orders that are needed to predict whether the next order is useful
# Defaults without a limit of memory. Without the older deliveries fewer orders are allowed.
MAX_ARRIVALS, MAX_OPEN_ORDERS = 16_384, 256
OPEN_ORDER_BYTES = 5_000  # of one open order, with its function and its place on a connection
ARRIVAL_BYTES = 32  # of one delivery, and of the ends of the orders that it allows
TRIAL_ODDS = 16  # one in so many probably useless orders is sent, because hosts may have changed


class LoadOrderLimiter:
    """Allows `free` load orders plus `share` times the requests within `window` (ns; 0 for no limit)."""

    def __init__(self, free: float, share: float, window: int) -> None:
        self.free, self.share, self.window = free, share, window
        self.max_transit_time = int(
            TRANSIT_SHARE * window
        )  # an order in transit for longer must never arrive
        self.open_orders = 0  # number of orders sent and not ended
        self.ends: deque[int] = deque()  # end times of the orders that ended within the window
        # For each of the last orders, whether its instances were already loaded.
        self.already_loaded: deque[bool] = deque(maxlen=MAX_SAMPLES)
        self.max_arrivals, self.max_open_orders = MAX_ARRIVALS, MAX_OPEN_ORDERS
        self.arrivals = array("q")  # arrival times of the delivered requests, sorted

    @classmethod
    def from_settings(cls, settings: RoutingSettings) -> "LoadOrderLimiter":
        """Creates the limiter that the settings describe."""
        return cls(settings.load_orders_free, settings.load_order_share, settings.load_order_window)

    def limit_memory(self, max_bytes: int) -> None:
        """Bounds the open orders and the deliveries, half of the memory each."""
        self.max_open_orders = max(1, max_bytes // (2 * OPEN_ORDER_BYTES))
        self.max_arrivals = max(1, max_bytes // (2 * ARRIVAL_BYTES))

    def record_delivery(self, now: int, arrived_at: int) -> None:
        """Counts a delivered request at the time of its arrival."""
        if self.window <= 0:
            return
        insort(self.arrivals, int(arrived_at))
        if len(self.arrivals) > self.max_arrivals:
            del self.arrivals[: self.max_arrivals // 2 + 1]
        if self.arrivals[0] <= now - 2 * self.window:
            del self.arrivals[: bisect_right(self.arrivals, now - self.window)]

    def allows(self, now: int) -> bool:
        """Whether the limit allows one more order."""
        while self.ends and self.ends[0] < now - self.window:
            self.ends.popleft()
        if self.open_orders >= self.max_open_orders:
            return False
        if self.window <= 0:
            return True
        counted_since = now - self.window + self.max_transit_time
        requests = len(self.arrivals) - bisect_right(self.arrivals, counted_since)
        return self.open_orders + len(self.ends) + 1 <= self.free + self.share * requests

    def record_sent(self) -> None:
        """Counts an order as it is sent."""
        self.open_orders += 1

    def record_end(self, now: int, *, good: bool = False, relative_duration: float = 1.0) -> None:
        """Records the end of an order; `relative_duration` is in units of the usual load time."""
        self.open_orders -= 1
        self.ends.append(now)
        self.already_loaded.append(good and relative_duration < ALREADY_LOADED_SHARE)

    def is_likely_useful(self, random: RandomGenerator) -> bool:
        """Whether an order for more instances probably causes a load.

        Hosts that add instances by themselves have loaded them before the order arrives, and each order has
        a cost. An order is sent occasionally nevertheless, to detect a change.
        """
        useless = sum(self.already_loaded)
        if len(self.already_loaded) < MIN_ORDER_SAMPLES or 2 * useless <= len(self.already_loaded):
            return True
        return not random.below(TRIAL_ODDS)
