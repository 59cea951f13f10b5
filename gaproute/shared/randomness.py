"""What the shared parts need of a source of random numbers: it is handed in, so that runs can be repeated."""

from typing import Protocol


class RandomSource(Protocol):
    """A seeded generator, such as `gaproute.decisions.chance.Chance`."""

    def below(self, bound: int, /) -> int:
        """A number from 0 to `bound` - 1, each as likely as the others."""
