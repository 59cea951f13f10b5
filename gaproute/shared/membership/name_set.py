"""A set of names from which random ones are drawn."""

from gaproute.shared.randomness import RandomSource


class NameSet:
    """Adds, discards and draws in constant time, whatever the number of names. The order has no meaning."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self._positions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.names)

    def __contains__(self, name: str) -> bool:
        return name in self._positions

    def add(self, name: str) -> None:
        """Adds the name; no effect if it is in the set."""
        if name not in self._positions:
            self._positions[name] = len(self.names)
            self.names.append(name)

    def discard(self, name: str) -> None:
        """Removes the name, if it is in the set, by moving the last one to its position."""
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
        """Up to `count` different random names; sometimes fewer than there are."""
        found: dict[str, None] = {}
        for _ in range(3 * count):  # a draw may repeat a name; some unneeded draws cost nothing
            if len(found) >= min(count, len(self.names)):
                break
            name = self.choose(random)
            if name != excluding:
                found[name] = None
        return list(found)
