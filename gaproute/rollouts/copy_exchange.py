"""In which order copies are exchanged when weights move, so that neither rollouts nor production stand still.

Where there is room for both, the new copy is loaded beside the old, which goes when the new one stands. Else
the old one goes first, and then at most a PART of a campaign's copies is away at a time. Production's copies
are not touched: `free` is what they leave.
"""

PART = 3  # one in so many of a campaign's copies may be under way: rollouts keep two thirds


def exchange(name, room, wanted, planned, copies, loading, free):
    """Orders of one campaign now: [(kind, host, version)], loads in the order of their use. "drop": it serves
    nobody; "load": beside what stands there; "swap": the campaign's oldest copies there go until this one has
    room.

    `wanted`: versions that serve, the newest first; `planned`: hosts that shall have a copy, the most useful
    first; `copies`: {host: versions standing of this campaign}; `loading`: hosts with a load under way;
    `free`: {host: room}.
    """
    newest, orders = wanted[0], []
    for host, versions in copies.items():  # what serves nobody goes at once, where nothing is lost by it
        for version in versions:
            if (
                version not in wanted
                or host not in planned
                and version != newest
                or version != newest
                and newest in versions
            ):
                orders.append(("drop", host, version))
    dropped = {(host, version) for _, host, version in orders}
    away = len(loading)
    most = max(1, len(planned) // PART)
    lacking = [host for host in planned if newest not in copies.get(host, ()) and host not in loading]
    bare = [
        host
        for host in lacking
        if not any((host, version) not in dropped for version in copies.get(host, ()))
    ]
    for host in bare + [host for host in lacking if host not in bare]:  # without any copy nothing is lost
        if away >= most and host not in bare:
            break
        left = free.get(host, 0) + sum(room for other, _ in dropped if other == host)
        olds = [version for version in copies.get(host, ()) if (host, version) not in dropped]
        if left + room * len(olds) < room:
            continue  # production's copies are there now
        orders.append(("load" if left >= room else "swap", host, newest))
        away += 1
    return orders
