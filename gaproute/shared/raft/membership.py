"""The next change of the members towards the configured members: one member joins or one leaves.

These are Raft's single-server changes: any majority before a change and any majority after it share a node.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from gaproute.shared.raft.messages import MAX_MEMBERS, Member

Members = tuple[Member, ...]


class MatchedLog(NamedTuple):
    """The last index up to which a node's log, under this incarnation, is known to equal the leader's log."""

    incarnation: int
    match_index: int


UNKNOWN_LOG = MatchedLog(0, 0)


def sorted_member_names(names: Iterable[str]) -> tuple[str, ...]:
    """The distinct configured names, sorted. Errors: ValueError if there are none or too many."""
    distinct = tuple(sorted(set(names)))
    if not 1 <= len(distinct) <= MAX_MEMBERS:
        raise ValueError(f"a Raft group has 1 to {MAX_MEMBERS} configured members, not {len(distinct)}")
    return distinct


def next_membership(
    members: Members,
    configured: Collection[str],
    incarnations: Mapping[str, int],
    matches: Mapping[str, MatchedLog],
    commit_index: int,
) -> Members | None:
    """The members after the next change; None if no change is needed or possible now.

    `incarnations` has the responsive nodes, by name. `matches` says, by name, how far a node's log agrees
    with the leader's log. A new member must have the log up to `commit_index`, so that the larger group can
    commit entries immediately.
    """
    for member in members:  # a member that returned with another disk is removed under its old incarnation
        if member.name in incarnations and incarnations[member.name] != member.incarnation:
            return _members_without(members, member, incarnations)
    known = {member.name for member in members}
    for name in configured:
        incarnation, match_index = matches.get(name, UNKNOWN_LOG)
        ready = incarnation and incarnations.get(name) == incarnation and match_index >= commit_index
        if ready and name not in known and len(members) < MAX_MEMBERS:
            return tuple(sorted((*members, Member(name, incarnation)), key=lambda member: member.name))
    for member in members:
        # A member leaves only after its replacement has joined, as fewer members tolerate fewer failures.
        if member.name not in configured and len(members) > len(configured):
            return _members_without(members, member, incarnations)
    return None


def _members_without(members: Members, removed: Member, incarnations: Mapping[str, int]) -> Members | None:
    """The members except `removed`; None if no majority of them is responsive, as the group would stop."""
    remaining = tuple(member for member in members if member != removed)
    return remaining if is_majority(remaining, incarnations) else None


def is_majority(members: Members, incarnations: Mapping[str, int]) -> bool:
    """Whether the nodes in `incarnations` include a majority of the members, each with its incarnation."""
    present = sum(incarnations.get(member.name) == member.incarnation for member in members)
    return 2 * present > len(members)
