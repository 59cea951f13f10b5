"""A configuration of one shape of deployment rewritten for another: what `gaproute migrate` does.

The old file is taken over line by line, with its comments. What the new deployment states is in a file of the
same syntax, the shape: its lines win keyword by keyword, and the tracks and tenants that it names are all
there are, each as stated there. What cannot be carried over is reported with its line and why; the result is
checked like any configuration.
"""

import shlex
from collections.abc import Iterator
from typing import NamedTuple

from gaproute.config.consistency import named_twice
from gaproute.config.directives import DIRECTIVES
from gaproute.config.errors import ConfigurationError, Mistake, in_order_of_lines
from gaproute.config.files import read_configuration
from gaproute.config.parsing import read_lines

# What a deployment states; everything else is the operator's own and stays as it is.
STATED = ("track", "tenant", "copies", "relays", "reports", "cold", "advice", "over-share", "sizes")
STATED_BY_NAME = ("track", "tenant")
NO_SIZES = "no capacities of hosts are reported there"
NO_PROBES = "no probes are allowed there"


class LeftBehind(NamedTuple):
    """A line, or a part of one, that the new shape has no place for."""

    file: str
    line: int
    text: str
    why: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: left behind: {self.text}; {self.why}"


class Migrated(NamedTuple):
    """The text of the new file, and what it could not take over."""

    text: str
    left: list[LeftBehind]


class _Line(NamedTuple):
    """A checked line in its parts."""

    directive: str
    positional: tuple[str, ...]
    keywords: dict[str, str]

    @property
    def key(self) -> tuple[str, str]:
        """The directive, and its name where several such lines may stand in one file."""
        return self.directive, self.positional[0] if self.directive in STATED_BY_NAME else ""

    def text(self) -> str:
        tokens = [self.directive, *self.positional]
        for keyword, value in self.keywords.items():
            tokens += [keyword, value]
        return " ".join(shlex.quote(token) for token in tokens)


class _Shape:
    """What the new deployment states, by directive and name."""

    def __init__(self, lines: list[_Line]) -> None:
        self.directives = list(dict.fromkeys(line.directive for line in lines))
        self.lines = {line.key: line for name in self.directives for line in lines if line.directive == name}
        sizes, reports = self.lines.get(("sizes", "")), self.lines.get(("reports", ""))
        self.without_sizes = sizes is not None and sizes.positional == ("no",)
        self.without_probes = reports is not None and reports.keywords.get("probes") == "no"

    def lacks(self, directive: str, name: str) -> bool:
        """Whether the new deployment states such lines, but not this one."""
        return directive in self.directives and (directive, name) not in self.lines


def migrate(old_file: str, old_text: str, shape_file: str, shape_text: str, new_file: str) -> Migrated:
    """The old file by the new shape. Errors: `ConfigurationError` of either file or the result."""
    mistakes: list[Mistake] = []
    shape = _Shape([])
    try:
        read_configuration(old_file, old_text)
    except ConfigurationError as error:
        mistakes += error.mistakes
    try:
        shape = _read_shape(shape_file, shape_text)
    except ConfigurationError as error:
        mistakes += error.mistakes
    if mistakes:
        raise ConfigurationError(mistakes)
    migration = _Migration(old_file, shape)
    for number, raw in enumerate(old_text.splitlines(), 1):
        migration.take_over(number, raw)
    text = migration.text()
    read_configuration(new_file, text)
    return Migrated(text, migration.left)


def _read_shape(file: str, text: str) -> _Shape:
    """What a shape states. Errors: `ConfigurationError`."""
    found, mistakes, _ = read_lines(file, text, DIRECTIVES)
    mistakes += named_twice(file, found)
    mistakes += _not_stated(file, [(directive, line.line) for directive, line in found])
    if not found and not mistakes:
        mistakes.append(Mistake(file, 0, "", "states nothing", "name what the new deployment states"))
    if mistakes:
        raise in_order_of_lines(mistakes)
    return _Shape([_parts(tokens) for tokens in map(_split, text.splitlines()) if tokens])


def _not_stated(file: str, directives: list[tuple[str, int]]) -> Iterator[Mistake]:
    expected = f"a shape holds {', '.join(STATED)}; the rest stays in the old file"
    for directive, line in directives:
        if directive not in STATED:
            yield Mistake(file, line, directive, f"{directive} is no statement of a deployment", expected)


class _Migration:
    """The new file while the lines of the old one are taken over."""

    def __init__(self, file: str, shape: _Shape) -> None:
        self.file, self.shape = file, shape
        self.lines: list[str] = []
        self.left: list[LeftBehind] = []
        self.used: set[tuple[str, str]] = set()

    def take_over(self, number: int, raw: str) -> None:
        """One line of the old file."""
        tokens = _split(raw)
        if not tokens:
            self.lines.append(raw)
            return
        old = _parts(tokens)
        absent = self._absent(old)
        if absent is not None:
            self._leave(number, " ".join(tokens), f"the new deployment has no {absent}")
            return
        new = self._without_unknown(number, self._restated(old))
        changed = old.directive in self.shape.directives or new.keywords != old.keywords
        self.lines.append(new.text() + _comment(raw, tokens) if changed else raw)

    def _absent(self, line: _Line) -> str | None:
        """The track or tenant that the line needs and the new deployment lacks."""
        directive, name = line.key
        if self.shape.lacks(directive, name):
            return f"{directive} {name}"
        if directive == "model" and self.shape.lacks("track", line.keywords["track"]):
            return f"track {line.keywords['track']}"
        return None

    def _restated(self, line: _Line) -> _Line:
        """The line with what the shape states; a track or tenant is stated whole."""
        stated = self.shape.lines.get(line.key)
        if stated is None:
            return line
        self.used.add(line.key)
        if line.directive in STATED_BY_NAME:
            return stated
        return stated._replace(keywords=line.keywords | stated.keywords)

    def _without_unknown(self, number: int, line: _Line) -> _Line:
        """The line without what cannot be known or done in the new deployment."""
        keywords = dict(line.keywords)
        if line.directive == "host" and self.shape.without_sizes and "capacity" in keywords:
            capacity = keywords.pop("capacity")
            self._leave(number, f"host {line.positional[0]} capacity {capacity}", NO_SIZES)
        if line.directive == "hosts-file" and self.shape.without_sizes:
            self._leave(number, f"capacities in {line.positional[0]}", f"{NO_SIZES}: they count as 1")
        if line.directive == "reach" and self.shape.without_probes and "probe" in keywords:
            self._leave(number, f"reach probe {keywords.pop('probe')}", NO_PROBES)
        return line._replace(keywords=keywords)

    def _leave(self, number: int, text: str, why: str) -> None:
        self.left.append(LeftBehind(self.file, number, text, why))

    def text(self) -> str:
        """The new file: the lines taken over, then what the shape alone states."""
        lines = list(self.lines)
        rest = [line.text() for key, line in self.shape.lines.items() if key not in self.used]
        if rest:
            lines += ["", "# stated by the new deployment", *rest]
        return "\n".join(lines) + "\n"


def _split(raw: str) -> list[str]:
    return shlex.split(raw, comments=True)


def _parts(tokens: list[str]) -> _Line:
    """A checked line in its parts."""
    directive, *rest = tokens
    count = len(DIRECTIVES[directive].positional_in(rest))
    positional, pairs = tuple(rest[:count]), rest[count:]
    return _Line(directive, positional, dict(zip(pairs[::2], pairs[1::2], strict=True)))


def _comment(raw: str, tokens: list[str]) -> str:
    """The comment that ends a line, with the space before it."""
    for place, letter in enumerate(raw):
        if letter != "#":
            continue
        try:
            if shlex.split(raw[:place]) == tokens:
                return "  " + raw[place:]
        except ValueError:
            continue  # within quotes
    return ""
