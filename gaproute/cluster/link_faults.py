"""The `fault` lines of a script: when each is on, over which slots, and what the judge allows for it."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from gaproute.cluster import slot_sets
from gaproute.cluster.address_plan import AddressPlan
from gaproute.cluster.context import ClusterContext
from gaproute.cluster.link_emulators import LinkEmulators
from gaproute.cluster.links.conditions import RETRANSMISSION_TIMEOUT
from gaproute.cluster.links.faults import BLOCKING_KINDS, FaultSpec, LinkFaultKind, LinkTraffic
from gaproute.cluster.links.messages import BeginFault, EndFault
from gaproute.cluster.script_lines import LinkFaultLine
from gaproute.cluster.slot_sets import NamedSlot
from gaproute.scenarios.processes import Routine
from gaproute.units import MILLI, SECOND

AFTER_BLOCK = 500 * MILLI  # after a cut or hold, until all that it delayed has arrived
RARE = 1e-6  # a chance of losses in a row that is not allowed for
MAX_LOSSES = 6
INVISIBLE_KINDS = (
    LinkFaultKind.DOUBLE,
    LinkFaultKind.REORDER,
    LinkFaultKind.RESET,
)  # no byte of a stream is late


class LinkFaultEnd(NamedTuple):
    """One end of a fault: its terms for the link emulators, and the names of its slots as of now.

    Terms that the emulators know cover hosts that come later.
    """

    terms: list[str]
    names: list[str]


class LateWay(NamedTuple):
    """Bytes of these gateways, by number, may reach these hosts late."""

    gateways: list[int]
    hosts: list[str]


class Allowance(NamedTuple):
    """For the judge, ns: how late bytes may be under a fault, and how long after its end they still may."""

    lateness: int
    after_end: int


def resolve_end(
    text: str, plan: AddressPlan, slots: Sequence[NamedSlot], chance: random.Random
) -> LinkFaultEnd:
    """One end of a `fault` line over these slots; `chance` draws its shares."""
    terms = slot_sets.parse_set(text)
    names = slot_sets.select_names(terms, slots, chance)
    if any(term.excluded or term.share < 1 for term in terms):
        return LinkFaultEnd(names, names)
    return LinkFaultEnd([found for term in terms for found in plan.link_terms(term.name, slots)], names)


class LinkFaultSchedule:
    """Begins and ends the faults on links. `slots()`: those that there are now."""

    def __init__(
        self, context: ClusterContext, emulators: LinkEmulators, slots: Callable[[], Sequence[NamedSlot]]
    ) -> None:
        self.context, self.emulators, self.slots = context, emulators, slots
        self._count = 0

    def run(self, line: LinkFaultLine) -> Routine:
        """A coroutine: one `fault` line from its time to its end."""
        context, loop = self.context, self.context.loop
        chance = context.line_random(line)
        yield loop.sleep(line.at)
        source, destination = self.resolve_ends(line, chance)
        self._count += 1
        fault_id = f"f{self._count}"
        context.report(f"{line.at / SECOND:5.1f} s  {line.kind} on the wire")
        self.emulators.send(BeginFault(fault_id, fault_spec(line, source, destination)))
        allowance = allowance_of(line)
        note: dict[str, object] = {
            "id": fault_id,
            "kind": line.kind,
            "late": allowance.lateness,
            "slack": allowance.after_end,
        }
        if line.traffic is not LinkTraffic.DATAGRAMS:
            note |= late_ways(line, source.names, destination.names)
        context.tap.note("fault", on=True, **note)
        yield loop.sleep(line.lasts)
        self.emulators.send(EndFault(fault_id))
        context.tap.note("fault", on=False, **note)

    def resolve_ends(self, line: LinkFaultLine, chance: random.Random) -> tuple[LinkFaultEnd, LinkFaultEnd]:
        """Both ends of a line over the slots that there are now; the source is drawn first."""
        slots, plan = self.slots(), self.context.plan
        source = resolve_end(line.source, plan, slots, chance)
        return source, resolve_end(line.destination, plan, slots, chance)


def fault_spec(line: LinkFaultLine, source: LinkFaultEnd, destination: LinkFaultEnd) -> FaultSpec:
    """What the emulators are sent."""
    return FaultSpec(
        line.kind,
        tuple(source.terms),
        tuple(destination.terms),
        both_ways=line.both,
        traffic=line.traffic,
        share=line.share,
        delay=line.delay,
        jitter=line.jitter,
        rate=line.bytes,
    )


def allowance_of(line: LinkFaultLine) -> Allowance:
    """By how much bytes may be late under a fault. What a cut or hold delays may be as old as it."""
    if line.kind in BLOCKING_KINDS or line.bytes:
        return Allowance(line.lasts + AFTER_BLOCK, AFTER_BLOCK)
    lateness = line.delay + line.jitter
    if line.kind is LinkFaultKind.LOSE:
        likely = (losses for losses in range(1, MAX_LOSSES + 1) if line.share**losses < RARE)
        lateness = RETRANSMISSION_TIMEOUT * ((1 << next(likely, MAX_LOSSES)) - 1)
    return Allowance(lateness, lateness)


def late_ways(
    line: LinkFaultLine, sources: Iterable[str], destinations: Iterable[str]
) -> dict[str, list[LateWay]]:
    """Which gateways' bytes may reach which hosts late, under the key `ways`; nothing where none may.

    Under a cut or a hold a new connection waits whichever way it lies; other faults lie on the way that
    they name.
    """
    if line.kind in INVISIBLE_KINDS:
        return {}
    sources, destinations = list(sources), list(destinations)
    ways = [_way(sources, destinations)]
    if line.both or line.kind in BLOCKING_KINDS:
        ways.append(_way(destinations, sources))
    return {"ways": ways}


def _way(sources: list[str], destinations: list[str]) -> LateWay:
    return LateWay(
        [int(name[1:]) for name in sources if name.startswith("g")],
        [name for name in destinations if name.startswith("mh")],
    )
