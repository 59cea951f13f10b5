"""What a load is: lines in the configuration's manner (docs/load.md)."""

from pathlib import Path
from typing import Annotated, ClassVar, Literal

from pydantic import BeforeValidator, Field

from gaproute.config.errors import ConfigurationError, Mistake
from gaproute.config.parsing import Directive, read_lines
from gaproute.config.values import Address, Duration, Name, Size, YesNo


class Target(Directive):
    positional: ClassVar = ("where",)
    example: ClassVar = "target 127.0.0.1:8080"
    where: Address


class Length(Directive):
    positional: ClassVar = ("span",)
    example: ClassVar = "length 30s"
    once: ClassVar = True
    span: Duration = Field(10_000_000_000, gt=0)


class Hold(Directive):
    positional: ClassVar = ("count",)
    example: ClassVar = "hold 1000 over 2s addresses 50 tcp yes"
    once: ClassVar = True
    count: int = Field(100, ge=1, le=200_000)
    over: Duration = 1_000_000_000  # in which they are opened
    addresses: int = Field(1, ge=1, le=60_000)  # loopback addresses that they come from, 127.1.0.1 upwards
    again: Duration = 1_000_000_000  # until one that was closed is opened again


class Traffic(Directive):
    """Open loop: tasks arrive at a rate whatever becomes of the ones before. Closed loop: each connection
    thinks for a time after each answer. One of `rate` and `think`."""

    positional: ClassVar = ("name",)
    example: ClassVar = "traffic checks rate 200 path /v2/models/lamp/infer body 300"
    name: Name
    rate: float = Field(0, ge=0)
    think: Duration = 0
    path: Annotated[tuple[str, ...], BeforeValidator(lambda value: tuple(value.split(",")))]
    method: Literal["POST", "GET"] = "POST"
    body: Size = Field(200, ge=0, le=16 << 20)
    pipeline: int = Field(1, ge=1, le=64)  # tasks sent back to back on one connection
    patience: Duration = Field(10_000_000_000, gt=0)
    share: float = Field(1.0, gt=0, le=1)  # of the connections that belong to it


class Slow(Directive):
    positional: ClassVar = ("count",)
    example: ClassVar = "slow 100 what head every 1s"
    count: int = Field(ge=1)
    what: Literal["head", "body", "read", "silent"] = "head"
    every: Duration = Field(1_000_000_000, gt=0)  # between bytes
    again: YesNo = True  # a new one where one is closed


class Storm(Directive):
    example: ClassVar = "storm at 10s share 0.5 back 1s"
    at: Duration
    share: float = Field(0.5, gt=0, le=1)  # of the connections held: they are reset
    back: Duration = 1_000_000_000  # in which all are opened again, each with one task


WORDS = {"target": Target, "length": Length, "hold": Hold, "traffic": Traffic, "slow": Slow, "storm": Storm}


class LoadScript:
    def __init__(self, text, found):
        def all_of(word):
            return [directive for name, directive in found if name == word]

        self.text = text
        self.targets = [line.where for line in all_of("target")]
        self.length = (all_of("length") or [Length(span="10s")])[0].span
        self.hold = (all_of("hold") or [Hold(count=100)])[0]
        self.traffic, self.slow, self.storms = all_of("traffic"), all_of("slow"), all_of("storm")


def read_load_script(name, text=None):
    """Errors: `ConfigurationError`."""
    if text is None:
        try:
            text = Path(name).read_text()
        except (OSError, UnicodeDecodeError) as fault:
            raise ConfigurationError(
                [Mistake(str(name), 0, "", f"cannot be read: {fault}", "name a readable text file")]
            ) from None
    found, mistakes, words = read_lines(str(name), text, WORDS)
    if "target" not in words:
        mistakes.append(Mistake(str(name), 0, "", "no target line", f"right would be: {Target.example}"))
    names = set()
    for word, line in found:
        if word == "traffic" and bool(line.rate) == bool(line.think):
            mistakes.append(
                Mistake(
                    str(name),
                    line.line,
                    "traffic",
                    "traffic has either a rate or a time to think",
                    f"right would be: {Traffic.example}",
                )
            )
        if word == "traffic" and line.name in names:
            mistakes.append(
                Mistake(
                    str(name),
                    line.line,
                    "",
                    f"traffic {line.name} stands a second time",
                    "give it another name",
                )
            )
        if word == "traffic":
            names.add(line.name)
    if mistakes:
        raise ConfigurationError(sorted(mistakes, key=lambda mistake: mistake.line))
    return LoadScript(text, found)
