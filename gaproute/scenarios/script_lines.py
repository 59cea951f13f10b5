"""The lines of a script, one class for each keyword that a line may begin with.

The fields are the keywords of the script's form, which stay as they are: a `track` is a request class,
`copies` are instances, a `hall` is a zone, a `trouble` is a fault. Times are ns.
"""

from typing import ClassVar, Literal

from pydantic import Field

from gaproute.config.parsing import Directive
from gaproute.config.values import Duration, Name, YesNo

HOST_FAULTS = ("hang", "lost", "fail", "slow", "refuse", "cut", "reset", "shut", "heavy")
PROCESS_FAULTS = ("vanish", "crash", "preempt", "deploy", "gateway-kill", "gateway-stall")
CLIENT_FAULTS = ("burst", "hot")
LIST_FAULTS = ("list-late",)


class DayLine(Directive):
    """The sizes of the day: how long it is, how many processes play it, what clients do."""

    example: ClassVar = "day length 40s rate 120 hosts 9 gateways 3 models 24 halls 3"
    once: ClassVar = True
    length: Duration = 40_000_000_000
    rate: float = Field(100, gt=0)  # first tries of all clients a second
    hosts: int = Field(9, ge=1, le=1000)
    gateways: int = Field(3, ge=1, le=900)
    models: int = Field(24, ge=1)
    halls: int = Field(3, ge=1)
    racks: int = Field(4, ge=1)
    retries: int = Field(1, ge=0, le=5)  # by a client, of one request
    impatient: float = Field(0.01, ge=0, le=1)  # share of the clients that leave early
    zipf: float = 1.1  # exponent of the popularity of models
    peers: YesNo = False  # gateways send one another what they observe
    memory: YesNo = False  # gateways store what they observe on disk
    list_delay: Duration = 1_000_000_000  # from what happens to a host until the list says so, drains apart


class KindLine(Directive):
    """One kind of host."""

    positional: ClassVar = ("name",)
    example: ClassVar = "kind fast-4 share 0.55 cores 4 speed 1.5 copies 16"
    name: Name
    share: float = Field(1.0, gt=0)  # of the hosts, beside the shares of other kinds
    cores: float = 4
    speed: float = 1.0
    copies: int = 16  # instances that its memory holds


class TrafficLine(Directive):
    """The requests of one class, and the work of its models."""

    positional: ClassVar = ("track",)
    example: ClassVar = "traffic fault-check share 0.46 work 200ms lanes 4 start 400ms"
    track: str
    share: float = 1.0  # of the requests
    work: Duration = 150_000_000  # mean core time of a request
    lanes: int = 4  # requests that one instance works on at a time
    start: Duration = 400_000_000  # the start of an instance after its fetch


class StoreLine(Directive):
    """The model store, from which hosts fetch what they load."""

    example: ClassVar = "store pace 12 limit 30 thrash 0.2"
    once: ClassVar = True
    pace: float = 12  # fetches a second
    limit: int = 30  # fetches at a time
    thrash: float = Field(0.2, ge=0, lt=1)  # by how much fetches at the same time slow one another


class HostLife(Directive):
    """How all hosts behave: unused instances, slow start, overload, idle connections."""

    example: ClassVar = "host-life keep 10s cold-share 0.17 cold-time 18s fall 2.5 tip 1500ms idle-close 60s"
    once: ClassVar = True
    keep: Duration = 10_000_000_000  # how long an unused instance stays loaded
    cold_share: float = 0.17  # of its capacity that a host has as it starts
    cold_time: Duration = 18_000_000_000  # until it has all of it
    fall: float = 2.5  # times its capacity that overloads a host in slow start,
    tip: Duration = 1_500_000_000  # summed over so long
    idle_close: Duration = 60_000_000_000  # after which a host closes an idle connection


class DayFaultLine(Directive):
    """One fault; docs/trials.md says what each name does."""

    positional: ClassVar = ("name",)
    example: ClassVar = "trouble hang at 5s for 8s hosts 2 share 0.9 track fault-check"
    name: Literal[HOST_FAULTS + PROCESS_FAULTS + CLIENT_FAULTS + LIST_FAULTS]  # type: ignore[valid-type]
    at: Duration
    lasts: Duration = Field(0, alias="for")
    hosts: int = 1  # how many it affects
    share: float = Field(1.0, ge=0, le=1)  # of their requests
    factor: float = 4.0
    track: str | None = None  # whose requests alone it affects
    back: Duration = 2_000_000_000  # until what was taken away is back
    batch: int = 1  # hosts at a time, in a deploy
    gateway: int = 0
    zone: str | None = None  # hosts of this zone alone


SCRIPT_LINES: dict[str, type[Directive]] = {
    "day": DayLine,
    "kind": KindLine,
    "traffic": TrafficLine,
    "store": StoreLine,
    "host-life": HostLife,
    "trouble": DayFaultLine,
}
