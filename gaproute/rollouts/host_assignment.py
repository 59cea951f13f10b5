"""A plan's lanes dealt to the gateways: who is up gets whole hosts, and keeps what it has."""


def deal(lanes, pools, gateways, before, homes=None):
    """{gateway: {host: {campaign: lanes}}}. `lanes`: {(campaign, host): lanes of this slot}; `pools`: {host:
    lanes that may be lent}; `before`: {host: gateway} of the last time; `homes`: {gateway or host: zone}, for
    nearness.

    A host's pool is dealt whole where anything is planned there: what is spare beyond the plan is used as it
    comes, since the host itself tells at each moment what is free.
    """
    hosts, homes = {}, homes or {}
    for (name, host), count in lanes.items():
        if count > 0:
            hosts.setdefault(host, {})[name] = count
    load = dict.fromkeys(gateways, 0)
    came = {gateway: {} for gateway in gateways}
    if not gateways:
        return came, {}
    total = sum(pools.get(host, 0) for host in hosts)
    most = -(-total // len(gateways))
    owners = {}
    for host in sorted(hosts):
        gateway = before.get(host)
        if gateway in load and load[gateway] < most:
            owners[host] = gateway
            load[gateway] += pools.get(host, 0)
    for host in sorted(hosts):
        if host not in owners:
            owners[host] = min(
                gateways,
                key=lambda each: (load[each] >= most, homes.get(each) != homes.get(host), load[each], each),
            )
            load[owners[host]] += pools.get(host, 0)
    for host, gateway in owners.items():
        came[gateway][host] = _spread(hosts[host], pools.get(host, 0))
    return came, owners


def _spread(counts, pool):
    """The pool by the planned lanes, none without one while there are enough."""
    total, given = sum(counts.values()), {}
    if total >= pool:
        return dict(counts) if total == pool else _cut(counts, pool)
    for name, count in counts.items():
        given[name] = count + (pool - total) * count // total
    order = sorted(counts, key=lambda name: (-counts[name], name))
    for name in order[: pool - sum(given.values())]:
        given[name] += 1
    return given


def _cut(counts, pool):
    given = dict(counts)
    while sum(given.values()) > pool:
        given[max(given, key=lambda name: (given[name], name))] -= 1
    return {name: count for name, count in given.items() if count}


def paces(came, campaigns):
    """{gateway: {campaign: tasks a second}} of campaigns that asked a pace: shared by the lanes dealt."""
    lanes = {}
    for hosts in came.values():
        for counts in hosts.values():
            for name, count in counts.items():
                lanes[name] = lanes.get(name, 0) + count
    mine = {gateway: {} for gateway in came}
    for gateway, hosts in came.items():
        for counts in hosts.values():
            for name, count in counts.items():
                if campaigns[name].pace:
                    part = campaigns[name].pace * count / lanes[name]
                    mine[gateway][name] = mine[gateway].get(name, 0.0) + part
    return mine
