"""Which of the hosts that the logs of several cells report are in force together.

Invariants: the hosts in force never name a host or an address twice, nor does a host come into force in
another zone than its cell's. A host stays in the cell that it is in until that cell lets go of it. One in
force that is reported draining is draining, also where its member is rejected.
"""

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from gaproute.config.directives.fleet import HostLine
from gaproute.discovery.cell_members import with_state
from gaproute.interface import State

HostLines: TypeAlias = dict[str, HostLine]  # by host
CellLines: TypeAlias = dict[str, HostLines]  # by cell
Owners: TypeAlias = dict[str, dict[str, str]]  # by cell: by name or address, the host that has it


class Candidate(NamedTuple):
    """A reported line of a cell, and what stays in force of its host where the line is rejected."""

    cell: str
    line: HostLine
    fallback: HostLine | None


class CellReconciler:
    """`active`: {cell: {host: line}} in force; `rejected`: {cell: {host: why it is not}}."""

    def __init__(self) -> None:
        self.active: CellLines = {}
        self.rejected: dict[str, dict[str, str]] = {}
        # What `reconcile` was given last.
        self.reported: CellLines = {}
        self.zones: dict[str, str] = {}
        self.owners: Owners = {}

    def reconcile(self, reported: CellLines, zones: Mapping[str, str]) -> None:
        """Put in force what is reported, {cell: {host: line}}, without what clashes.

        A cell of which the same object is reported as before is not gone through again.
        """
        changed = {
            cell: lines for cell, lines in reported.items() if not self._is_reconciled(cell, lines, zones)
        }
        owners: Owners = {cell: {} if cell in changed else self.owners[cell] for cell in reported}
        chosen, self.rejected = _choose(_candidates(changed, self.active), owners, zones)
        self.active = {
            cell: {name: chosen[cell][name] for name in lines if name in chosen[cell]}
            if cell in changed
            else self.active[cell]
            for cell, lines in reported.items()
        }
        self.owners, self.reported, self.zones = owners, dict(reported), dict(zones)

    def _is_reconciled(self, cell: str, lines: HostLines, zones: Mapping[str, str]) -> bool:
        """Whether all of the cell is in force as it is reported now."""
        return (
            self.reported.get(cell) is lines
            and self.zones.get(cell) == zones[cell]
            and cell not in self.rejected
        )


def _choose(
    candidates: list[Candidate], owners: Owners, zones: Mapping[str, str]
) -> tuple[CellLines, dict[str, dict[str, str]]]:
    """(lines in force by cell, reasons by cell and host); the first that has a name or an address keeps it.

    `owners` of the candidates' cells are filled in.
    """
    chosen: CellLines = {cell: {} for cell in owners}
    rejected: dict[str, dict[str, str]] = {}
    for cell, line, fallback in candidates:
        taken: HostLine | None = line
        reason = _clash(cell, line, owners) or _misplacement(line, zones[cell])
        if reason is not None:
            rejected.setdefault(cell, {})[line.name] = reason
            taken = fallback
        if taken is None or (reason is not None and _clash(cell, taken, owners) is not None):
            continue
        chosen[cell][taken.name] = taken
        owners[cell][taken.name] = owners[cell][taken.where] = taken.name
    return chosen, rejected


def _candidates(reported: CellLines, active: CellLines) -> list[Candidate]:
    """First hosts that are where they were, then those in force that changed, then others."""
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


def _clash(cell: str, line: HostLine, owners: Owners) -> str | None:
    """Why the line cannot be beside those that are in force, or None."""
    for other, owned in owners.items():
        for key in (line.name, line.where):
            host = owned.get(key)
            if host is not None and (other, host) != (cell, line.name):
                return f"{key} is host {host} of cell {other}"
    return None


def _misplacement(line: HostLine, zone: str) -> str | None:
    if line.zone in ("", zone):
        return None
    return f"it stands in zone {line.zone}, its cell in {zone}"
