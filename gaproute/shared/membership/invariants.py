"""What must always hold of a gateway's membership: named checks that return breaches as text."""

from gaproute.shared.membership.members import ERRANDS
from gaproute.shared.membership.news import ALIVE, DEAD, HIGHEST, SUSPECT
from gaproute.shared.membership.table import MEMBERS


def bounded(members):
    """Every map is bounded. Cheap: call it always."""
    table = members.table
    strangers = len(members.members) - MEMBERS
    if strangers > 0 and strangers > sum(member.fixed for member in members.members.values()):
        yield f"{len(members.members)} members are known, over {MEMBERS} and those configured"
    for name, size, most in (
        ("errands", len(members.errands), ERRANDS),
        ("round", len(members.round), len(members.waiting)),
        ("news", len(table.fresh), len(members.members)),
        ("suspects and buried", len(table.suspects) + len(table.buried), len(members.members)),
    ):
        if size > most:
            yield f"{size} {name}, {most} at most"


def filed(members):
    """Each member stands in the lists of its state and in no other. Dear: walks all."""
    table = members.table
    for name, member in members.members.items():
        stands = (name in table.alive, name in table.suspects, name in table.dead, name in table.every)
        if stands != (member.state == ALIVE, member.state == SUSPECT, member.state >= DEAD, True):
            yield f"{name} in state {member.state} stands in {stands}"
        if not 0 <= member.incarnation <= HIGHEST:
            yield f"{name} has incarnation {member.incarnation}"
    if members.name in members.members:
        yield "this gateway is a member of its own list"
    if len(table.every) != len(members.members) or any(name not in members.members for name in table.fresh):
        yield "a list holds one that is no member"


def check(members, dear=False):
    """Breaches as text, none where all is well."""
    return [*bounded(members), *(filed(members) if dear else ())]
