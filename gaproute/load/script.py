"""The script of a load: lines in the manner of the configuration (docs/load.md).

Fields of a directive are the keywords of its line.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, ClassVar, Literal, TypeVar

from pydantic import BeforeValidator, Field

from gaproute.config.errors import ConfigurationError, Mistake
from gaproute.config.parsing import Directive, NamedDirective, parse_lines
from gaproute.config.values import Address, Duration, Name, Size, YesNo
from gaproute.units import SECOND

DirectiveT = TypeVar("DirectiveT", bound=Directive)


class Target(Directive):
    """An address that connections go to; each takes one of all targets by chance."""

    positional: ClassVar = ("where",)
    example: ClassVar = "target 127.0.0.1:8080"
    where: Address


class Length(Directive):
    """How long the load is played, from when all connections are open."""

    positional: ClassVar = ("span",)
    example: ClassVar = "length 30s"
    once: ClassVar = True
    span: Duration = Field(default=10 * SECOND, gt=0)


class Hold(Directive):
    """How many connections are kept open."""

    positional: ClassVar = ("count",)
    example: ClassVar = "hold 1000 over 2s addresses 50 tcp yes"
    once: ClassVar = True
    count: int = Field(default=100, ge=1, le=200_000)
    over: Duration = SECOND  # in which they are opened
    addresses: int = Field(
        default=1, ge=1, le=60_000
    )  # loopback addresses that they come from, 127.1.0.1 upwards
    again: Duration = SECOND  # until one that was closed is opened again


class Traffic(Directive):
    """Requests of one kind.

    Open loop (`rate`, a second): requests arrive at random times whatever becomes of earlier ones.
    Closed loop (`think`): each connection pauses for a random time after each answer.
    Just one of the two is given.
    """

    positional: ClassVar = ("name",)
    example: ClassVar = "traffic checks rate 200 path /v2/models/lamp/infer body 300"
    name: Name
    rate: float = Field(default=0, ge=0)
    think: Duration = 0
    path: Annotated[tuple[str, ...], BeforeValidator(lambda value: tuple(value.split(",")))]
    method: Literal["POST", "GET"] = "POST"
    body: Size = Field(default=200, ge=0, le=16 << 20)
    pipeline: int = Field(default=1, ge=1, le=64)  # requests sent back to back on one connection
    patience: Duration = Field(default=10 * SECOND, gt=0)  # until a request is given up, with its connection
    share: float = Field(default=1.0, gt=0, le=1)  # of the connections that belong to it


class Slow(Directive):
    """Clients that send a request's head or body, or read answers, a byte at a time, or send nothing."""

    positional: ClassVar = ("count",)
    example: ClassVar = "slow 100 what head every 1s"
    count: int = Field(ge=1)
    what: Literal["head", "body", "read", "silent"] = "head"
    every: Duration = Field(default=SECOND, gt=0)  # between bytes
    again: YesNo = True  # a new connection is opened where one was closed


class Storm(Directive):
    """A reconnect storm: open connections are reset at once and come back within a short time."""

    example: ClassVar = "storm at 10s share 0.5 back 1s"
    at: Duration
    share: float = Field(default=0.5, gt=0, le=1)  # of the open connections
    back: Duration = SECOND  # in which all are opened again, each with one request


DIRECTIVES: dict[str, type[Directive]] = {
    "target": Target,
    "length": Length,
    "hold": Hold,
    "traffic": Traffic,
    "slow": Slow,
    "storm": Storm,
}


@dataclass(frozen=True)
class LoadScript:
    """A checked script. `length`: ns from when all connections are open."""

    text: str
    targets: Sequence[str]
    length: int
    hold: Hold
    traffic: Sequence[Traffic]
    slow: Sequence[Slow]
    storms: Sequence[Storm]

    @classmethod
    def of_directives(cls, text: str, found: Sequence[NamedDirective]) -> LoadScript:
        """The script whose lines were parsed to these directives, with defaults for what is not named."""

        def directives(kind: type[DirectiveT]) -> list[DirectiveT]:
            return [directive for _, directive in found if isinstance(directive, kind)]

        return cls(
            text=text,
            targets=[target.where for target in directives(Target)],
            length=(directives(Length) or [Length()])[0].span,
            hold=(directives(Hold) or [Hold()])[0],
            traffic=directives(Traffic),
            slow=directives(Slow),
            storms=directives(Storm),
        )


def read_load_script(name: str | Path, text: str | None = None) -> LoadScript:
    """Parse the script `text`, or the file `name` where none is given. Errors: `ConfigurationError`."""
    if text is None:
        text = _read_text(name)
    found, mistakes, first_lines = parse_lines(str(name), text, DIRECTIVES)
    if "target" not in first_lines:
        mistakes.append(Mistake(str(name), 0, "", "no target line", f"right would be: {Target.example}"))
    mistakes += _traffic_mistakes(str(name), [directive for word, directive in found if word == "traffic"])
    if mistakes:
        raise ConfigurationError(sorted(mistakes, key=lambda mistake: mistake.line))
    return LoadScript.of_directives(text, found)


def _read_text(path: str | Path) -> str:
    try:
        return Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError(
            [Mistake(str(path), 0, "", f"cannot be read: {error}", "name a readable text file")]
        ) from None


def _traffic_mistakes(file: str, lines: Sequence[Traffic]) -> list[Mistake]:
    """What is wrong with the `traffic` lines beyond the value of a single field."""
    mistakes = []
    names: set[str] = set()
    for line in lines:
        if bool(line.rate) == bool(line.think):
            found = "traffic has either a rate or a time to think"
            mistakes.append(Mistake(file, line.line, "traffic", found, f"right would be: {Traffic.example}"))
        if line.name in names:
            found = f"traffic {line.name} stands a second time"
            mistakes.append(Mistake(file, line.line, "", found, "give it another name"))
        names.add(line.name)
    return mistakes
