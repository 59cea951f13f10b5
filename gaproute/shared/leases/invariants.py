"""What must always hold of permits; every check returns breaches as text, named first."""

from gaproute.shared.leases.commands import MOST_WISHES
from gaproute.shared.leases.machine import PERMITS, POOLS


def check_permits(machine):
    """Of one keeper's state: dear, walks all."""
    held, came = {}, []
    for fence, permit in machine.permits.items():
        held[permit.resource] = held.get(permit.resource, 0) + permit.amount
        if fence > machine.fence or fence != permit.fence:
            came.append(f"fencing number only grows: {fence} stands above {machine.fence}")
    if held != machine.held:
        came.append("amounts held are those of the permits")
    for resource, amount in held.items():
        size, over = machine.pools.get(resource, (1, 0))
        if amount > max(size, over):
            came.append(f"pool never overspent: {amount} of {resource}, which has {size}")
    if len(machine.permits) > PERMITS or len(machine.pools) > POOLS:
        came.append("maps are bounded: permits")
    return came


def check_holder(holder):
    """Cheap: of one holder alone."""
    came = []
    most = 3 * MOST_WISHES
    if len(holder.wishes) > MOST_WISHES or len(holder.queue) > most or len(holder.urgent) > most:
        came.append(f"maps are bounded: {holder.name}")
    if any(wish.state not in ("asked", "held") for wish in holder.wishes):
        came.append(f"wishes at work are asked or held: {holder.name}")
    return came


def check_holders(machine, holders):
    """`machine`: the one that applied most; `holders`: [(Holder, its own clock's time)]."""
    spent, fences, came = {}, {}, []
    for holder, now in holders:
        came += check_holder(holder)
        for wish in holder.wishes:
            if not wish.may(now) or wish.fence > machine.fence:
                continue  # what this keeper has not applied yet it cannot judge
            if wish.fence in fences:
                came.append(f"one holder: {holder.name} and {fences[wish.fence]} by permit {wish.fence}")
            fences[wish.fence] = holder.name
            spent[wish.resource] = spent.get(wish.resource, 0) + wish.amount
            permit = machine.permits.get(wish.fence)
            if permit is None:
                came.append(f"a permit stands while its holder may: {wish.fence} of {holder.name} is gone")
    for resource, amount in spent.items():
        size, over = machine.pools.get(resource, (1, 0))
        if amount > max(size, over):
            came.append(f"one holder, no pool overspent: {amount} of {resource}, which has {size}")
    return came
