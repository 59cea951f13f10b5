"""Parser of directives: one on each line, with comments after `#`, and arguments with spaces in quotes.

The class of a directive names its positional fields; the other fields follow as `keyword value`. pydantic
validates the values, and its errors become `Mistake`s with the line, the field, what was found and what is
expected.
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

# Lines without quotes and comments, which `str.split` splits like shlex, but faster.
PLAIN_LINE_PATTERN = re.compile(r"[\w \t.:,=+/@%\[\]-]*", re.ASCII)
MAX_SHOWN_VALUE_LENGTH = 80  # characters of an invalid value in a mistake


class Directive(BaseModel):
    """A validated line. `line` is its number in the file, or 0 if the directive was not read from a file."""

    model_config = ConfigDict(extra="forbid", frozen=True)
    positional: ClassVar[tuple[str, ...]] = ()  # fields without a keyword, in the order of the arguments
    example: ClassVar[str] = ""
    once: ClassVar[bool] = False  # whether a file may have at most one such line
    line: int = 0

    @classmethod
    def positional_fields_of(cls, arguments: list[str]) -> tuple[str, ...]:
        """The fields that the first of these arguments give without a keyword."""
        return cls.positional

    @classmethod
    def fields_by_keyword(cls) -> dict[str, str]:
        """The names of the other fields, as the constructor takes them, by keyword."""
        return {
            info.alias or name.replace("_", "-"): info.alias or name
            for name, info in cls.model_fields.items()
            if name not in cls.positional and name != "line"
        }


DirectiveType = TypeVar("DirectiveType", bound=Directive)


class NamedDirective(NamedTuple):
    """A directive and its name, which is the first word of its line."""

    name: str
    directive: Any  # an instance of the class that `parse_lines` was given for the name


def directives_of(
    directives: Iterable[NamedDirective], directive_type: type[DirectiveType]
) -> list[DirectiveType]:
    """The directives of one class, in the order of their lines."""
    return [directive for _, directive in directives if isinstance(directive, directive_type)]


class ParsedLines(NamedTuple):
    """The directives and mistakes of a file, and the number of the first line of each directive."""

    directives: list[NamedDirective]
    mistakes: list[Mistake]
    first_lines: dict[str, int]


def parse_lines(
    file: str, text: str, directive_types: Mapping[str, type[Directive]], max_mistakes: int | None = None
) -> ParsedLines:
    """Parses the lines of a text; `directive_types` has the class of each directive by its name.

    Parsing stops after `max_mistakes` mistakes if a limit is given.
    """
    parser = _Parser(file, directive_types)
    for number, raw in enumerate(text.splitlines(), 1):
        if max_mistakes is not None and len(parser.mistakes) >= max_mistakes:
            break
        parser.parse_line(number, raw)
    return ParsedLines(parser.directives, parser.mistakes, parser.first_lines)


@dataclass
class _Parser:
    file: str
    directive_types: Mapping[str, type[Directive]]
    directives: list[NamedDirective] = field(default_factory=list)
    mistakes: list[Mistake] = field(default_factory=list)
    first_lines: dict[str, int] = field(default_factory=dict)

    def parse_line(self, number: int, raw: str) -> None:
        try:
            tokens = raw.split() if PLAIN_LINE_PATTERN.fullmatch(raw) else shlex.split(raw, comments=True)
        except ValueError as error:
            self._add_mistake(
                number, "", f"the line cannot be split into arguments: {error}", "close the quote"
            )
            return
        if not tokens:
            return
        name, *arguments = tokens
        directive_type = self.directive_types.get(name)
        if directive_type is None:
            self._add_mistake(number, "", f"unknown directive {name!r}", self._expected_directive(name))
        elif directive_type.once and name in self.first_lines:
            self._add_mistake(
                number,
                name,
                f"{name} is given a second time",
                f"keep line {self.first_lines[name]} or this line",
            )
        else:
            self.first_lines.setdefault(name, number)
            self._parse_directive(name, directive_type, arguments, number)

    def _parse_directive(
        self, name: str, directive_type: type[Directive], arguments: list[str], number: int
    ) -> None:
        given, wrong = _parse_arguments(directive_type, arguments)
        if not wrong:
            try:
                fields: dict[str, object] = {"line": number, **given}
                self.directives.append(NamedDirective(name, directive_type.model_validate(fields)))
            except ValidationError as error:
                wrong = [_to_invalid_field(detail) for detail in error.errors()]
        for field_name, found in wrong:
            place = f"{name}: {field_name}" if field_name else name
            self._add_mistake(number, place, found, expected_line(directive_type.example))

    def _expected_directive(self, name: str) -> str:
        near = difflib.get_close_matches(name, self.directive_types, 1)
        return (
            f"did you mean {near[0]}?"
            if near
            else f"the known directives are: {', '.join(sorted(self.directive_types))}"
        )

    def _add_mistake(self, number: int, field_name: str, found: str, expected: str) -> None:
        self.mistakes.append(Mistake(self.file, number, field_name, found, expected))


class _InvalidField(NamedTuple):
    """A field of a directive, or an empty name for the whole line, and the error found in it."""

    field: str
    found: str


def _parse_arguments(
    directive_type: type[Directive], arguments: list[str]
) -> tuple[dict[str, str], list[_InvalidField]]:
    """The values of a line by field, and the errors in the form of the line."""
    positional = directive_type.positional_fields_of(arguments)
    if len(arguments) < len(positional):
        missing = " ".join(name.upper() for name in positional[len(arguments) :])
        return {}, [_InvalidField("", f"{missing} is missing")]
    given = dict(zip(positional, arguments[: len(positional)], strict=True))
    rest = arguments[len(positional) :]
    keywords = directive_type.fields_by_keyword()
    wrong = []
    for place in range(0, len(rest), 2):
        keyword = rest[place]
        if keyword not in keywords:
            near = difflib.get_close_matches(keyword, keywords, 1)
            wrong.append(
                _InvalidField("", f"unknown keyword {keyword!r}" + (f", perhaps {near[0]}" if near else ""))
            )
        elif keywords[keyword] in given:
            wrong.append(_InvalidField("", f"{keyword} is given twice"))
        elif place + 1 == len(rest):
            wrong.append(_InvalidField("", f"{keyword} has no value"))
        else:
            given[keywords[keyword]] = rest[place + 1]
    return given, wrong


def _to_invalid_field(detail: ErrorDetails) -> _InvalidField:
    """Converts an error of pydantic, adding the invalid value unless the message contains it."""
    name = ".".join(str(part) for part in detail["loc"]).replace("_", "-") or "line"
    found = detail["msg"].removeprefix("Value error, ")
    value = detail["input"]
    if isinstance(value, str) and repr(value) not in found:
        found = f"{found}, not {value!r:.{MAX_SHOWN_VALUE_LENGTH}}"
    return _InvalidField(name, found)
