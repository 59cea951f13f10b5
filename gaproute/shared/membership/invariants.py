"""The invariants of a gateway's membership, as checks that return violations as texts."""

from collections.abc import Iterator

from gaproute.shared.invariants import Bound, bound_violations
from gaproute.shared.membership.membership import Membership
from gaproute.shared.membership.messages import MAX_INCARNATION, MemberState
from gaproute.shared.membership.prober import MAX_INDIRECT_PROBES
from gaproute.shared.membership.table import MAX_MEMBERS


def sizes_are_bounded(membership: Membership) -> Iterator[str]:
    """Checks that every map is bounded; cheap enough to be called at any time."""
    table, prober, count = membership.table, membership.prober, len(membership.members)
    excess = count - MAX_MEMBERS
    if excess > 0 and excess > sum(member.configured for member in membership.members.values()):
        yield f"{count} members are known, more than {MAX_MEMBERS} and the configured ones"
    bounds = (
        Bound("indirect probes", len(prober.indirect_probes), MAX_INDIRECT_PROBES),
        Bound("names of the round", len(prober.probe_order.remaining), len(prober.probe_order.remaining_set)),
        Bound("pending updates", len(table.pending_updates), count),
        Bound("suspects and departed", len(table.suspected_since) + len(table.departed_since), count),
    )
    yield from bound_violations(bounds)


def lists_match_states(membership: Membership) -> Iterator[str]:
    """Checks that each member is in the lists of its state and no others; expensive: reads all members."""
    table = membership.table
    for name, member in membership.members.items():
        listed = (
            name in table.alive,
            name in table.suspected_since,
            name in table.departed,
            name in table.all_names,
        )
        state = member.state
        expected = (state == MemberState.ALIVE, state == MemberState.SUSPECT, state >= MemberState.DEAD, True)
        if listed != expected:
            yield f"{name} in state {state} is in {listed} of alive, suspects, departed, all; not {expected}"
        if not 0 <= member.incarnation <= MAX_INCARNATION:
            yield f"{name} has incarnation {member.incarnation}, expected 0 to {MAX_INCARNATION}"
    if membership.name in membership.members:
        yield "this gateway is in its own member table"
    pending_unknown = any(name not in membership.members for name in table.pending_updates)
    if len(table.all_names) != len(membership.members) or pending_unknown:
        yield "a list contains a name that is not in the member table"


def check_membership(membership: Membership, *, thorough: bool = False) -> list[str]:
    """The violations as texts. `thorough`: with the expensive checks."""
    violations = list(sizes_are_bounded(membership))
    if thorough:
        violations += lists_match_states(membership)
    return violations
