"""Scripts of days: lines in the configuration's manner. What the gateways are told stands in their own words.

`day`, `kind`, `traffic`, `store`, `host-life` and `trouble` are the script's; `track`, `copies`, `relays`,
`reports`, `cold`, `advice` and `clients` go to the gateways' configuration as they stand.
"""

from importlib import resources
from pathlib import Path
from typing import ClassVar, Literal

from pydantic import Field

from gaproute.config.directives import DIRECTIVES
from gaproute.config.errors import ConfigurationError, Mistake
from gaproute.config.parsing import Directive, read_lines
from gaproute.config.values import Duration, Name, YesNo

HOST_FAULTS = ("hang", "lost", "fail", "slow", "refuse", "cut", "reset", "shut", "heavy")
PROCESS_FAULTS = ("vanish", "crash", "preempt", "deploy", "gateway-kill", "gateway-stall")
CLIENT_FAULTS = ("burst", "hot")
GATEWAY_DIRECTIVES = ("track", "copies", "relays", "reports", "cold", "advice", "clients")


class DayLine(Directive):
    example: ClassVar = "day length 40s rate 120 hosts 9 gateways 3 models 24 halls 3"
    once: ClassVar = True
    length: Duration = 40_000_000_000
    rate: float = Field(100, gt=0)
    hosts: int = Field(9, ge=1, le=1000)
    gateways: int = Field(3, ge=1, le=900)
    models: int = Field(24, ge=1)
    halls: int = Field(3, ge=1)
    racks: int = Field(4, ge=1)
    retries: int = Field(1, ge=0, le=5)
    impatient: float = Field(0.01, ge=0, le=1)
    zipf: float = 1.1
    peers: YesNo = False  # gateways tell one another what they know
    memory: YesNo = False  # gateways keep what they learnt on disk
    list_delay: Duration = 1_000_000_000  # from what happens to a host until the list tells, drains apart


class KindLine(Directive):
    positional: ClassVar = ("name",)
    example: ClassVar = "kind fast-4 share 0.55 cores 4 speed 1.5 copies 16"
    name: Name
    share: float = Field(1.0, gt=0)
    cores: float = 4
    speed: float = 1.0
    copies: int = 16


class TrafficLine(Directive):
    positional: ClassVar = ("track",)
    example: ClassVar = "traffic fault-check share 0.46 work 200ms lanes 4 start 400ms"
    track: str
    share: float = 1.0
    work: Duration = 150_000_000
    lanes: int = 4
    start: Duration = 400_000_000


class StoreLine(Directive):
    example: ClassVar = "store pace 12 limit 30 thrash 0.2"
    once: ClassVar = True
    pace: float = 12
    limit: int = 30
    thrash: float = Field(0.2, ge=0, lt=1)


class HostLife(Directive):
    example: ClassVar = "host-life keep 10s cold-share 0.17 cold-time 18s fall 2.5 tip 1500ms idle-close 60s"
    once: ClassVar = True
    keep: Duration = 10_000_000_000
    cold_share: float = 0.17
    cold_time: Duration = 18_000_000_000
    fall: float = 2.5
    tip: Duration = 1_500_000_000
    idle_close: Duration = 60_000_000_000


class DayFaultLine(Directive):
    positional: ClassVar = ("name",)
    example: ClassVar = "trouble hang at 5s for 8s hosts 2 share 0.9 track fault-check"
    name: Literal[HOST_FAULTS + PROCESS_FAULTS + CLIENT_FAULTS + ("list-late",)]
    at: Duration
    lasts: Duration = Field(0, alias="for")
    hosts: int = 1
    share: float = Field(1.0, ge=0, le=1)
    factor: float = 4.0
    track: str | None = None
    back: Duration = 2_000_000_000  # until what was taken away is back
    batch: int = 1  # hosts at a time, in a deploy
    gateway: int = 0
    zone: str | None = None  # hosts of this hall alone


SCRIPT_DIRECTIVES = {
    "day": DayLine,
    "kind": KindLine,
    "traffic": TrafficLine,
    "store": StoreLine,
    "host-life": HostLife,
    "trouble": DayFaultLine,
}


class Script:
    def __init__(self, text, found):
        self.text, self.cluster = text, None

        def all_of(word):
            return [directive for name, directive in found if name == word]

        def one(word):
            return next(iter(all_of(word)), None) or SCRIPT_DIRECTIVES[word]()

        self.day, self.store, self.life = one("day"), one("store"), one("host-life")
        self.kinds = all_of("kind") or [KindLine(name="std")]
        self.traffic, self.tracks, self.day_faults = all_of("traffic"), all_of("track"), all_of("trouble")
        self.copies = next(iter(all_of("copies")), None) or DIRECTIVES["copies"]()
        lines = text.splitlines()
        self.gateway_lines = [
            lines[directive.line - 1] for word, directive in found if word in GATEWAY_DIRECTIVES
        ]


def read_script(name, further=None, check=lambda file, found: []):
    """(Script, [(word, line)]) by the name of one that comes with the program, or by its path. `further`:
    words beside a trial's own, `check(file, found)` the mistakes of their lines.
    Errors: `ConfigurationError`."""
    path = resources.files("gaproute.scenarios") / "scripts" / f"{name}.script"
    file = path if path.is_file() else Path(name)
    try:
        text = file.read_text()
    except OSError as fault:
        raise ConfigurationError(
            [Mistake(str(name), 0, "", f"no such script: {fault}", "name bad-day or a file")]
        ) from None
    words = SCRIPT_DIRECTIVES | {word: DIRECTIVES[word] for word in GATEWAY_DIRECTIVES} | (further or {})
    found, mistakes, _ = read_lines(str(name), text, words)
    tracks = [line.name for word, line in found if word == "track"]
    if not tracks:
        mistakes.append(
            Mistake(str(name), 0, "", "no track line", f"right would be: {DIRECTIVES['track'].example}")
        )
    mistakes += [
        Mistake(str(name), line.line, "", f"no track {line.track!r}", f"the tracks here: {', '.join(tracks)}")
        for word, line in found
        if word == "traffic" and line.track not in tracks
    ]
    mistakes += check(str(name), found)
    if mistakes:
        raise ConfigurationError(sorted(mistakes, key=lambda mistake: mistake.line))
    return Script(text, found), found
