"""Rewrites a configuration for another deployment: the implementation of `gaproute migrate`.

The directives that the new deployment prescribes are in a file of the same syntax, the shape. The old file is
copied line by line, with its comments, and the shape's values override the old ones keyword by keyword. If
the shape has tracks, they replace all tracks of the old file, each line as a whole; likewise tenants. What
cannot be carried over is reported with its line and the reason. The result is checked like any configuration.
"""

import shlex
from collections.abc import Iterator
from typing import NamedTuple

from gaproute.config.consistency import duplicate_name_mistakes
from gaproute.config.directives import DIRECTIVES
from gaproute.config.errors import ConfigurationError, Mistake, error_sorted_by_line
from gaproute.config.files import read_configuration
from gaproute.config.parsing import parse_lines

# The directives that a deployment prescribes; the operator's other lines are copied unchanged.
SHAPE_DIRECTIVES = ("track", "tenant", "copies", "relays", "reports", "cold", "advice", "over-share", "sizes")
NAMED_SHAPE_DIRECTIVES = ("track", "tenant")  # each may have several lines, which differ by name
NO_CAPACITIES_REASON = "the new deployment reports no capacities of hosts"
NO_PROBES_REASON = "the new deployment allows no probes"


class LeftBehind(NamedTuple):
    """A line, or a part of a line, that cannot be carried over, and the reason."""

    file: str
    line: int
    text: str
    why: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: left behind: {self.text}; {self.why}"


class Migrated(NamedTuple):
    """The text of the new file, and what could not be carried over."""

    text: str
    left: list[LeftBehind]


class _ParsedLine(NamedTuple):
    """A valid line, split into the directive and its arguments."""

    directive: str
    positional: tuple[str, ...]
    keywords: dict[str, str]

    @property
    def key(self) -> tuple[str, str]:
        """The directive, and the line's name if the directive may occur several times."""
        return self.directive, self.positional[0] if self.directive in NAMED_SHAPE_DIRECTIVES else ""

    def text(self) -> str:
        tokens = [self.directive, *self.positional]
        for keyword, value in self.keywords.items():
            tokens += [keyword, value]
        return " ".join(shlex.quote(token) for token in tokens)


class _Shape:
    """The lines that the new deployment prescribes, by directive and name."""

    def __init__(self, lines: list[_ParsedLine]) -> None:
        self.directives = list(dict.fromkeys(line.directive for line in lines))
        self.lines = {line.key: line for name in self.directives for line in lines if line.directive == name}
        sizes, reports = self.lines.get(("sizes", "")), self.lines.get(("reports", ""))
        self.capacities_disabled = sizes is not None and sizes.positional == ("no",)
        self.probes_disabled = reports is not None and reports.keywords.get("probes") == "no"

    def omits(self, directive: str, name: str) -> bool:
        """Whether the shape has lines of this directive, but none of this name."""
        return directive in self.directives and (directive, name) not in self.lines


def migrate(old_file: str, old_text: str, shape_file: str, shape_text: str, new_file: str) -> Migrated:
    """Rewrites the old file by the shape. Errors: `ConfigurationError` of either file or of the result."""
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
        migration.migrate_line(number, raw)
    text = migration.text()
    read_configuration(new_file, text)
    return Migrated(text, migration.left)


def _read_shape(file: str, text: str) -> _Shape:
    """The shape in a file's text. Errors: `ConfigurationError`."""
    directives, mistakes, _ = parse_lines(file, text, DIRECTIVES)
    mistakes += duplicate_name_mistakes(file, directives)
    mistakes += _misplaced_directives(file, [(directive, line.line) for directive, line in directives])
    if not directives and not mistakes:
        mistakes.append(
            Mistake(
                file, 0, "", "the shape states nothing", "add the lines that the new deployment prescribes"
            )
        )
    if mistakes:
        raise error_sorted_by_line(mistakes)
    return _Shape([_parse_tokens(tokens) for tokens in map(_split_tokens, text.splitlines()) if tokens])


def _misplaced_directives(file: str, directives: list[tuple[str, int]]) -> Iterator[Mistake]:
    expected = f"a shape may have {', '.join(SHAPE_DIRECTIVES)}; other lines stay in the old file"
    for directive, line in directives:
        if directive not in SHAPE_DIRECTIVES:
            yield Mistake(file, line, directive, f"{directive} is not a directive of a shape", expected)


class _Migration:
    """Builds the new file from the lines of the old one."""

    def __init__(self, file: str, shape: _Shape) -> None:
        self.file, self.shape = file, shape
        self.lines: list[str] = []
        self.left: list[LeftBehind] = []
        self.used_shape_keys: set[tuple[str, str]] = set()

    def migrate_line(self, number: int, raw: str) -> None:
        """Adds a line of the old file to the new one, changed by the shape, or reports it as left behind."""
        tokens = _split_tokens(raw)
        if not tokens:
            self.lines.append(raw)
            return
        old = _parse_tokens(tokens)
        absent = self._missing_track_or_tenant(old)
        if absent is not None:
            self._add_left_behind(number, " ".join(tokens), f"the new deployment has no {absent}")
            return
        new = self._without_unsupported_keywords(number, self._with_shape_values(old))
        changed = old.directive in self.shape.directives or new.keywords != old.keywords
        self.lines.append(new.text() + _trailing_comment(raw, tokens) if changed else raw)

    def _missing_track_or_tenant(self, line: _ParsedLine) -> str | None:
        """The track or tenant that the line needs and the shape omits, or None."""
        directive, name = line.key
        if self.shape.omits(directive, name):
            return f"{directive} {name}"
        if directive == "model" and self.shape.omits("track", line.keywords["track"]):
            return f"track {line.keywords['track']}"
        return None

    def _with_shape_values(self, line: _ParsedLine) -> _ParsedLine:
        """The line with the keywords of the shape; a track or tenant is replaced as a whole."""
        stated = self.shape.lines.get(line.key)
        if stated is None:
            return line
        self.used_shape_keys.add(line.key)
        if line.directive in NAMED_SHAPE_DIRECTIVES:
            return stated
        return stated._replace(keywords=line.keywords | stated.keywords)

    def _without_unsupported_keywords(self, number: int, line: _ParsedLine) -> _ParsedLine:
        """The line without the keywords that the new deployment does not support."""
        keywords = dict(line.keywords)
        if line.directive == "host" and self.shape.capacities_disabled and "capacity" in keywords:
            capacity = keywords.pop("capacity")
            self._add_left_behind(
                number, f"host {line.positional[0]} capacity {capacity}", NO_CAPACITIES_REASON
            )
        if line.directive == "hosts-file" and self.shape.capacities_disabled:
            self._add_left_behind(
                number, f"capacities in {line.positional[0]}", f"{NO_CAPACITIES_REASON}: each counts as 1"
            )
        if line.directive == "reach" and self.shape.probes_disabled and "probe" in keywords:
            self._add_left_behind(number, f"reach probe {keywords.pop('probe')}", NO_PROBES_REASON)
        return line._replace(keywords=keywords)

    def _add_left_behind(self, number: int, text: str, why: str) -> None:
        self.left.append(LeftBehind(self.file, number, text, why))

    def text(self) -> str:
        """The new file: the lines of the old file, then the lines that only the shape has."""
        lines = list(self.lines)
        rest = [line.text() for key, line in self.shape.lines.items() if key not in self.used_shape_keys]
        if rest:
            lines += ["", "# stated by the new deployment", *rest]
        return "\n".join(lines) + "\n"


def _split_tokens(raw: str) -> list[str]:
    return shlex.split(raw, comments=True)


def _parse_tokens(tokens: list[str]) -> _ParsedLine:
    """Splits the tokens of a valid line into the directive and its arguments."""
    directive, *rest = tokens
    count = len(DIRECTIVES[directive].positional_fields_of(rest))
    positional, pairs = tuple(rest[:count]), rest[count:]
    return _ParsedLine(directive, positional, dict(zip(pairs[::2], pairs[1::2], strict=True)))


def _trailing_comment(raw: str, tokens: list[str]) -> str:
    """The comment at the end of a line, after two spaces, or an empty text."""
    for place, letter in enumerate(raw):
        if letter != "#":
            continue
        try:
            if shlex.split(raw[:place]) == tokens:
                return "  " + raw[place:]
        except ValueError:
            continue  # this # is within quotes
    return ""
