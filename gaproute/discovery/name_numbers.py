"""Numbers for names, such as those of zones and racks."""

from collections.abc import Iterable

MAX_NUMBERED_NAMES = 4096  # above which names that no line has are forgotten


class NameNumbers:
    """Numbers names in the order in which they first occur; no number is used twice."""

    __slots__ = ("by_name", "next_number")

    def __init__(self) -> None:
        self.by_name: dict[str, int] = {}
        self.next_number = 0

    def number(self, name: str) -> int:
        """The name's number."""
        number = self.by_name.get(name)
        if number is None:
            number = self.by_name[name] = self.next_number
            self.next_number += 1
        return number

    def retain(self, names: Iterable[str]) -> None:
        """Forgets all other names, if there are too many."""
        if len(self.by_name) > MAX_NUMBERED_NAMES:
            named = set(names)
            self.by_name = {name: number for name, number in self.by_name.items() if name in named}
