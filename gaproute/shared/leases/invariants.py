"""What must always hold of leases; every check returns breaches as text, named first."""

from gaproute.shared.leases.commands import MAX_LEASES_PER_CLIENT
from gaproute.shared.leases.table import MAX_LEASES, MAX_POOLS


def check_table(table):
    """Of one keeper's state: dear, walks all."""
    held, came = {}, []
    for fence, lease in table.leases.items():
        held[lease.resource] = held.get(lease.resource, 0) + lease.amount
        if fence > table.last_token or fence != lease.fencing_token:
            came.append(f"fencing number only grows: {fence} stands above {table.last_token}")
    if held != table.amounts_held:
        came.append("amounts held are those of the leases")
    for resource, amount in held.items():
        size, over = table.pools.get(resource, (1, 0))
        if amount > max(size, over):
            came.append(f"pool never overspent: {amount} of {resource}, which has {size}")
    if len(table.leases) > MAX_LEASES or len(table.pools) > MAX_POOLS:
        came.append("maps are bounded: leases")
    return came


def check_holder(holder):
    """Cheap: of one holder alone."""
    came = []
    most = 3 * MAX_LEASES_PER_CLIENT
    if len(holder.wishes) > MAX_LEASES_PER_CLIENT or len(holder.queue) > most or len(holder.urgent) > most:
        came.append(f"maps are bounded: {holder.name}")
    if any(wish.state not in ("asked", "held") for wish in holder.wishes):
        came.append(f"wishes at work are asked or held: {holder.name}")
    return came


def check_holders(table, holders):
    """`table`: the one that applied most; `holders`: [(Holder, its own clock's time)]."""
    spent, fences, came = {}, {}, []
    for holder, now in holders:
        came += check_holder(holder)
        for wish in holder.wishes:
            if not wish.may(now) or wish.fence > table.last_token:
                continue  # what this keeper has not applied yet it cannot judge
            if wish.fence in fences:
                came.append(f"one holder: {holder.name} and {fences[wish.fence]} by lease {wish.fence}")
            fences[wish.fence] = holder.name
            spent[wish.resource] = spent.get(wish.resource, 0) + wish.amount
            lease = table.leases.get(wish.fence)
            if lease is None:
                came.append(f"a lease stands while its holder may: {wish.fence} of {holder.name} is gone")
    for resource, amount in spent.items():
        size, over = table.pools.get(resource, (1, 0))
        if amount > max(size, over):
            came.append(f"one holder, no pool overspent: {amount} of {resource}, which has {size}")
    return came
