"""Process slots as the link emulator knows them, and the terms that name sets of them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from gaproute.cluster.links.errors import LinkCommandError

ANY = "*"  # the term that names all slots
ZONE_PREFIX, EXCEPT_PREFIX = "zone:", "not:"


class SlotKind(StrEnum):
    """What kind of process stands in a slot."""

    UNSPECIFIED = ""
    GATEWAY = "gateway"
    HOST = "host"
    LIST = "list"  # the platform's change log: a slot for each gateway


# Terms that name all slots of a kind.
KIND_TERMS = {"gateways": SlotKind.GATEWAY, "hosts": SlotKind.HOST, "lists": SlotKind.LIST}


@dataclass(frozen=True, slots=True)
class Slot:
    """A process's end of all its links.

    `stream_address` and `datagram_address` are the process's own; a slot without one is like a dead machine.
    `refuses`: the process is down, but its machine answers. `announce_caller`: each connection begins with a
    line that names the caller, as the platform's stand-in hosts read it.
    """

    name: str
    kind: SlotKind = SlotKind.UNSPECIFIED
    zone: str = ""
    stream_address: str | None = None
    datagram_address: str | None = None
    refuses: bool = False
    announce_caller: bool = False

    def matches(self, term: str) -> bool:
        """Whether the term (`*`, `zone:ZONE`, a kind or a name, without `not:`) names this slot."""
        if term.startswith(ZONE_PREFIX):
            return self.zone == term.removeprefix(ZONE_PREFIX)
        return term in (ANY, self.name) or KIND_TERMS.get(term) == self.kind


def slots_named(terms: Iterable[str], slots: Mapping[int, Slot]) -> frozenset[int]:
    """Numbers of the slots that any of the terms names; `not:` before a term names all others.

    Errors: `LinkCommandError` for a term that names nothing, as a slip would make a run without faults.
    """
    found: set[int] = set()
    for term in terms:
        bare = term.removeprefix(EXCEPT_PREFIX)
        named = {number for number, slot in slots.items() if slot.matches(bare)}
        if not named and bare not in KIND_TERMS and bare != ANY:
            raise LinkCommandError(f"{term!r} names no process slot")
        found |= named if bare == term else slots.keys() - named
    return frozenset(found)
