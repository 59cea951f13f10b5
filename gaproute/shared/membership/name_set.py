"""A set of names that supports random choices."""

from gaproute.shared.randomness import RandomSource


class NameSet:
    """Adds, discards and chooses names in constant time. The order of the names has no meaning."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self._positions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.names)

    def __contains__(self, name: str) -> bool:
        return name in self._positions

    def add(self, name: str) -> None:
        """Adds the name, if it is not in the set."""
        if name not in self._positions:
            self._positions[name] = len(self.names)
            self.names.append(name)

    def discard(self, name: str) -> None:
        """Removes the name, if it is in the set, by moving the last name to its position."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        last = self.names.pop()
        if last != name:
            self.names[position] = last
            self._positions[last] = position

    def choose(self, random: RandomSource) -> str:
        """A random name. Errors: IndexError if the set is empty."""
        return self.names[random.below(len(self.names))]

    def sample(self, random: RandomSource, count: int, *, excluding: str | None = None) -> list[str]:
        """Up to `count` different random names; sometimes fewer, even if the set has enough names."""
        found: dict[str, None] = {}
        for _ in range(3 * count):  # more draws than names, as a draw may repeat a name
            if len(found) >= min(count, len(self.names)):
                break
            name = self.choose(random)
            if name != excluding:
                found[name] = None
        return list(found)
