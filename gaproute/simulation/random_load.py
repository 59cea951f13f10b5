"""A workload of random requests at random times."""

from collections.abc import Callable, Iterable
from typing import TypeAlias

from gaproute.simulation.seeded_random import SeededRandom
from gaproute.simulation.simulation import Simulation

# Makes a request by `Simulation.ask`, or none.
RequestMaker: TypeAlias = Callable[[Simulation, SeededRandom], None]


class RandomLoad:
    """Calls one of `requests`, (weight, maker), every `interval` ns on average."""

    __slots__ = ("_makers", "_interval", "_random")

    def __init__(
        self, requests: Iterable[tuple[int, RequestMaker]], interval: int, random: SeededRandom
    ) -> None:
        self._makers = [maker for weight, maker in requests for _ in range(weight)]
        self._interval, self._random = interval, random

    def next_time(self, now: int) -> int:
        """The true time of the next request."""
        return now + 1 + self._random.below(2 * self._interval)

    def run(self, simulation: Simulation) -> None:
        """Makes one request."""
        self._random.choice(self._makers)(simulation, self._random)
