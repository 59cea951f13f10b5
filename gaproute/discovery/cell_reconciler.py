"""Which of the hosts that logs of several cells tell are in force together; never touches a socket.

Invariants: the hosts in force never name a host or an address twice, nor does a host come into force in
another zone than its cell's. A host stays in the cell that it is in until that cell lets go of it. One in
force that is told draining is draining, also where what was told of it is refused.
"""

from gaproute.discovery.cell_members import with_state


class CellReconciler:
    """`active`: {cell: {host: line}} in force; `rejected`: {cell: {host: why it is not}}."""

    def __init__(self):
        self.active, self.rejected = {}, {}
        # What `reconcile` was given last; by cell {name or address: the host that has it}.
        self.reported, self.zones, self.owners = {}, {}, {}

    def reconcile(self, reported, zones):
        """Put in force what is reported, {cell: {host: line}}, without what clashes.

        A cell of which the same object is reported as before is not gone through again."""
        moving = {
            cell: lines for cell, lines in reported.items() if not self._is_reconciled(cell, lines, zones)
        }
        owners = {cell: {} if cell in moving else self.owners[cell] for cell in reported}
        refused, chosen = {}, {cell: {} for cell in moving}
        for cell, line, stays in _ordered(moving, self.active):
            reason = _owned(cell, line, owners) or _misplaced(line, zones[cell])
            if reason is not None:
                refused.setdefault(cell, {})[line.name] = reason
                line = stays
                if line is None or _owned(cell, line, owners) is not None:
                    continue
            chosen[cell][line.name] = line
            owners[cell][line.name] = owners[cell][line.where] = line.name
        self.active = {
            cell: {name: chosen[cell][name] for name in lines if name in chosen[cell]}
            if cell in moving
            else self.active[cell]
            for cell, lines in reported.items()
        }
        self.rejected, self.owners, self.reported, self.zones = refused, owners, dict(reported), dict(zones)

    def _is_reconciled(self, cell, lines, zones):
        """Whether all of the cell is in force as it is reported now."""
        return (
            self.reported.get(cell) is lines
            and self.zones.get(cell) == zones[cell]
            and cell not in self.rejected
        )


def _ordered(reported, held):
    """(cell, line, what stays of it where it is refused): first hosts that are where they were, then those in
    force that changed, then others."""
    same, changed, fresh = [], [], []
    for cell, lines in reported.items():
        before = held.get(cell, {})
        for name, line in lines.items():
            old = before.get(name)
            if old is None:
                fresh.append((cell, line, None))
            elif (old.where, old.zone) == (line.where, line.zone):
                same.append((cell, line, line))
            else:
                stays = old if line.state == "active" else with_state(old, line.state)
                changed.append((cell, line, stays))
    return same + changed + fresh


def _owned(cell, line, owners):
    """Why the line cannot stand beside those that are in force, or None."""
    for other, owned in owners.items():
        for what in (line.name, line.where):
            host = owned.get(what)
            if host is not None and (other, host) != (cell, line.name):
                return f"{what} is host {host} of cell {other}"
    return None


def _misplaced(line, zone):
    if line.zone in ("", zone):
        return None
    return f"it stands in zone {line.zone}, its cell in {zone}"
