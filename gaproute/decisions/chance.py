"""Chance from a seed: the same numbers on every machine and every run."""


class RandomGenerator:
    """A linear congruential generator; its low bits are weak, so only the high half is used."""

    def __init__(self, seed: int) -> None:
        self.state = seed & (2**64 - 1)
        self.below(2)

    def below(self, n: int) -> int:
        """A number from 0 to `n` - 1, each as likely as the others."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (2**64 - 1)
        return (self.state >> 32) * n >> 32
