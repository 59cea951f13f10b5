"""What must always hold of a gateway's membership: named checks that return breaches as text."""

from gaproute.shared.membership.membership import INDIRECT_PROBES
from gaproute.shared.membership.messages import MAX_INCARNATION, MemberState
from gaproute.shared.membership.table import MAX_MEMBERS


def bounded(members):
    """Every map is bounded. Cheap: call it always."""
    table = members.table
    strangers = len(members.members) - MAX_MEMBERS
    if strangers > 0 and strangers > sum(member.configured for member in members.members.values()):
        yield f"{len(members.members)} members are known, over {MAX_MEMBERS} and those configured"
    for name, size, most in (
        ("errands", len(members.indirect_probes), INDIRECT_PROBES),
        ("round", len(members.round), len(members.waiting)),
        ("news", len(table.pending_updates), len(members.members)),
        ("suspects and buried", len(table.suspects) + len(table.departed), len(members.members)),
    ):
        if size > most:
            yield f"{size} {name}, {most} at most"


def filed(members):
    """Each member stands in the lists of its state and in no other. Dear: walks all."""
    table = members.table
    for name, member in members.members.items():
        stands = (name in table.alive, name in table.suspects, name in table.dead, name in table.all_names)
        if stands != (
            member.state == MemberState.ALIVE,
            member.state == MemberState.SUSPECT,
            member.state >= MemberState.DEAD,
            True,
        ):
            yield f"{name} in state {member.state} stands in {stands}"
        if not 0 <= member.incarnation <= MAX_INCARNATION:
            yield f"{name} has incarnation {member.incarnation}"
    if members.name in members.members:
        yield "this gateway is a member of its own list"
    if len(table.all_names) != len(members.members) or any(
        name not in members.members for name in table.pending_updates
    ):
        yield "a list holds one that is no member"


def check(members, dear=False):
    """Breaches as text, none where all is well."""
    return [*bounded(members), *(filed(members) if dear else ())]
