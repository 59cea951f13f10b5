"""A limit on load orders for rollouts, within the limit of all load orders of a gateway.

Rollouts order at most a part of the loads that all may cause, so that they never use up what production may
need.
"""

from collections import deque
from typing import Protocol

ROLLOUT_LOAD_DIVISOR = 4  # rollouts order at most one in so many loads


class GatewayLoadLimiter(Protocol):
    """The gateway's limit of all load orders, such as `LoadOrderLimiter`."""

    def allows(self, now: int) -> bool:
        """Whether one more order may be sent."""

    def sent(self) -> None:
        """An order was sent."""

    def ended(self, now: int, *, good: bool) -> None:
        """An order has ended; `good`: the function is loaded."""


class RolloutLoadLimiter:
    """At most `max_orders` within `window` ns, and no more than `gateway_limiter` allows if there is one."""

    def __init__(self, gateway_limiter: GatewayLoadLimiter | None, max_orders: int, window: int) -> None:
        self.gateway_limiter, self.max_orders, self.window = gateway_limiter, max_orders, window
        self.open_orders = 0
        self.end_times: deque[int] = deque()  # of the orders that ended within the window

    @property
    def counted_orders(self) -> int:
        """Orders that are open or ended within the window, as of the last look."""
        return self.open_orders + len(self.end_times)

    def allows(self, now: int) -> bool:
        """Whether one more load may be ordered."""
        while self.end_times and self.end_times[0] <= now - self.window:
            self.end_times.popleft()
        if self.counted_orders >= self.max_orders:
            return False
        return self.gateway_limiter is None or self.gateway_limiter.allows(now)

    def record_ordered(self) -> None:
        """A load was ordered."""
        self.open_orders += 1
        if self.gateway_limiter is not None:
            self.gateway_limiter.sent()

    def record_ended(self, now: int, *, loaded: bool = False) -> None:
        """A load that was ordered has ended; `loaded`: successfully."""
        self.open_orders -= 1
        self.end_times.append(now)
        if self.gateway_limiter is not None:
            self.gateway_limiter.ended(now, good=loaded)


def max_rollout_orders(max_orders: int) -> int:
    """How many load orders rollouts may cause, of so many that the gateway may cause within a window."""
    return max(1, max_orders // ROLLOUT_LOAD_DIVISOR) if max_orders else 0
