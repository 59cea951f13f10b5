"""Finds lines that a cluster script cannot have because of the kind of its gateways."""

from __future__ import annotations

from collections.abc import Iterator

from gaproute.cluster import slot_sets
from gaproute.cluster.links.faults import BLOCKING_KINDS
from gaproute.cluster.script_lines import GatewayKind, LinkFaultLine, sets_of
from gaproute.cluster.slot_sets import SlotSetError
from gaproute.config.parsing import Directive

LISTS = "lists"  # the set of the change log's slots


def find_platform_mistakes(kind: GatewayKind, keyword: str, line: Directive) -> Iterator[str]:
    """Yields what is wrong with a line, as text. `kind`: of the `cluster` line."""
    names = list(_names_in_sets(line))
    if kind is not GatewayKind.PLATFORM:
        if LISTS in names:
            yield "lists are of cluster kind platform; others read a file"
        return
    if keyword == "crews":
        yield "permits are off on the platform's sockets"
    if keyword in ("strike", "list") and LISTS in names:
        yield f"{keyword} strikes gateways alone"
    if isinstance(line, LinkFaultLine) and line.kind not in BLOCKING_KINDS and {LISTS, "*"} & set(names):
        yield (
            f"a {line.kind} on the change log's way: the judge could not tell when its news was told; "
            "name gateways and hosts"
        )


def _names_in_sets(line: Directive) -> Iterator[str]:
    """The names in a line's sets. Those that cannot be read are another check's mistakes."""
    for text in sets_of(line):
        try:
            terms = slot_sets.parse_set(text)
        except SlotSetError:
            continue
        yield from (term.name for term in terms)
