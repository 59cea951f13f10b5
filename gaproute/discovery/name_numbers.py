"""Assigns numbers to names, such as the names of zones and racks."""

from collections.abc import Container, Iterable

MAX_NUMBERED_NAMES = 4096  # above this count, unused names are deleted


class NameNumbers:
    """Numbers names in the order in which they first occur; no number is reused."""

    __slots__ = ("by_name", "next_number")

    def __init__(self, names: Iterable[str | int] = ()) -> None:
        """`names`: names that get the first numbers."""
        self.by_name: dict[str | int, int] = {}
        self.next_number = 0
        for name in names:
            self.number(name)

    def number(self, name: str | int) -> int:
        """The number of the name; a new name gets the next number."""
        number = self.by_name.get(name)
        if number is None:
            number = self.by_name[name] = self.next_number
            self.next_number += 1
        return number

    def retain_numbers(self, numbers: Container[int]) -> None:
        """Deletes all names but those with these numbers."""
        self.by_name = {name: number for name, number in self.by_name.items() if number in numbers}

    def retain(self, names: Iterable[str | int]) -> None:
        """Deletes all names but these, if there are more than `MAX_NUMBERED_NAMES`."""
        if len(self.by_name) > MAX_NUMBERED_NAMES:
            retained = set(names)
            self.by_name = {name: number for name, number in self.by_name.items() if name in retained}
