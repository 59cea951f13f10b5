"""The version of a cell table."""

from typing import NamedTuple


class Version(NamedTuple):
    """Versions are ordered; a new term is above all versions of earlier terms."""

    term: int
    number: int

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"
