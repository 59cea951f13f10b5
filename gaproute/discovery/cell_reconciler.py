"""Decides which of the hosts that the change logs of several cells report are in force together.

Invariants: the hosts in force never name a host or an address twice, and no host comes into force in another
zone than its cell's. A host stays in its cell until that cell's log removes it. A host in force that is
reported as draining is draining, even if its member is rejected.
"""

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from gaproute.config.directives.fleet import HostLine
from gaproute.discovery.cell_members import with_state
from gaproute.interface import State

HostLines: TypeAlias = dict[str, HostLine]  # by host
CellLines: TypeAlias = dict[str, HostLines]  # by cell
Owners: TypeAlias = dict[str, dict[str, str]]  # by cell: by name or address, the host that uses it


class Candidate(NamedTuple):
    """A reported line of a cell, and the line that stays in force if the reported one is rejected."""

    cell: str
    line: HostLine
    fallback: HostLine | None


class CellReconciler:
    """`active`: by cell and host, the lines in force; `rejected`: by cell and host, why it is not in
    force.
    """

    def __init__(self) -> None:
        self.lines_in_force: CellLines = {}
        self.rejection_reasons: dict[str, dict[str, str]] = {}
        # The arguments of the last `reconcile`.
        self.last_reported: CellLines = {}
        self.last_zones: dict[str, str] = {}
        self.last_owners: Owners = {}

    def reconcile(self, reported: CellLines, zones: Mapping[str, str]) -> None:
        """Puts in force what is reported (by cell and host), except lines that conflict.

        A cell for which the same object is reported as before is not processed again.
        """
        changed = {
            cell: lines for cell, lines in reported.items() if not self._is_reconciled(cell, lines, zones)
        }
        owners: Owners = {cell: {} if cell in changed else self.last_owners[cell] for cell in reported}
        chosen, self.rejection_reasons = _choose_lines(
            _ordered_candidates(changed, self.lines_in_force), owners, zones
        )
        self.lines_in_force = {
            cell: {name: chosen[cell][name] for name in lines if name in chosen[cell]}
            if cell in changed
            else self.lines_in_force[cell]
            for cell, lines in reported.items()
        }
        self.last_owners, self.last_reported, self.last_zones = owners, dict(reported), dict(zones)

    def _is_reconciled(self, cell: str, lines: HostLines, zones: Mapping[str, str]) -> bool:
        """Whether everything in the cell is in force as it is reported now."""
        return (
            self.last_reported.get(cell) is lines
            and self.last_zones.get(cell) == zones[cell]
            and cell not in self.rejection_reasons
        )


def _choose_lines(
    candidates: list[Candidate], owners: Owners, zones: Mapping[str, str]
) -> tuple[CellLines, dict[str, dict[str, str]]]:
    """(lines in force by cell, reasons by cell and host); the first line that uses a name or an address has
    it.

    `owners` of the candidates' cells are filled in.
    """
    chosen: CellLines = {cell: {} for cell in owners}
    rejected: dict[str, dict[str, str]] = {}
    for cell, line, fallback in candidates:
        taken: HostLine | None = line
        reason = _conflict_reason(cell, line, owners) or _zone_conflict_reason(line, zones[cell])
        if reason is not None:
            rejected.setdefault(cell, {})[line.name] = reason
            taken = fallback
        if taken is None or (reason is not None and _conflict_reason(cell, taken, owners) is not None):
            continue
        chosen[cell][taken.name] = taken
        owners[cell][taken.name] = owners[cell][taken.where] = taken.name
    return chosen, rejected


def _ordered_candidates(reported: CellLines, active: CellLines) -> list[Candidate]:
    """The order of lines: first hosts that are unchanged, then those in force that changed, then others."""
    same, changed, fresh = [], [], []
    for cell, lines in reported.items():
        before = active.get(cell, {})
        for name, line in lines.items():
            old = before.get(name)
            if old is None:
                fresh.append(Candidate(cell, line, None))
            elif (old.where, old.zone) == (line.where, line.zone):
                same.append(Candidate(cell, line, line))
            else:
                draining = line.state != State.ACTIVE.value
                fallback = with_state(old, line.state) if draining else old
                changed.append(Candidate(cell, line, fallback))
    return same + changed + fresh


def _conflict_reason(cell: str, line: HostLine, owners: Owners) -> str | None:
    """Why the line conflicts with those that are in force, or None."""
    for other, owned in owners.items():
        for key in (line.name, line.where):
            host = owned.get(key)
            if host is not None and (other, host) != (cell, line.name):
                return f"{key} is host {host} of cell {other}"
    return None


def _zone_conflict_reason(line: HostLine, zone: str) -> str | None:
    if line.zone in ("", zone):
        return None
    return f"it stands in zone {line.zone}, its cell in {zone}"
