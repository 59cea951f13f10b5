"""Scripts of days: lines in the manner of the configuration (docs/trials.md).

The lines of `script_lines` are the script's own. `track`, `copies`, `relays`, `reports`, `cold`, `advice` and
`clients` go to the gateways' configuration unchanged.
"""

from collections.abc import Callable, Mapping
from importlib import resources
from importlib.resources.abc import Traversable
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

from gaproute.config.directives import DIRECTIVES
from gaproute.config.directives.requests import RequestClassLine, WarmInstancesLine
from gaproute.config.errors import ConfigurationError, Mistake
from gaproute.config.parsing import Directive, NamedDirective, parse_lines
from gaproute.scenarios.script_lines import (
    SCRIPT_LINES,
    DayFaultLine,
    DayLine,
    HostLife,
    KindLine,
    StoreLine,
    TrafficLine,
)

GATEWAY_LINES = ("track", "copies", "relays", "reports", "cold", "advice", "clients")

Line = TypeVar("Line", bound=Directive)
# The mistakes of a file's lines beside their form.
Check = Callable[[str, list[NamedDirective]], list[Mistake]]


class Script:
    """What a script says. `text`: the script itself; `found`: its lines."""

    def __init__(self, text: str, found: list[NamedDirective]) -> None:
        self.text = text
        self.day: DayLine = _only(found, "day", DayLine)
        self.store: StoreLine = _only(found, "store", StoreLine)
        self.host_life: HostLife = _only(found, "host-life", HostLife)
        self.warm_instances: WarmInstancesLine = _only(found, "copies", WarmInstancesLine)
        self.host_kinds: list[KindLine] = _all(found, "kind") or [KindLine.model_validate({"name": "std"})]
        self.traffic: list[TrafficLine] = _all(found, "traffic")
        self.request_classes: list[RequestClassLine] = _all(found, "track")
        self.day_faults: list[DayFaultLine] = _all(found, "trouble")
        lines = text.splitlines()
        self.gateway_lines = [lines[line.line - 1] for keyword, line in found if keyword in GATEWAY_LINES]


def _all(found: list[NamedDirective], keyword: str) -> list[Any]:
    return [directive for name, directive in found if name == keyword]


def _only(found: list[NamedDirective], keyword: str, kind: type[Line]) -> Line:
    """The one line with this keyword; the defaults of its class where there is none."""
    return next(iter(_all(found, keyword)), None) or kind()


class ParsedScript(NamedTuple):
    """A script, and the lines that it was made from."""

    script: Script
    found: list[NamedDirective]


def _no_mistakes(file: str, found: list[NamedDirective]) -> list[Mistake]:
    return []


def read_script(
    name: str, further: Mapping[str, type[Directive]] | None = None, check: Check = _no_mistakes
) -> ParsedScript:
    """A script that comes with the program by its name, or one by its path.

    `further`: lines that it may have beside a day's own, `check`: finds the mistakes of these.
    Raises `ConfigurationError` with all mistakes.
    """
    file = str(name)
    text = _read_text(file)
    lines = SCRIPT_LINES | {keyword: DIRECTIVES[keyword] for keyword in GATEWAY_LINES} | dict(further or {})
    found, mistakes, _ = parse_lines(file, text, lines)
    mistakes = [*mistakes, *_mistakes(file, found), *check(file, found)]
    if mistakes:
        raise ConfigurationError(sorted(mistakes, key=lambda mistake: mistake.line))
    return ParsedScript(Script(text, found), found)


def _read_text(name: str) -> str:
    shipped = resources.files("gaproute.scenarios") / "scripts" / f"{name}.script"
    file: Traversable = shipped if shipped.is_file() else Path(name)
    try:
        return file.read_text()
    except OSError as error:
        mistake = Mistake(name, 0, "", f"no such script: {error}", "name bad-day or a file")
        raise ConfigurationError([mistake]) from None


def _mistakes(file: str, found: list[NamedDirective]) -> list[Mistake]:
    """Whether there are request classes, and traffic names them alone."""
    names = [track.name for track in _all(found, "track")]
    mistakes = []
    if not names:
        expected = f"right would be: {DIRECTIVES['track'].example}"
        mistakes.append(Mistake(file, 0, "", "no track line", expected))
    known = f"the tracks here: {', '.join(names)}"
    mistakes += [
        Mistake(file, traffic.line, "", f"no track {traffic.track!r}", known)
        for traffic in _all(found, "traffic")
        if traffic.track not in names
    ]
    return mistakes
