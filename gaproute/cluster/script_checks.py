"""Finds mistakes in the lines of a cluster's script that go beyond single values."""

from __future__ import annotations

from collections.abc import Iterator

from gaproute.cluster import slot_sets
from gaproute.cluster.links.faults import LinkFaultKind, LinkTraffic
from gaproute.cluster.platform.script_checks import find_platform_mistakes
from gaproute.cluster.script_lines import (
    CLUSTER_LINES,
    GatewayKind,
    HostListFaultLine,
    LeaseClientsLine,
    LinkFaultLine,
    ProcessFaultKind,
    ProcessFaultLine,
    sets_of,
)
from gaproute.cluster.slot_sets import SlotSetError
from gaproute.config.errors import Mistake, expected_line
from gaproute.config.parsing import Directive, NamedDirective
from gaproute.scenarios.script_lines import DayLine
from gaproute.units import SECOND


def find_mistakes(file: str, found: list[NamedDirective]) -> list[Mistake]:
    """Returns all mistakes of a script's lines."""
    day = next((line for keyword, line in found if keyword == "day"), DayLine.model_validate({}))
    kind = next((line.kind for keyword, line in found if keyword == "cluster"), GatewayKind.APPLIANCE)
    return [
        Mistake(file, line.line, keyword, text, expected_line(line.example))
        for keyword, line in found
        if keyword in CLUSTER_LINES
        for text in (*_mistakes_of(keyword, line, day), *find_platform_mistakes(kind, keyword, line))
    ]


def _mistakes_of(keyword: str, line: Directive, day: DayLine) -> Iterator[str]:
    yield from _set_mistakes(keyword, line, day)
    if isinstance(line, LeaseClientsLine):
        yield from _lease_client_mistakes(line, day)
    elif _begins_after(line, day):
        yield f"it begins after the day, which is {day.length / SECOND:g} s long"
    if isinstance(line, LinkFaultLine):
        yield from _link_fault_mistakes(line)
    elif isinstance(line, ProcessFaultLine):
        yield from _process_fault_mistakes(line)


def _begins_after(line: Directive, day: DayLine) -> bool:
    if not isinstance(line, LinkFaultLine | ProcessFaultLine | HostListFaultLine):
        return False
    return line.kind is not ProcessFaultKind.CLOCK and line.at >= day.length


def _set_mistakes(keyword: str, line: Directive, day: DayLine) -> Iterator[str]:
    for text in sets_of(line):
        try:
            terms = slot_sets.parse_set(text)
        except SlotSetError as error:
            yield str(error)
            continue
        yield from slot_sets.unknown_names(terms, day)
        if keyword != "fault" and any(term.name.startswith(("hosts", "mh")) for term in terms):
            yield f"{keyword} strikes gateways alone; hosts have their troubles (vanish, crash, deploy, ...)"


def _link_fault_mistakes(line: LinkFaultLine) -> Iterator[str]:
    if line.kind is LinkFaultKind.DELAY and not (line.delay or line.jitter or line.bytes):
        yield "a delay names delay, jitter or bytes"
    if line.kind in (LinkFaultKind.DOUBLE, LinkFaultKind.REORDER) and line.traffic is LinkTraffic.STREAMS:
        yield f"TCP hides what would {line.kind} a stream: what datagrams"


def _process_fault_mistakes(line: ProcessFaultLine) -> Iterator[str]:
    if line.kind in (ProcessFaultKind.PAUSE, ProcessFaultKind.STARVE) and not line.lasts:
        yield f"a {line.kind} lasts for some time: for 2s"
    if line.kind is ProcessFaultKind.STARVE and bool(line.duty) == line.core:
        yield "a starve names either duty or core"
    if line.kind is ProcessFaultKind.CLOCK and line.rate == 1 and not line.offset:
        yield "a clock that is wrong has a rate or an offset"


def _lease_client_mistakes(line: LeaseClientsLine, day: DayLine) -> Iterator[str]:
    if line.group_size > day.gateways:
        yield f"{line.group_size} keepers of {day.gateways} gateways"
    if not day.peers:
        yield "keepers speak as peers: day ... peers yes"
    if line.duration > line.max_duration:
        yield "a span is not above longest"
