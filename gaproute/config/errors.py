"""Errors of the configuration: the mistakes in a file, and a written file that may not survive a crash."""

from collections.abc import Iterable
from typing import NamedTuple

from gaproute.errors import GaprouteError


class Mistake(NamedTuple):
    """One mistake in a file: what was found and what is expected instead.

    `line` counts from 1; 0 means the whole file. `field` names the directive and its keyword. It is empty if
    the mistake belongs to no directive, and it is printed only if `found` does not contain it.
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
    """A file is rejected; `mistakes` lists every mistake in it."""

    def __init__(self, mistakes: Iterable[Mistake]) -> None:
        self.mistakes = list(mistakes)
        super().__init__("\n".join(map(str, self.mistakes)))


class NotDurableError(GaprouteError, OSError):
    """The complete file has its name, but whether the name survives a crash of the machine is unknown."""


def error_sorted_by_line(mistakes: Iterable[Mistake]) -> ConfigurationError:
    """The error with these mistakes in the order of their lines."""
    return ConfigurationError(sorted(mistakes, key=lambda mistake: mistake.line))


def unreadable_file_error(file: str, error: Exception) -> ConfigurationError:
    """The error of a file that cannot be opened or is not text."""
    return ConfigurationError(
        [Mistake(file, 0, "", f"the file cannot be read: {error}", "name a readable text file")]
    )


def expected_line(text: str) -> str:
    """The text for `Mistake.expected` that shows a valid line as an example."""
    return f"expected a line such as: {text}"
