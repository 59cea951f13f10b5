"""Who asks what, when: seeded, so that a play can be played again."""

from bisect import bisect_right
from itertools import accumulate

from benchmarks.fleet.clock import MILLI, SECOND
from gaproute import interface as face
from gaproute.decisions.chance import Chance

FUNCTIONS = 400
SPARE = 7  # one task in so many is effectful
SEED = 7  # of the play in the table of costs

TRACKS = (
    face.RequestClass(face.Idempotency.IDEMPOTENT, face.Group.ALL, 0, 600 * MILLI, 2400 * MILLI, 3.0),
    face.RequestClass(face.Idempotency.NON_IDEMPOTENT, face.Group.ALL, 0, 600 * MILLI, 2000 * MILLI, 3.0),
)


class Traffic:
    """`weights`: of the gateways, whole numbers, None if all alike; `third`: one function is a third."""

    def __init__(self, world, rate, seed=SEED, weights=None, third=False):
        self.world, self.gap, self.chance, self.third = world, SECOND // rate, Chance(seed), third
        self.sums = list(accumulate(weights)) if weights else None
        world.clock.at(0, self.arrive)

    def arrive(self):
        world, chance = self.world, self.chance
        popular = chance.below(FUNCTIONS) * chance.below(FUNCTIONS) // FUNCTIONS
        if self.third and chance.below(3) == 0:
            popular = 0
        if self.sums is None:
            place = chance.below(len(world.gateways))
        else:
            place = bisect_right(self.sums, chance.below(self.sums[-1]))
        world.gateways[place].ask(f"f{popular}", chance.below(SPARE) == 0)
        world.clock.at(world.clock.now + 2 * (1 + chance.below(self.gap)), self.arrive)
