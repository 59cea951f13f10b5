"""What must hold of campaigns, by the truth at hosts and by each gateway's own state, at every step of a
run."""

from gaproute.rollouts.campaign import SECOND
from gaproute.rollouts.dispatcher import pool
from gaproute.rollouts.invariants import check_floor, check_groups, check_loads, check_spend
from gaproute.shared.leases.invariants import check_client
from gaproute.simulation.invariant_checks import InvariantChecks
from gaproute.simulation.raft_group.checks import SentMessageChecks

STOP = SECOND // 5  # from when production wants a host's room until no gateway sends rollouts there
DEEP = 12  # steps between the dear checks: a permit lasts seconds


def checks(play):
    return InvariantChecks(
        [lambda world, seat: touched(play, world, seat)],
        [lambda world, seat, to, message: sent(play, world, seat, to, message), SentMessageChecks(play)],
        [
            lambda world: parts(play, world),
            lambda world: check_floor(list(play.hosts.values()), play.lent, play.floors),
        ],
        every=DEEP,
    )


def touched(play, world, seat):
    if play.breaches:
        yield play.breaches[0]
    if seat.actor is None:
        return
    if seat.name in play.hosts:
        truth = seat.actor
        if truth.rollouts > play.lent[seat.name]:
            yield f"room never overspent: {truth.rollouts} of {play.lent[seat.name]} lanes at {seat.name}"
        if len(truth.running) > truth.spec.lanes:
            yield f"a host runs as many as it has lanes: {seat.name}"
    elif seat.name in play.gateways:
        gateway, now = seat.actor, seat.clock.own(world.now)
        yield from check_spend(gateway.spend, now)
        yield from check_groups(gateway.groups)
        yield from check_loads(gateway.loads)
        yield from check_client(gateway.holder)


def parts(play, world):
    """All gateways' parts of each host, each by its own clock, at this true moment."""
    held = {}
    for name in play.gateways:
        seat = world.seats[name]
        if seat.actor is not None:
            own = seat.clock.own(world.now)
            for wish in seat.actor.holder.requests:
                if wish.valid_at(own):
                    held[wish.resource] = held.get(wish.resource, 0) + wish.amount
    for name, lanes in play.lent.items():
        if held.get(pool(name), 0) > max(1, lanes):
            yield f"room never overspent: parts of {held[pool(name)]} of {lanes} lanes at {name}"


def sent(play, world, seat, to, message):
    if to not in play.hosts or message[0] != "task" or not message[2]:
        return
    truth, gateway = world.seats[to].actor, seat.actor
    _, task, campaign, version, *_ = message
    if truth is not None and truth.want_since is not None:
        late = world.now - truth.want_since
        play.stop = max(play.stop, late)
        if late > STOP:
            yield f"production first: {task} to {to} {late / 1e6:.0f} ms after production wanted its room"
    if gateway.weights.now[campaign] - version > gateway.campaigns[campaign].old:
        yield f"too old is not run: {task} of version {version}, now {gateway.weights.now[campaign]}"
    group = gateway.groups.open.get(gateway.tasks[task][1])
    if group is not None and group.version != version:
        yield f"no version mixing: {task} of version {version} in a group of {group.version}"
