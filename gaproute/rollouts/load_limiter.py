"""A limit on load orders for rollouts, within the gateway's limit on all load orders.

Rollouts may cause only a part of the gateway's load orders, so that production always has the rest.
"""

from collections import deque
from typing import Protocol

ROLLOUT_LOAD_DIVISOR = 4  # rollouts cause at most 1 in 4 load orders


class GatewayLoadLimiter(Protocol):
    """The gateway's limit on all load orders, such as `LoadOrderLimiter`."""

    def allows(self, now: int) -> bool:
        """Whether one more order may be sent."""

    def sent(self) -> None:
        """Records that an order was sent."""

    def ended(self, now: int, *, good: bool) -> None:
        """Records that an order ended. `good`: whether the function is loaded."""


class RolloutLoadLimiter:
    """Allows at most `max_orders` load orders within `window` ns.

    `gateway_limiter`: if given, must also allow each order.
    """

    def __init__(self, gateway_limiter: GatewayLoadLimiter | None, max_orders: int, window: int) -> None:
        self.gateway_limiter, self.max_orders, self.window = gateway_limiter, max_orders, window
        self.open_orders = 0
        self.end_times: deque[int] = deque()  # end times of the orders that ended within the window

    @property
    def counted_orders(self) -> int:
        """Orders that are open or ended within the window, as of the last call of `allows`."""
        return self.open_orders + len(self.end_times)

    def allows(self, now: int) -> bool:
        """Whether one more load may be ordered."""
        while self.end_times and self.end_times[0] <= now - self.window:
            self.end_times.popleft()
        if self.counted_orders >= self.max_orders:
            return False
        return self.gateway_limiter is None or self.gateway_limiter.allows(now)

    def record_ordered(self) -> None:
        """Records that a load was ordered."""
        self.open_orders += 1
        if self.gateway_limiter is not None:
            self.gateway_limiter.sent()

    def record_ended(self, now: int, *, loaded: bool = False) -> None:
        """Records that an ordered load ended. `loaded`: whether it succeeded."""
        self.open_orders -= 1
        self.end_times.append(now)
        if self.gateway_limiter is not None:
            self.gateway_limiter.ended(now, good=loaded)


def max_rollout_orders(max_orders: int) -> int:
    """The part of the gateway's `max_orders` within a window that rollouts may cause."""
    return max(1, max_orders // ROLLOUT_LOAD_DIVISOR) if max_orders else 0
