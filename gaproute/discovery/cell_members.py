"""Converts the members in a cell's change log to lines of a host list; each member is validated separately.

A rejected member leaves its host unchanged, except that a host reported as draining becomes draining even if
the rest of its member is invalid.
"""

import math
from typing import NamedTuple

import msgspec
from pydantic import ValidationError

from gaproute.config.directives.fleet import HostLine
from gaproute.decisions.cells.bounds import MAX_HOSTS_PER_CELL
from gaproute.discovery.changelog.events import FleetUpdate
from gaproute.discovery.changelog.member_records import (
    DECODING_ERRORS,
    STATES_BY_PHASE,
    MemberRecord,
    capacity_of,
    decode_member,
    decode_member_state,
)
from gaproute.errors import GaprouteError
from gaproute.interface import ListedHostState

MILLIS_PER_SECOND = 1_000
MAX_REASON_CHARS = 200
UNKNOWN_NAME = "?"  # stands for the name of a member without one
EMPTY_LIST_REASON = "a complete list without hosts"
PHASES_BY_STATE = {state: phase for phase, state in STATES_BY_PHASE.items()}
GONE_PHASE, DRAINING_PHASE = PHASES_BY_STATE[ListedHostState.GONE], PHASES_BY_STATE[ListedHostState.DRAINING]


class MemberError(GaprouteError, ValueError):
    """A member of a cell's host list is rejected; the message is the reason."""


class RejectedMember(NamedTuple):
    """A rejected member, or a reported host that is not in force, with the reason."""

    host: str
    reason: str


class CellMembers:
    """The hosts that the change log of one cell reports. `reported_lines`: by host; some of the lines may not
    be in force.
    """

    __slots__ = ("reported_lines",)

    def __init__(self) -> None:
        self.reported_lines: dict[str, HostLine] = {}

    def apply(self, update: FleetUpdate, max_hosts: int = MAX_HOSTS_PER_CELL) -> list[RejectedMember]:
        """Applies an event and returns the rejected members.

        The cell has at most `max_hosts` hosts afterwards.
        """
        if update.complete and not update.members:
            return [RejectedMember(UNKNOWN_NAME, EMPTY_LIST_REASON)]
        new_lines = {} if update.complete else dict(self.reported_lines)
        max_hosts = min(max_hosts, MAX_HOSTS_PER_CELL)
        applied = [self._apply_member(raw, new_lines, max_hosts) for raw in update.members]
        self.reported_lines = new_lines
        return [rejected for rejected in applied if rejected is not None]

    def _apply_member(
        self, raw: msgspec.Raw, new_lines: dict[str, HostLine], max_hosts: int
    ) -> RejectedMember | None:
        name, phase = UNKNOWN_NAME, None
        try:
            name, phase = decode_member_state(raw)
            if phase == GONE_PHASE:
                new_lines.pop(name, None)
                return None
            if name not in self.reported_lines and name not in new_lines and len(new_lines) >= max_hosts:
                raise MemberError(f"the cell would have more than {max_hosts} hosts")
            new_lines[name] = _host_line(decode_member(raw))
        except DECODING_ERRORS as error:
            known = new_lines.get(name) or self.reported_lines.get(name)
            if known is not None:
                new_lines[name] = (
                    with_state(known, ListedHostState.DRAINING.value) if phase == DRAINING_PHASE else known
                )
            return RejectedMember(name[:MAX_REASON_CHARS], _rejection_reason(error))
        return None


def _host_line(member: MemberRecord) -> HostLine:
    """Converts a member to a line of a host list. Errors: MemberError."""
    state = STATES_BY_PHASE.get(member.phase)
    if state is None:
        raise MemberError(f"unknown phase {member.phase!r}; expected Ready, Terminating or Gone")
    start = member.up_since_ms
    seconds = start / MILLIS_PER_SECOND if start is not None and 0 < start < math.inf else None
    return HostLine(
        name=member.id,
        where=member.host_port,
        zone=str(member.locality),
        rack=str(member.cell)[:MAX_REASON_CHARS],
        capacity=capacity_of(member),
        state=state.value,
        started=seconds,  # type: ignore[arg-type]  # the line's validator converts it to ns
    )


def _rejection_reason(error: Exception) -> str:
    text = str(error)
    if isinstance(error, ValidationError):
        first = error.errors()[0]
        text = f"{'.'.join(map(str, first['loc']))}: {first['msg'].removeprefix('Value error, ')}"
    return text[:MAX_REASON_CHARS]


def with_state(line: HostLine, state: str) -> HostLine:
    """The line with another state."""
    return line if line.state == state else line.model_copy(update={"state": state})
