"""Lines of words as checked directives. One directive a line; `#` begins a comment; quotes hold spaces
together.

A directive's class names its positional words in `places`; the rest come as `keyword value`. Checking is
pydantic's; what it says is turned into: file, line, what is wrong, what would be right.
"""

import difflib
import re
import shlex
from typing import Annotated, Any, ClassVar, NamedTuple

from pydantic import BaseModel, BeforeValidator, ConfigDict, ValidationError

UNITS = {
    "ns": 1,
    "us": 1_000,
    "ms": 1_000_000,
    "s": 1_000_000_000,
    "m": 60_000_000_000,
    "h": 3_600_000_000_000,
}
PLAIN = re.compile(r"[\w \t.:,=+/@%\[\]-]*", re.ASCII)  # lines without quotes or comments: split fast
SIZES = {"": 1, "k": 1 << 10, "m": 1 << 20, "g": 1 << 30}


class Mistake(NamedTuple):
    file: str
    line: int
    wrong: str
    cure: str

    def __str__(self):
        return f"{self.file}:{self.line}: {self.wrong}; {self.cure}"


class ConfigurationError(Exception):
    """All that is wrong with a file."""

    def __init__(self, mistakes):
        super().__init__("\n".join(map(str, mistakes)))
        self.mistakes = mistakes


def _span(value: Any):
    if not isinstance(value, str):
        return value
    number = value.rstrip("abcdefghijklmnopqrstuvwxyz")
    unit = value[len(number) :]
    try:
        span = float(number) * UNITS[unit]
    except (ValueError, KeyError):
        raise ValueError(f"{value!r} is no time: a number with ms, s, m or h, such as 250ms") from None
    if not 0 <= span < 1 << 62:
        raise ValueError(f"{value!r} is out of range: 0 or more, and finite")
    return round(span)


def _size(value: Any):
    if not isinstance(value, str):
        return value
    number = value.rstrip("kmg")
    if not number.isdigit() or value[len(number) :] not in SIZES:
        raise ValueError(f"{value!r} is no size: a whole number with k, m or g, such as 16m")
    return int(number) * SIZES[value[len(number) :]]


def _yes(value: Any):
    if value in ("yes", "no"):
        return value == "yes"
    if isinstance(value, bool):
        return value
    raise ValueError(f"{value!r} is neither yes nor no")


Span = Annotated[int, BeforeValidator(_span)]
Size = Annotated[int, BeforeValidator(_size)]
Yes = Annotated[bool, BeforeValidator(_yes)]


class Directive(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)
    places: ClassVar[tuple[str, ...]] = ()  # fields given by place
    example: ClassVar[str] = ""
    once: ClassVar[bool] = False
    line: int = 0

    @classmethod
    def places_of(cls, words):
        """The fields that these words of a line give by place."""
        return cls.places


def read_lines(file, text, kinds, most_mistakes=None):
    """`kinds`: {word: Directive class}. Returns [(word, directive)], [Mistake], {word: its first line}.

    Reading ends at `most_mistakes` where that is given.
    """
    found, mistakes, first = [], [], {}
    for number, raw in enumerate(text.splitlines(), 1):
        if most_mistakes is not None and len(mistakes) >= most_mistakes:
            break
        try:
            words = raw.split() if PLAIN.fullmatch(raw) else shlex.split(raw, comments=True)
        except ValueError as fault:
            mistakes.append(Mistake(file, number, f"cannot be split into words: {fault}", "close the quote"))
            continue
        if not words:
            continue
        word, *rest = words
        kind = kinds.get(word)
        if kind is None:
            near = difflib.get_close_matches(word, kinds, 1)
            cure = f"did you mean {near[0]}?" if near else f"the words known here: {', '.join(sorted(kinds))}"
            mistakes.append(Mistake(file, number, f"unknown word {word!r}", cure))
            continue
        if kind.once and word in first:
            mistakes.append(
                Mistake(file, number, f"{word} stands a second time", f"keep line {first[word]} or this")
            )
            continue
        first.setdefault(word, number)
        wrong, directive = _read(kind, rest, number)
        cure = f"right would be: {kind.example}"
        mistakes += [Mistake(file, number, f"{word}: {text}", cure) for text in wrong]
        if directive is not None:
            found.append((word, directive))
    return found, mistakes, first


def _read(kind, words, number):
    """[what is wrong], directive or None."""
    places = kind.places_of(words)
    if len(words) < len(places):
        return [f"{' '.join(place.upper() for place in places[len(words) :])} is missing"], None
    given = dict(zip(places, words[: len(places)], strict=True))
    rest = words[len(places) :]
    wrong = []
    names = {
        field.alias or name.replace("_", "-"): field.alias or name
        for name, field in kind.model_fields.items()
        if name not in kind.places and name != "line"
    }
    for place in range(0, len(rest), 2):
        key = rest[place]
        if key not in names:
            near = difflib.get_close_matches(key, names, 1)
            wrong.append(f"unknown keyword {key!r}" + (f", perhaps {near[0]}" if near else ""))
        elif names[key] in given:
            wrong.append(f"{key} stands twice")
        elif place + 1 == len(rest):
            wrong.append(f"{key} has no value")
        else:
            given[names[key]] = rest[place + 1]
    if wrong:
        return wrong, None
    try:
        return [], kind(line=number, **given)
    except ValidationError as fault:
        return [
            f"{'.'.join(str(part) for part in error['loc']).replace('_', '-') or 'line'}: "
            f"{error['msg'].removeprefix('Value error, ')}"
            for error in fault.errors()
        ], None
