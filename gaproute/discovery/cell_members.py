"""The hosts of cells as change logs tell them: each member is judged by itself; never touches a socket.

Invariants: the hosts in force never name a host or an address twice, nor does a host come into force in
another zone than its cell's. A member that is refused leaves its host as it was, but a host in force that is
told draining is draining, whatever else is wrong with what was told.
"""

import math
from typing import NamedTuple

from pydantic import ValidationError

from gaproute.conf.words.fleet import HostLine
from gaproute.decisions.cells.bounds import MAX_HOSTS
from gaproute.discovery.changelog.events import STATES, member_standing, read_member
from gaproute.interface import State

MAX_TEXT = 200  # characters of what is said to be wrong
UNNAMED = "?"  # a member that does not even tell its name
NO_HOSTS = "a whole list without hosts"
GONE, DRAINING = (
    next(phase for phase, state in STATES.items() if state is wanted)
    for wanted in (State.GONE, State.DRAINING)
)


class Refused(NamedTuple):
    """A member that is not taken, or a host that is not in force, and why."""

    host: str
    reason: str


class CellMembers:
    """What the log of one cell tells: `offered`, {host: its line}, of which not all need be in force."""

    def __init__(self):
        self.offered = {}

    def take(self, fleet, room=MAX_HOSTS):
        """Take an event, by which the cell has at most `room` hosts. Returns the members refused."""
        if fleet.complete and not fleet.members:
            return [Refused(UNNAMED, NO_HOSTS)]
        before, refused = self.offered, []
        after = {} if fleet.complete else dict(before)
        for raw in fleet.members:
            name, phase = UNNAMED, None
            try:
                name, phase = member_standing(raw)
                if phase == GONE:
                    after.pop(name, None)
                    continue
                if name not in before and name not in after and len(after) >= min(room, MAX_HOSTS):
                    raise ValueError(f"more than {min(room, MAX_HOSTS)} hosts")
                after[name] = _line(read_member(raw))
            except (ValueError, RecursionError) as wrong:
                refused.append(Refused(name[:MAX_TEXT], _reason(wrong)))
                known = after.get(name) or before.get(name)
                if known is not None:
                    after[name] = _in_state(known, "draining") if phase == DRAINING else known
        self.offered = after
        return refused


def _line(member):
    """The member as a line of a host list. Errors: ValueError."""
    state = STATES.get(member.phase)
    if state is None:
        raise ValueError(f"unknown phase {member.phase!r}")
    return HostLine(
        name=member.id,
        where=member.host_port,
        zone=str(member.locality),
        rack=str(member.cell)[:MAX_TEXT],
        capacity=member.size if 0 < (member.size or 0) < math.inf else 1.0,
        state=state.value,
        started=member.up_since_ms / 1_000 if 0 < (member.up_since_ms or 0) < math.inf else None,
    )


def _reason(wrong):
    if isinstance(wrong, ValidationError):
        first = wrong.errors()[0]
        wrong = f"{'.'.join(map(str, first['loc']))}: {first['msg'].removeprefix('Value error, ')}"
    return str(wrong)[:MAX_TEXT]


def _in_state(line, state):
    return line if line.state == state else line.model_copy(update={"state": state})


def in_force(offered, held, zones):
    """({cell: {host: line}}, {cell: {host: why it is refused}}): what is offered without what clashes.

    `held`: what was in force until now. Its hosts come first, so that one stays in the cell that it is in
    until that cell lets go of it.
    """
    chosen, refused, owners = {cell: {} for cell in offered}, {}, {}
    for cell, line, stays in _ordered(offered, held):
        reason = _owned(cell, line, owners) or _misplaced(line, zones[cell])
        if reason is not None:
            refused.setdefault(cell, {})[line.name] = reason
            line = stays
            if line is None or _owned(cell, line, owners) is not None:
                continue
        chosen[cell][line.name] = line
        owners[line.name] = owners[line.where] = cell, line.name
    lists = {
        cell: {name: chosen[cell][name] for name in lines if name in chosen[cell]}
        for cell, lines in offered.items()
    }
    return lists, refused


def _ordered(offered, held):
    """(cell, line, what stays of it where it is refused): first hosts that are where they were, then those in
    force that changed, then others."""
    same, changed, fresh = [], [], []
    for cell, lines in offered.items():
        before = held.get(cell, {})
        for name, line in lines.items():
            old = before.get(name)
            if old is None:
                fresh.append((cell, line, None))
            elif (old.where, old.zone) == (line.where, line.zone):
                same.append((cell, line, line))
            else:
                stays = old if line.state == "active" else _in_state(old, line.state)
                changed.append((cell, line, stays))
    return same + changed + fresh


def _owned(cell, line, owners):
    """Why the line cannot stand beside those that are in force, or None."""
    for what in (line.name, line.where):
        owner = owners.get(what)
        if owner is not None and owner != (cell, line.name):
            return f"{what} is host {owner[1]} of cell {owner[0]}"
    return None


def _misplaced(line, zone):
    if line.zone in ("", zone):
        return None
    return f"it stands in zone {line.zone}, its cell in {zone}"
