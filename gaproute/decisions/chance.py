"""Seeded pseudo-random numbers, the same on every machine and in every run."""


class RandomGenerator:
    """A linear congruential generator; its low bits are weak, so only the high half is used."""

    def __init__(self, seed: int) -> None:
        self.state = seed & (2**64 - 1)
        self.below(2)

    def below(self, n: int) -> int:
        """Returns a number from 0 to `n` - 1, all equally likely."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (2**64 - 1)
        return (self.state >> 32) * n >> 32
