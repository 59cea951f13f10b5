"""Scripts of clusters: a trial's lines, and lines for the wire, the processes and each gateway's host list.

Any of `cluster`, `fault`, `strike` and `list` makes a script a cluster's. All mistakes are told at once.
"""

from typing import ClassVar, Literal

from pydantic import Field

from gaproute.cluster import lease_clients, slot_sets
from gaproute.cluster.platform import script_checks
from gaproute.config.errors import Mistake
from gaproute.config.parsing import Directive
from gaproute.config.values import Duration, YesNo
from gaproute.scenarios import script as trial

MILLI, SECOND = 1_000_000, 1_000_000_000


class ClusterLine(Directive):
    example: ClassVar = "cluster wires 4 clients 4 batch 8 ready 60s late 100ms bound 5m"
    once: ClassVar = True
    kind: Literal["appliance", "platform"] = "appliance"  # `gaproute serve` or `gaproute.platform`
    wires: int = Field(1, ge=1, le=16)  # processes that share the wire
    clients: int = Field(1, ge=1, le=32)  # processes that share the load
    batch: int = Field(0, ge=0, le=256)  # processes that start at a time; 0: as many as cores
    crowded: YesNo = False  # gateways go before the machine's other work as well
    direct: YesNo = False  # no wire: what it costs, and what it changes
    ready: Duration = 60 * SECOND  # for all to be up
    late: Duration = 100 * MILLI  # a wire, client or parent later than this voids the measurement
    bound: Duration = 600 * SECOND  # the run ends by then whatever happens


class LinkFaultLine(Directive):
    positional: ClassVar = ("kind",)
    example: ClassVar = "fault cut at 2s for 3s from 0.3:gateways to hosts/hall-1 both no what streams"
    kind: Literal["delay", "lose", "double", "reorder", "cut", "hold", "reset"]
    at: Duration
    lasts: Duration = Field(alias="for")
    source: str = Field("*", alias="from")
    to: str = "*"
    both: YesNo = False
    what: Literal["streams", "datagrams", "all"] = "all"
    share: float = Field(1.0, gt=0, le=1)
    delay: Duration = 0
    jitter: Duration = 0
    bytes: float = Field(0, ge=0)  # a second, for each pair; 0: no limit


class ProcessFaultLine(Directive):
    positional: ClassVar = ("kind",)
    example: ClassVar = "strike restart at 4s on 0.7:gateways signal KILL back 500ms"
    kind: Literal["kill", "stop", "restart", "clock", "starve"]
    on: str = "gateways"
    at: Duration = 0
    lasts: Duration = Field(0, alias="for")
    back: Duration = 500 * MILLI  # until what ended is started again
    batch: int = Field(0, ge=0)  # restarted at a time; 0: all
    signal: Literal["TERM", "KILL"] = "TERM"
    rate: float = Field(1.0, ge=0.5, le=2)  # of the clock
    offset: Duration = 0  # of the clock, ahead
    duty: float = Field(0, ge=0, lt=1)  # of the CPU taken away: stopped for so much of each CYCLE
    core: YesNo = False  # all on one core, beside a process that never rests


class HostListFaultLine(Directive):
    positional: ClassVar = ("kind",)
    example: ClassVar = "list late at 2s for 4s on 0.3:gateways back 800ms"
    kind: Literal["late", "deaf"]
    on: str = "gateways"
    at: Duration
    lasts: Duration = Field(alias="for")
    back: Duration = SECOND  # how late; of no use where they are deaf


WORDS = {
    "cluster": ClusterLine,
    "fault": LinkFaultLine,
    "strike": ProcessFaultLine,
    "list": HostListFaultLine,
    "crews": lease_clients.LeaseClientsLine,
}
SETS = {"fault": ("source", "to"), "strike": ("on",), "list": ("on",)}


def wrong(word, line, day):
    """What is wrong with a line beside its single words, as text."""
    for field in SETS.get(word, ()):
        try:
            parts = slot_sets.parse(getattr(line, field))
        except ValueError as fault:
            yield str(fault)
            continue
        yield from slot_sets.unknown(parts, day)
        if word != "fault" and any(part.what.startswith(("hosts", "mh")) for part in parts):
            yield f"{word} strikes gateways alone; hosts have their troubles (vanish, crash, deploy, ...)"
    if word == "crews":
        yield from lease_clients.wrong(line, day)
    kind = getattr(line, "kind", "")
    if word not in ("cluster", "crews") and kind != "clock" and line.at >= day.length:
        yield f"it begins after the day, which is {day.length / SECOND:g} s long"
    if word == "fault" and kind == "delay" and not (line.delay or line.jitter or line.bytes):
        yield "a delay names delay, jitter or bytes"
    if word == "fault" and kind in ("double", "reorder") and line.what == "streams":
        yield f"TCP hides what would {kind} a stream: what datagrams"
    if word == "strike" and kind in ("stop", "starve") and not line.lasts:
        yield f"a {kind} lasts for some time: for 2s"
    if word == "strike" and kind == "starve" and bool(line.duty) == line.core:
        yield "a starve names either duty or core"
    if word == "strike" and kind == "clock" and line.rate == 1 and not line.offset:
        yield "a clock that is wrong has a rate or an offset"


def check(file, found):
    day = next((line for word, line in found if word == "day"), trial.DayLine())
    kind = next((line.kind for word, line in found if word == "cluster"), "appliance")
    return [
        Mistake(file, line.line, word, text, f"right would be: {line.example}")
        for word, line in found
        if word in WORDS
        for text in (*wrong(word, line, day), *script_checks.wrong(kind, word, line))
    ]


def read_script(name):
    """A trial's or a cluster's script, by its name or its path; a cluster's has `cluster`, `faults`,
    `strikes` and `lists`, a trial's `cluster` is None. Errors: `ConfigurationError`."""
    script, found = trial.read_script(name, WORDS, check)
    lines = {kind: [line for word, line in found if word == kind] for kind in WORDS}
    script.cluster = next(iter(lines["cluster"]), None) or (ClusterLine() if any(lines.values()) else None)
    script.faults, script.strikes, script.lists = lines["fault"], lines["strike"], lines["list"]
    script.crews = next(iter(lines["crews"]), None)
    return script
