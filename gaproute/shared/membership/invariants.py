"""The invariants of a gateway's membership, as named checks that return violations as text."""

from collections.abc import Iterator

from gaproute.shared.invariants import Bound, bound_violations
from gaproute.shared.membership.membership import Membership
from gaproute.shared.membership.messages import MAX_INCARNATION, MemberState
from gaproute.shared.membership.prober import MAX_INDIRECT_PROBES
from gaproute.shared.membership.table import MAX_MEMBERS


def sizes_are_bounded(membership: Membership) -> Iterator[str]:
    """Every map is bounded. This check is cheap and can always be called."""
    table, prober, count = membership.table, membership.prober, len(membership.members)
    excess = count - MAX_MEMBERS
    if excess > 0 and excess > sum(member.configured for member in membership.members.values()):
        yield f"{count} members are known, over {MAX_MEMBERS} and those configured"
    bounds = (
        Bound("indirect probes", len(prober.indirect_probes), MAX_INDIRECT_PROBES),
        Bound("names of the round", len(prober.order.remaining), len(prober.order.remaining_names)),
        Bound("pending updates", len(table.pending_updates), count),
        Bound("suspects and departed", len(table.suspects) + len(table.departed), count),
    )
    yield from bound_violations(bounds)


def lists_match_states(membership: Membership) -> Iterator[str]:
    """Each member is in the lists of its state and in no other. Expensive, as it reads all members."""
    table = membership.table
    for name, member in membership.members.items():
        listed = (name in table.alive, name in table.suspects, name in table.dead, name in table.all_names)
        state = member.state
        expected = (state == MemberState.ALIVE, state == MemberState.SUSPECT, state >= MemberState.DEAD, True)
        if listed != expected:
            yield f"{name} in state {state} is in {listed} of the alive, suspects, dead and all"
        if not 0 <= member.incarnation <= MAX_INCARNATION:
            yield f"{name} has incarnation {member.incarnation}"
    if membership.name in membership.members:
        yield "this gateway is a member of its own list"
    pending_unknown = any(name not in membership.members for name in table.pending_updates)
    if len(table.all_names) != len(membership.members) or pending_unknown:
        yield "a list holds one that is no member"


def check(membership: Membership, *, thorough: bool = False) -> list[str]:
    """The violations as text; empty if there are none. `thorough`: the expensive checks as well."""
    violations = list(sizes_are_bounded(membership))
    if thorough:
        violations += lists_match_states(membership)
    return violations
