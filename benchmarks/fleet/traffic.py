"""Which requests come when: seeded, so that a play can be repeated."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from itertools import accumulate

from benchmarks.fleet.clock import SECOND
from benchmarks.fleet.world import FleetWorld
from gaproute.decisions.chance import RandomGenerator

FUNCTIONS = 400
NON_IDEMPOTENT_EACH = 7  # one request in so many is not idempotent
POPULAR_EACH = 3  # one in so many is of one function, where a third are
DEFAULT_SEED = 7  # of the play in the table of costs


class FleetTraffic:
    """Requests at `rate` a second on average, from the beginning of the play on.

    `weights`: whole numbers by which each gateway gets requests, None if all get alike. `one_third_same`: one
    function is a third of all.
    """

    def __init__(
        self,
        world: FleetWorld,
        rate: int,
        *,
        seed: int = DEFAULT_SEED,
        weights: Sequence[int] | None = None,
        one_third_same: bool = False,
    ) -> None:
        self._world, self._mean_gap = world, SECOND // rate
        self._chance, self._one_third_same = RandomGenerator(seed), one_third_same
        self._summed_weights = list(accumulate(weights)) if weights else None
        world.clock.at(0, self._arrive)

    def _arrive(self) -> None:
        chance = self._chance
        number = chance.below(FUNCTIONS) * chance.below(FUNCTIONS) // FUNCTIONS  # low ones come more often
        if self._one_third_same and chance.below(POPULAR_EACH) == 0:
            number = 0
        gateway = self._world.gateways[self._draw_gateway()]
        gateway.take(f"f{number}", int(chance.below(NON_IDEMPOTENT_EACH) == 0))
        self._world.clock.after(2 * (1 + chance.below(self._mean_gap)), self._arrive)

    def _draw_gateway(self) -> int:
        if self._summed_weights is None:
            return self._chance.below(len(self._world.gateways))
        return bisect_right(self._summed_weights, self._chance.below(self._summed_weights[-1]))
