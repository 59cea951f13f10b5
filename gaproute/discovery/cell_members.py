"""The hosts of a cell as a change log tells them: each member is judged by itself; never touches a socket.

A member that is refused leaves its host as it was; but a host that is told draining is draining, whatever
else is wrong with what was told.
"""

import math
from typing import NamedTuple

from pydantic import ValidationError

from gaproute.config.directives.fleet import HostLine
from gaproute.decisions.cells.bounds import MAX_HOSTS
from gaproute.discovery.changelog.members import STATES, decode_member, decode_member_state
from gaproute.interface import State

MAX_REASON_CHARS = 200  # characters of what is said to be wrong
UNKNOWN_NAME = "?"  # a member that does not even tell its name
EMPTY_LIST = "a whole list without hosts"
GONE, DRAINING = (
    next(phase for phase, state in STATES.items() if state is wanted)
    for wanted in (State.GONE, State.DRAINING)
)


class RejectedMember(NamedTuple):
    """A member that is not taken, or a host that is not in force, and why."""

    host: str
    reason: str


class CellMembers:
    """What the log of one cell tells: `reported`, {host: its line}, of which not all need be in force."""

    def __init__(self):
        self.reported = {}

    def apply(self, fleet, room=MAX_HOSTS):
        """Take an event, by which the cell has at most `room` hosts. Returns the members refused."""
        if fleet.complete and not fleet.members:
            return [RejectedMember(UNKNOWN_NAME, EMPTY_LIST)]
        before, refused = self.reported, []
        after = {} if fleet.complete else dict(before)
        for raw in fleet.members:
            name, phase = UNKNOWN_NAME, None
            try:
                name, phase = decode_member_state(raw)
                if phase == GONE:
                    after.pop(name, None)
                    continue
                if name not in before and name not in after and len(after) >= min(room, MAX_HOSTS):
                    raise ValueError(f"more than {min(room, MAX_HOSTS)} hosts")
                after[name] = _line(decode_member(raw))
            except (ValueError, RecursionError) as wrong:
                refused.append(RejectedMember(name[:MAX_REASON_CHARS], _reason(wrong)))
                known = after.get(name) or before.get(name)
                if known is not None:
                    after[name] = with_state(known, "draining") if phase == DRAINING else known
        self.reported = after
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
        rack=str(member.cell)[:MAX_REASON_CHARS],
        capacity=member.size if 0 < (member.size or 0) < math.inf else 1.0,
        state=state.value,
        started=member.up_since_ms / 1_000 if 0 < (member.up_since_ms or 0) < math.inf else None,
    )


def _reason(wrong):
    if isinstance(wrong, ValidationError):
        first = wrong.errors()[0]
        wrong = f"{'.'.join(map(str, first['loc']))}: {first['msg'].removeprefix('Value error, ')}"
    return str(wrong)[:MAX_REASON_CHARS]


def with_state(line, state):
    """The line with that state."""
    return line if line.state == state else line.model_copy(update={"state": state})
