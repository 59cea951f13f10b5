"""Decides which of the hosts that the change logs of several cells report are in force at the same time.

Invariants: no two hosts in force have the same name or address, and no host is put in force in a zone other
than the zone of its cell. A host stays in its cell until the log of that cell removes it. A host in force
that is reported as draining is draining, even if its reported line is rejected.
"""

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from gaproute.config.directives.fleet import HostLine
from gaproute.discovery.cell_members import with_state
from gaproute.interface import ListedHostState

HostLines: TypeAlias = dict[str, HostLine]  # by host
CellLines: TypeAlias = dict[str, HostLines]  # by cell
Owners: TypeAlias = dict[str, dict[str, str]]  # by cell, then by name or address: the host that uses it


class Candidate(NamedTuple):
    """A reported line of a cell, and the line that stays in force if the reported one is rejected."""

    cell: str
    line: HostLine
    fallback: HostLine | None


class CellReconciler:
    """Holds the host lines that are in force.

    `lines_in_force`: these lines, by cell and host. `rejection_reasons`: why the reported line of a host is
    not in force, by cell and host.
    """

    def __init__(self) -> None:
        self.lines_in_force: CellLines = {}
        self.rejection_reasons: dict[str, dict[str, str]] = {}
        # The arguments and the resulting owners of the last `reconcile`.
        self.last_reported: CellLines = {}
        self.last_zones: dict[str, str] = {}
        self.last_owners: Owners = {}

    def reconcile(self, reported: CellLines, zones: Mapping[str, str]) -> None:
        """Puts the reported lines (by cell and host) in force, except for conflicting lines.

        A cell without conflicts is skipped if `reported` has the same object and `zones` the same zone for it
        as before.
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
        """Whether all lines that are now reported for the cell are already in force."""
        return (
            self.last_reported.get(cell) is lines
            and self.last_zones.get(cell) == zones[cell]
            and cell not in self.rejection_reasons
        )


def _choose_lines(
    candidates: list[Candidate], owners: Owners, zones: Mapping[str, str]
) -> tuple[CellLines, dict[str, dict[str, str]]]:
    """Chooses the host lines to put in force: each name and address goes to the first line that uses it.

    Returns the chosen lines, by cell and host, and the reasons for rejecting the others, by cell and host.
    Enters the hosts of the chosen lines in `owners`.
    """
    chosen: CellLines = {cell: {} for cell in owners}
    rejected: dict[str, dict[str, str]] = {}
    for cell, line, fallback in candidates:
        chosen_line: HostLine | None = line
        reason = _conflict_reason(cell, line, owners) or _zone_conflict_reason(line, zones[cell])
        if reason is not None:
            rejected.setdefault(cell, {})[line.name] = reason
            chosen_line = fallback
        if chosen_line is None or (
            reason is not None and _conflict_reason(cell, chosen_line, owners) is not None
        ):
            continue
        chosen[cell][chosen_line.name] = chosen_line
        owners[cell][chosen_line.name] = owners[cell][chosen_line.where] = chosen_line.name
    return chosen, rejected


def _ordered_candidates(reported: CellLines, active: CellLines) -> list[Candidate]:
    """Candidates in the order of precedence: unchanged hosts, changed hosts in force, then new hosts."""
    unchanged, changed, new = [], [], []
    for cell, lines in reported.items():
        lines_in_force = active.get(cell, {})
        for name, line in lines.items():
            old = lines_in_force.get(name)
            if old is None:
                new.append(Candidate(cell, line, None))
            elif (old.where, old.zone) == (line.where, line.zone):
                unchanged.append(Candidate(cell, line, line))
            else:
                draining = line.state != ListedHostState.ACTIVE.value
                fallback = with_state(old, line.state) if draining else old
                changed.append(Candidate(cell, line, fallback))
    return unchanged + changed + new


def _conflict_reason(cell: str, line: HostLine, owners: Owners) -> str | None:
    """Why the line conflicts with the lines already chosen, or None."""
    for other, owned in owners.items():
        for key in (line.name, line.where):
            host = owned.get(key)
            if host is not None and (other, host) != (cell, line.name):
                return f"{key} is already used by host {host} of cell {other}"
    return None


def _zone_conflict_reason(line: HostLine, zone: str) -> str | None:
    if line.zone in ("", zone):
        return None
    return f"the host is in zone {line.zone}, but its cell is in zone {zone}"
