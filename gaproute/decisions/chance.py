"""Chance from a seed: the same numbers on every machine and every run."""

MODULUS = 2**64
MULTIPLIER, INCREMENT = 6364136223846793005, 1442695040888963407
HIGH_HALF = 32  # bits to shift by


class Chance:
    """A linear congruential generator; its low bits are weak, so only the high half is used."""

    def __init__(self, seed: int) -> None:
        self.state = seed & (MODULUS - 1)
        self.below(2)

    def below(self, limit: int) -> int:
        """A number from 0 to `limit` - 1."""
        self.state = (self.state * MULTIPLIER + INCREMENT) & (MODULUS - 1)
        return (self.state >> HIGH_HALF) * limit >> HIGH_HALF
