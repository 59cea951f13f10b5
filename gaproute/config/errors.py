"""Errors of the configuration: every mistake of a file, and a file whose place on disk is not certain."""

from collections.abc import Iterable
from typing import NamedTuple

from gaproute.errors import GaprouteError


class Mistake(NamedTuple):
    """One thing that is wrong with a file.

    `line` counts from 1, and is 0 for the file as a whole. `field` names the directive and its keyword; it is
    empty where the mistake belongs to none, and printed only where `found` does not name it.
    """

    file: str
    line: int
    field: str
    found: str
    expected: str

    def __str__(self) -> str:
        named = not self.field or self.field in self.found
        found = self.found if named else f"{self.field}: {self.found}"
        return f"{self.file}:{self.line}: {found}; {self.expected}"


class ConfigurationError(GaprouteError):
    """A file that cannot be used, with every mistake in it."""

    def __init__(self, mistakes: Iterable[Mistake]) -> None:
        self.mistakes = list(mistakes)
        super().__init__("\n".join(map(str, self.mistakes)))


class NotDurableError(GaprouteError, OSError):
    """The file is in its place, whole; whether its name outlasts a crash of the machine is not known."""


def error_sorted_by_line(mistakes: Iterable[Mistake]) -> ConfigurationError:
    """The error of these mistakes, as a reader of the file meets them."""
    return ConfigurationError(sorted(mistakes, key=lambda mistake: mistake.line))


def unreadable_file_error(file: str, error: Exception) -> ConfigurationError:
    """The error of a file that cannot be opened, or is not text."""
    return ConfigurationError([Mistake(file, 0, "", f"cannot be read: {error}", "name a readable text file")])


def expected_line(text: str) -> str:
    """What is expected, shown by a line that is right."""
    return f"right would be: {text}"
