"""A set of names from which random ones are drawn."""

from gaproute.shared.randomness import RandomSource


class NameSet:
    """Adds, discards and draws in constant time, however many names there are. The order means nothing."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self._positions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.names)

    def __contains__(self, name: str) -> bool:
        return name in self._positions

    def add(self, name: str) -> None:
        """Adds the name if it is not there."""
        if name not in self._positions:
            self._positions[name] = len(self.names)
            self.names.append(name)

    def discard(self, name: str) -> None:
        """Removes the name if it is there: the last one takes its position."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        last = self.names.pop()
        if last != name:
            self.names[position] = last
            self._positions[last] = position

    def choose(self, random: RandomSource) -> str:
        """One name at random. Errors: IndexError where there is none."""
        return self.names[random.below(len(self.names))]

    def sample(self, random: RandomSource, count: int, *, excluding: str | None = None) -> list[str]:
        """Up to `count` different names at random, sometimes fewer than there are."""
        found: dict[str, None] = {}
        for _ in range(3 * count):  # a draw may repeat one; a few draws too many cost nothing
            if len(found) >= min(count, len(self.names)):
                break
            name = self.choose(random)
            if name != excluding:
                found[name] = None
        return list(found)
