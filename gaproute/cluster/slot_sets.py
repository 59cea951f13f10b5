"""Sets of process slots in scripts: `gateways`, `0.3:gateways/hall-1`, `zone:hall-0,mh07`, `*,not:g0`.

A set is terms joined by commas: what any of them names, without what a `not:` term names (only `not:` terms:
all others). A share before a term draws so much of what it names, at least one, from the script's seed.
"""

from __future__ import annotations

import random
import re
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from gaproute.cluster.links.slots import KIND_TERMS, SlotKind
from gaproute.errors import GaprouteError
from gaproute.scenarios.script_lines import DayLine

# `lists` names the slots of the change log, of the platform alone.
TERM = re.compile(
    r"(?P<excluded>not:)?(?:(?P<share>[0-9.]+):)?"
    r"(?P<name>\*|zone:[\w-]+|lists|(?:gateways|hosts)(?:/[\w-]+)?|g[0-9]+|mh[0-9]+)"
)


class SlotSetError(GaprouteError, ValueError):
    """A set that cannot be read; the message stands among a script's mistakes."""


class SetTerm(NamedTuple):
    """One term of a set: `name` with a share of what it names, or what is excluded."""

    excluded: bool
    share: float
    name: str


class NamedSlot(NamedTuple):
    """A process slot as sets name it."""

    name: str
    kind: SlotKind
    zone: str


def parse_set(text: str) -> list[SetTerm]:
    """The terms of a set. Errors: `SlotSetError` that names the term."""
    terms = []
    for part in text.split(","):
        found = TERM.fullmatch(part)
        try:
            share = float(found["share"] or 1) if found else None
        except ValueError:
            share = None
        if found is None or share is None:
            raise SlotSetError(
                f"{part!r} names no seats: gateways, hosts, gateways/ZONE, hosts/ZONE, "
                "zone:ZONE, g0, mh00 or *, with a share such as 0.3: or not: before"
            )
        if not 0 < share <= 1:
            raise SlotSetError(f"{part!r}: a share is more than 0 and 1 at most")
        terms.append(SetTerm(bool(found["excluded"]), share, found["name"]))
    return terms


def unknown_names(terms: Iterable[SetTerm], day: DayLine) -> Iterator[str]:
    """What the terms name that a day of this size has not, as text."""
    for term in terms:
        zone = term.name.partition("zone:")[2] or term.name.partition("/")[2]
        if zone and zone not in {f"hall-{hall}" for hall in range(day.halls)}:
            yield f"no zone {zone!r}: they are hall-0 to hall-{day.halls - 1}"
        if re.fullmatch("g[0-9]+", term.name) and int(term.name[1:]) >= day.gateways:
            yield f"no gateway {term.name!r}: they are g0 to g{day.gateways - 1}"
        if re.fullmatch("mh[0-9]+", term.name) and int(term.name[2:]) >= day.hosts:
            yield f"no host {term.name!r} at the start: they are mh00 to mh{day.hosts - 1:02}"


def select_names(terms: Sequence[SetTerm], slots: Sequence[NamedSlot], chance: random.Random) -> list[str]:
    """The names that a set has among the slots, in their order. `chance` draws shares."""
    included = {name for term in terms if not term.excluded for name in _drawn(term, slots, chance)}
    if all(term.excluded for term in terms):
        included = {slot.name for slot in slots}
    excluded = {name for term in terms if term.excluded for name in _drawn(term, slots, chance)}
    return [slot.name for slot in slots if slot.name in included and slot.name not in excluded]


def _drawn(term: SetTerm, slots: Iterable[NamedSlot], chance: random.Random) -> list[str]:
    found = [slot.name for slot in slots if _names(term.name, slot)]
    if term.share < 1 and found:
        return chance.sample(found, max(1, round(term.share * len(found))))
    return found


def _names(name: str, slot: NamedSlot) -> bool:
    if name in ("*", slot.name, f"zone:{slot.zone}"):
        return True
    base, _, zone = name.partition("/")
    return KIND_TERMS.get(base) == slot.kind and zone in ("", slot.zone)
