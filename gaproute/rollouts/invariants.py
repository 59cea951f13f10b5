"""What must always hold of rollouts; every check returns breaches as text, named first. Cheap ones may run
always."""

from gaproute.rollouts.dispatcher import FRESH, HANDS, PARTS
from gaproute.rollouts.groups import ENDED, GROUPS


def check_spend(spend, now):
    """Of one gateway: what is in hand stands under permits that outlast it."""
    came, under, by = [], {}, {}
    for task, hand in spend.hands.items():
        under[hand.wish] = under.get(hand.wish, 0) + 1
        by[hand.host, hand.campaign] = by.get((hand.host, hand.campaign), 0) + 1
        if hand.until > now and (hand.wish.state != "held" or hand.wish.expires_at < hand.until):
            came.append(f"nothing spent without a permit: {task} at {hand.host}, permit {hand.wish.state}")
    for wish, count in under.items():
        if count > wish.amount:
            came.append(f"room never overspent: {count} under a permit of {wish.amount} of {wish.resource}")
    for host, part in spend.parts.items():
        if any(count != under.get(wish, 0) for wish, count in part.wishes.items()) or any(
            count != by.get((host, name), 0) for name, count in part.hands.items()
        ):
            came.append(f"counts are those of what is in hand: {host}")
    if len(spend.parts) > PARTS or len(spend.hands) > HANDS:
        came.append("maps are bounded: rollouts in hand")
    return came


def check_sent(spend, now, name, host):
    """Of one rollout that goes out now, before it is booked."""
    part = spend.parts.get(host)
    if part is None or part.asked is None or now - part.asked >= FRESH or part.want or part.free <= 0:
        return [f"production first: a rollout of {name} to {host} without its word"]
    return []


def check_groups(groups):
    came = []
    for name, group in groups.open.items():
        if group.good != sum(group.tasks.values()) or len(group.tasks) > group.size:
            came.append(f"a group counts its own: {name}")
    if len(groups.open) > GROUPS or len(groups.ended) > ENDED:
        came.append("maps are bounded: groups")
    return came


def check_floor(hosts, lent, floors):
    """The floor of free room: what may be lent leaves each host and each zone its own."""
    zones = {}
    for host in hosts:
        zones[host.zone] = zones.get(host.zone, 0) + host.lanes - lent[host.name]
    came = [
        f"floor of free room: {host.name}"
        for host in hosts
        if not 0 <= lent[host.name] <= max(0, host.lanes - floors.get(host.name, 0))
    ]
    return came + [
        f"floor of free room: zone {zone}"
        for zone, left in zones.items()
        if left < min(floors.get(zone, 0), sum(host.lanes for host in hosts if host.zone == zone))
    ]


def check_loads(loads):
    if loads.out < 0 or loads.out + len(loads.ends) > loads.free:
        return [f"rollouts keep to their ration of loads: {loads.out} out of {loads.free}"]
    return []
