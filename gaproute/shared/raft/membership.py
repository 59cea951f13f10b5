"""The next step of the members towards the configuration: one member joins or one leaves.

These are Raft's single-server changes: any majority before a step and any majority after it share a node.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from gaproute.shared.raft.messages import MAX_MEMBERS, Member

Members = tuple[Member, ...]


class MatchedLog(NamedTuple):
    """The index up to which the log of a node, under this incarnation, is known to equal the leader's."""

    incarnation: int
    match_index: int


UNKNOWN_LOG = MatchedLog(0, 0)


def sorted_member_names(names: Iterable[str]) -> tuple[str, ...]:
    """The configured names, sorted. Errors: ValueError if there are none or too many."""
    distinct = tuple(sorted(set(names)))
    if not 1 <= len(distinct) <= MAX_MEMBERS:
        raise ValueError(f"1 to {MAX_MEMBERS} members are configured, not {len(distinct)}")
    return distinct


def next_membership(
    members: Members,
    configured: Collection[str],
    incarnations: Mapping[str, int],
    matches: Mapping[str, MatchedLog],
    commit_index: int,
) -> Members | None:
    """The members after the next step; None if there is none to take.

    `incarnations`: by name, of the nodes that answered lately. `matches`: by name, how far the logs of nodes
    agree with the leader's. `commit_index`: the entry up to which a new member must have the log, so that the
    larger majority can go on at once.
    """
    for member in members:  # one that is back with another disk is removed under its old incarnation
        if member.name in incarnations and incarnations[member.name] != member.incarnation:
            return _members_without(members, member, incarnations)
    known = {member.name for member in members}
    for name in configured:
        incarnation, match_index = matches.get(name, UNKNOWN_LOG)
        ready = incarnation and incarnations.get(name) == incarnation and match_index >= commit_index
        if ready and name not in known and len(members) < MAX_MEMBERS:
            return tuple(sorted((*members, Member(name, incarnation)), key=lambda member: member.name))
    for member in members:
        # Only after its replacement has joined, as fewer members tolerate fewer failures.
        if member.name not in configured and len(members) > len(configured):
            return _members_without(members, member, incarnations)
    return None


def _members_without(members: Members, gone: Member, incarnations: Mapping[str, int]) -> Members | None:
    """The members except `gone`; None if the remaining ones have no majority that answers, as the group would
    stop.
    """
    remaining = tuple(member for member in members if member != gone)
    return remaining if is_majority(remaining, incarnations) else None


def is_majority(members: Members, incarnations: Mapping[str, int]) -> bool:
    """Whether the nodes in `incarnations` are a majority of the members, each under its own incarnation."""
    present = sum(incarnations.get(member.name) == member.incarnation for member in members)
    return 2 * present > len(members)
