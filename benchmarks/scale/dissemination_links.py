"""Links between the gateways of a simulated fleet: delay, loss, retransmission, and cuts."""

from collections.abc import Callable
from dataclasses import dataclass

from gaproute.decisions.chance import RandomGenerator
from gaproute.units import MILLI

PERMILLE = 1_000
SLOW_DELAY = 250 * MILLI  # that a slow gateway takes for each message in and out
REGION_DELAY = 5 * MILLI  # one way between zones of a region


@dataclass(frozen=True)
class Place:
    """Where a gateway stands. A slow one delays each message that it sends or receives."""

    cell: int
    zone: int
    region: int
    slow: bool


class Links:
    """`loss`: of messages and segments, in parts of a thousand."""

    def __init__(self, loss: int, chance: RandomGenerator) -> None:
        self.loss, self.chance = loss, chance
        # Whether nothing gets from the one place to the other; None: everything does.
        self.cut: Callable[[Place, Place], bool] | None = None

    def is_cut(self, sender: Place, receiver: Place) -> bool:
        """Whether nothing gets from the one to the other."""
        return self.cut is not None and self.cut(sender, receiver)

    def is_lost(self) -> bool:
        """Draw whether a message is lost."""
        return self.loss > 0 and self.chance.below(PERMILLE) < self.loss

    def delay(self, sender: Place, receiver: Place) -> int:
        """Draw the delay of one message, one way, ns."""
        if sender.zone == receiver.zone:
            delay = MILLI + self.chance.below(2 * MILLI)
        elif sender.region == receiver.region:
            delay = REGION_DELAY
        else:
            delay = 40 * MILLI + self.chance.below(60 * MILLI)
        return delay + SLOW_DELAY * (sender.slow + receiver.slow)

    def retransmission_delay(self, timeout: int, segments: int) -> int:
        """Draw what lost segments add, ns; lost ones are sent again until none is lost.

        `timeout`: before the first retransmission, ns; doubled for each further one.
        """
        added = 0
        while segments := sum([self.is_lost() for _ in range(segments)]):
            added, timeout = added + timeout, 2 * timeout
        return added
