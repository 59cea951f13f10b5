"""The version of a cell table."""

from typing import NamedTuple


class Version(NamedTuple):
    """A version; all versions of a term are above those of earlier terms."""

    term: int
    number: int

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"
