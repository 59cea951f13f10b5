"""Lines of text as checked directives: one a line, `#` begins a comment, quotes hold spaces together.

A directive's class names its positional fields; the rest come as `keyword value`. pydantic checks the values;
what it reports becomes a `Mistake` with the line, the field, what was found and what is expected.
"""

import difflib
import re
import shlex
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, ClassVar, NamedTuple, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError
from pydantic_core import ErrorDetails

from gaproute.config.errors import Mistake, expected_line

PLAIN_LINE_PATTERN = re.compile(
    r"[\w \t.:,=+/@%\[\]-]*", re.ASCII
)  # lines without quotes or comments: split fast
MAX_SHOWN_VALUE_LENGTH = 80  # characters of a value in a mistake


class Directive(BaseModel):
    """A checked line. `line` is its number in the file, 0 where a directive was not read from one."""

    model_config = ConfigDict(extra="forbid", frozen=True)
    positional: ClassVar[tuple[str, ...]] = ()  # fields given by their position
    example: ClassVar[str] = ""
    once: ClassVar[bool] = False  # at most one such line in a file
    line: int = 0

    @classmethod
    def positional_fields_of(cls, arguments: list[str]) -> tuple[str, ...]:
        """The fields that these arguments of a line give by their position."""
        return cls.positional

    @classmethod
    def fields_by_keyword(cls) -> dict[str, str]:
        """The name of the field, as the constructor takes it, by keyword."""
        return {
            info.alias or name.replace("_", "-"): info.alias or name
            for name, info in cls.model_fields.items()
            if name not in cls.positional and name != "line"
        }


DirectiveType = TypeVar("DirectiveType", bound=Directive)


class NamedDirective(NamedTuple):
    """A directive with its name, which its line begins with."""

    name: str
    directive: Any  # of the class that its reader has for the name


def directives_of(found: Iterable[NamedDirective], kind: type[DirectiveType]) -> list[DirectiveType]:
    """The directives of one class, in the order of their lines."""
    return [directive for _, directive in found if isinstance(directive, kind)]


class ParsedLines(NamedTuple):
    """What was read from a file: its directives, its mistakes, and the first line of each directive."""

    found: list[NamedDirective]
    mistakes: list[Mistake]
    first_lines: dict[str, int]


def parse_lines(
    file: str, text: str, kinds: Mapping[str, type[Directive]], max_mistakes: int | None = None
) -> ParsedLines:
    """The directives of a text; `kinds` gives the class of each by its name.

    Reading ends at `max_mistakes` mistakes where it is given.
    """
    parser = _Parser(file, kinds)
    for number, raw in enumerate(text.splitlines(), 1):
        if max_mistakes is not None and len(parser.mistakes) >= max_mistakes:
            break
        parser.parse_line(number, raw)
    return ParsedLines(parser.found, parser.mistakes, parser.first_lines)


@dataclass
class _Parser:
    file: str
    kinds: Mapping[str, type[Directive]]
    found: list[NamedDirective] = field(default_factory=list)
    mistakes: list[Mistake] = field(default_factory=list)
    first_lines: dict[str, int] = field(default_factory=dict)

    def parse_line(self, number: int, raw: str) -> None:
        """One line of the file."""
        try:
            tokens = raw.split() if PLAIN_LINE_PATTERN.fullmatch(raw) else shlex.split(raw, comments=True)
        except ValueError as error:
            self._add_mistake(number, "", f"cannot be split into arguments: {error}", "close the quote")
            return
        if not tokens:
            return
        name, *arguments = tokens
        kind = self.kinds.get(name)
        if kind is None:
            self._add_mistake(number, "", f"unknown directive {name!r}", self._expected_directive(name))
        elif kind.once and name in self.first_lines:
            self._add_mistake(
                number, name, f"{name} stands a second time", f"keep line {self.first_lines[name]} or this"
            )
        else:
            self.first_lines.setdefault(name, number)
            self._parse_directive(name, kind, arguments, number)

    def _parse_directive(self, name: str, kind: type[Directive], arguments: list[str], number: int) -> None:
        given, wrong = _parse_arguments(kind, arguments)
        if not wrong:
            try:
                fields: dict[str, object] = {"line": number, **given}
                self.found.append(NamedDirective(name, kind.model_validate(fields)))
            except ValidationError as error:
                wrong = [_to_invalid_field(detail) for detail in error.errors()]
        for field_name, found in wrong:
            place = f"{name}: {field_name}" if field_name else name
            self._add_mistake(number, place, found, expected_line(kind.example))

    def _expected_directive(self, name: str) -> str:
        near = difflib.get_close_matches(name, self.kinds, 1)
        return (
            f"did you mean {near[0]}?"
            if near
            else f"the directives known here: {', '.join(sorted(self.kinds))}"
        )

    def _add_mistake(self, number: int, field_name: str, found: str, expected: str) -> None:
        self.mistakes.append(Mistake(self.file, number, field_name, found, expected))


class _InvalidField(NamedTuple):
    """A field of a directive, empty for the line as a whole, and what is wrong with it."""

    field: str
    found: str


def _parse_arguments(
    kind: type[Directive], arguments: list[str]
) -> tuple[dict[str, str], list[_InvalidField]]:
    """The values of a line by field, and what is wrong with the line's form."""
    positional = kind.positional_fields_of(arguments)
    if len(arguments) < len(positional):
        missing = " ".join(name.upper() for name in positional[len(arguments) :])
        return {}, [_InvalidField("", f"{missing} is missing")]
    given = dict(zip(positional, arguments[: len(positional)], strict=True))
    rest = arguments[len(positional) :]
    keywords = kind.fields_by_keyword()
    wrong = []
    for place in range(0, len(rest), 2):
        keyword = rest[place]
        if keyword not in keywords:
            near = difflib.get_close_matches(keyword, keywords, 1)
            wrong.append(
                _InvalidField("", f"unknown keyword {keyword!r}" + (f", perhaps {near[0]}" if near else ""))
            )
        elif keywords[keyword] in given:
            wrong.append(_InvalidField("", f"{keyword} stands twice"))
        elif place + 1 == len(rest):
            wrong.append(_InvalidField("", f"{keyword} has no value"))
        else:
            given[keywords[keyword]] = rest[place + 1]
    return given, wrong


def _to_invalid_field(detail: ErrorDetails) -> _InvalidField:
    """What pydantic reports of one value, with the value."""
    name = ".".join(str(part) for part in detail["loc"]).replace("_", "-") or "line"
    found = detail["msg"].removeprefix("Value error, ")
    value = detail["input"]
    if isinstance(value, str) and repr(value) not in found:
        found = f"{found}, not {value!r:.{MAX_SHOWN_VALUE_LENGTH}}"
    return _InvalidField(name, found)
