"""Makes the process slots of a run."""

from collections.abc import Mapping

from gaproute.simulation.options import SimulationOptions
from gaproute.simulation.process_slot import ProcessFactory, ProcessSlot
from gaproute.simulation.random_faults import MAX_DRIFT
from gaproute.simulation.seeded_random import NarrowRandom, SeededRandom
from gaproute.units import SECOND

MAX_CLOCK_START = 5_000 * SECOND  # a monotonic clock begins below it


def make_slots(
    seed: int, factories: Mapping[str, ProcessFactory], options: SimulationOptions, random: SeededRandom
) -> dict[str, ProcessSlot]:
    """A slot for each factory, by name; `random` draws their clocks."""
    part, slots = options.narrow_part, {}
    for number, (name, factory) in enumerate(factories.items()):
        labels = seed, "actor", name  # a part of every seed
        own_random = NarrowRandom(part, *labels) if part else SeededRandom(*labels)
        slot = slots[name] = ProcessSlot(name, number, factory, own_random)
        if options.drifts is None:
            slot.drift = random.between(-MAX_DRIFT, MAX_DRIFT)
        else:
            slot.drift = options.drifts.get(name, 0)
        slot.clock.restart(0, random.below(MAX_CLOCK_START))
        slot.update_drift(0)
    return slots
