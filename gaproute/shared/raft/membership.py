"""The next step of the members towards the configuration: one joins or one leaves, never both (Raft's
single-server changes: any majority before and any after share a node)."""

from gaproute.shared.raft.messages import MAX_MEMBERS, Member


def next_membership(members, named, incarnations, matches, commit):
    """The members after the next step, or None where there is none to take.

    `incarnations`: name: incarnation of those heard lately; `matches`: name: (incarnation, entries it
    has); `commit`: what a newcomer must have, so that the majority that it enlarges can go on at once.
    """
    for member in members:  # a member that came back with another disk: the old one is no more
        if member.name in incarnations and incarnations[member.name] != member.incarnation:
            return _without(members, member, incarnations)
    known = {member.name for member in members}
    for name in named:
        incarnation, match = matches.get(name, (0, 0))
        ready = incarnation and incarnations.get(name) == incarnation and match >= commit
        if ready and name not in known and len(members) < MAX_MEMBERS:
            return tuple(sorted((*members, Member(name, incarnation)), key=lambda member: member.name))
    for member in members:
        # Not before whoever takes its place has joined: fewer members bear fewer losses meanwhile.
        if member.name not in named and len(members) > len(named):
            return _without(members, member, incarnations)
    return None


def _without(members, gone, incarnations):
    """None where those that would be left could not agree on it: then it would stop all."""
    left = tuple(member for member in members if member != gone)
    answer = sum(incarnations.get(member.name) == member.incarnation for member in left)
    return left if 2 * answer > len(left) else None
