"""The lines that a cluster's script has beside those of a scripted day.

The first words of the lines and their keywords are what scripts have: `strike` for faults of processes,
`list` for faults of host lists, `crews` for lease clients.
"""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar

from pydantic import Field

from gaproute.cluster.links.faults import LinkFaultKind, LinkTraffic
from gaproute.config.parsing import Directive
from gaproute.config.values import Duration, YesNo
from gaproute.units import MILLI, SECOND


class GatewayKind(StrEnum):
    """Which program the gateways are."""

    APPLIANCE = "appliance"  # `gaproute serve`
    PLATFORM = "platform"  # `gaproute.platform`


class ProcessFaultKind(StrEnum):
    """What happens to gateways' processes."""

    KILL = "kill"
    PAUSE = "stop"
    RESTART = "restart"
    CLOCK = "clock"  # it is wrong from the start on
    STARVE = "starve"  # of CPU


class EndSignal(StrEnum):
    """By which signal a restart ends a process."""

    TERM = "TERM"
    KILL = "KILL"


class HostListFaultKind(StrEnum):
    """What happens to gateways' host lists."""

    LATE = "late"
    DEAF = "deaf"  # not updated at all


class ClusterLine(Directive):
    """`cluster`: how the harness itself is run, and what voids its measurement. Times are ns."""

    example: ClassVar[str] = "cluster wires 4 clients 4 batch 8 ready 60s late 100ms bound 5m"
    once: ClassVar[bool] = True
    kind: GatewayKind = GatewayKind.APPLIANCE
    emulators: int = Field(default=1, ge=1, le=16, alias="wires")  # processes that share the links
    clients: int = Field(default=1, ge=1, le=32)  # processes that share the load
    batch: int = Field(default=0, ge=0, le=256)  # processes that start at a time; 0: as many as cores
    crowded: YesNo = False  # gateways go before the machine's other work as well
    direct: YesNo = False  # no links: what they cost, and what they change
    ready: Duration = 60 * SECOND  # for all to be up
    late: Duration = 100 * MILLI  # an emulator, client or parent later than this voids the measurement
    bound: Duration = 600 * SECOND  # the run ends by then whatever happens


class LinkFaultLine(Directive):
    """`fault`: a fault on what travels from one set of process slots to another. Times are ns."""

    positional: ClassVar[tuple[str, ...]] = ("kind",)
    example: ClassVar[str] = "fault cut at 2s for 3s from 0.3:gateways to hosts/hall-1 both no what streams"
    kind: LinkFaultKind
    at: Duration
    lasts: Duration = Field(alias="for")
    source: str = Field(default="*", alias="from")
    destination: str = Field(default="*", alias="to")
    both: YesNo = False
    traffic: LinkTraffic = Field(default=LinkTraffic.ALL, alias="what")
    share: float = Field(default=1.0, gt=0, le=1)
    delay: Duration = 0
    jitter: Duration = 0
    bytes: float = Field(default=0, ge=0)  # a second, for each link; 0: no limit


class ProcessFaultLine(Directive):
    """`strike`: gateways are killed, paused, restarted, given a wrong clock or starved of CPU."""

    positional: ClassVar[tuple[str, ...]] = ("kind",)
    example: ClassVar[str] = "strike restart at 4s on 0.7:gateways signal KILL back 500ms"
    kind: ProcessFaultKind
    on: str = "gateways"
    at: Duration = 0
    lasts: Duration = Field(default=0, alias="for")
    back: Duration = 500 * MILLI  # until what ended is started again
    batch: int = Field(default=0, ge=0)  # restarted at a time; 0: all
    signal: EndSignal = EndSignal.TERM
    rate: float = Field(default=1.0, ge=0.5, le=2)  # of the clock
    offset: Duration = 0  # of the clock, ahead
    duty: float = Field(default=0, ge=0, lt=1)  # of the CPU taken away: paused for so much of each cycle
    core: YesNo = False  # all on one core, beside a process that never rests


class HostListFaultLine(Directive):
    """`list`: gateways' host lists are late, or not updated at all."""

    positional: ClassVar[tuple[str, ...]] = ("kind",)
    example: ClassVar[str] = "list late at 2s for 4s on 0.3:gateways back 800ms"
    kind: HostListFaultKind
    on: str = "gateways"
    at: Duration
    lasts: Duration = Field(alias="for")
    back: Duration = SECOND  # how late; of no use where they are deaf


class LeaseClientsLine(Directive):
    """`crews`: clients that acquire, extend and release leases at the gateways' operators' addresses."""

    example: ClassVar[str] = (
        "crews count 6 resources 3 keepers 3 longest 1s span 600ms hold 700ms fell-leader 3s"
    )
    once: ClassVar[bool] = True
    count: int = Field(default=6, ge=1, le=256)
    resources: int = Field(default=3, ge=1, le=256)
    # The Raft group: the first gateways, each with its log on disk.
    group_size: int = Field(default=3, ge=1, le=7, alias="keepers")
    # Of a lease; a new log grants nothing for so long.
    max_duration: Duration = Field(default=SECOND, alias="longest")
    duration: Duration = Field(default=600 * MILLI, alias="span")  # of each lease
    max_work: Duration = Field(default=700 * MILLI, alias="hold")  # of a client under a lease
    # When the leader's process is killed; 0: never.
    leader_killed_at: Duration = Field(default=0, alias="fell-leader")
    back: Duration = 500 * MILLI  # until it is started again, with its disk


# By the first word of a line.
CLUSTER_LINES: dict[str, type[Directive]] = {
    "cluster": ClusterLine,
    "fault": LinkFaultLine,
    "strike": ProcessFaultLine,
    "list": HostListFaultLine,
    "crews": LeaseClientsLine,
}


def sets_of(line: Directive) -> tuple[str, ...]:
    """The sets of process slots that a line names."""
    match line:
        case LinkFaultLine():
            return line.source, line.destination
        case ProcessFaultLine() | HostListFaultLine():
            return (line.on,)
        case _:
            return ()
