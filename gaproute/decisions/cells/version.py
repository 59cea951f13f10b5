"""The version of a cell table."""

from typing import NamedTuple


class Version(NamedTuple):
    """Versions are ordered: whoever begins a new term outranks all writers of earlier ones."""

    term: int
    number: int

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"
