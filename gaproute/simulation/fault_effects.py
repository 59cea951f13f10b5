"""What each kind of fault of a plan does to the world when it begins and when it ends."""

import msgspec

from gaproute.simulation.disk import FAILING, FULL, READONLY
from gaproute.simulation.fault_schedule import LEADER

START = 4  # as in simulation.py: START events
ERRORS = {"full": FULL, "read-only": READONLY, "failing": FAILING}


def _met(world, fault, number):
    """The fault with a number in the leader's place; at its end the same as at its begin."""
    if LEADER not in fault.who:
        return fault
    if number not in world.befell:
        seat = world.leader(world) if world.leader is not None else None
        place = seat.number if seat is not None else world.chance.below(len(world.places))
        world.befell[number] = tuple(dict.fromkeys(place if who == LEADER else who for who in fault.who))
    return msgspec.structs.replace(fault, who=world.befell[number])


def begin(world, fault, number):
    fault = _met(world, fault, number)
    net, kind = world.net, fault.kind
    seat = world.places[fault.who[0]] if fault.who else None
    if kind in ("crash", "wipe", "spoil"):
        if seat.actor is not None:
            world.crash(seat)
        if kind == "wipe":
            seat.disk.wiped()
        elif kind == "spoil":
            seat.disk.spoiled("a record that went bad")
    elif kind == "fuse":
        seat.disk.light(fault.value >> 1, bool(fault.value & 1))
    elif kind == "pause":
        seat.paused += seat.actor is not None
    elif kind in ("cut", "cut both", "part"):
        for sender, to in _pairs(world, fault):
            net.cut(sender, to, 1)
    elif kind == "hold":
        net.hold(*fault.who, fault.until)
    elif kind == "lose":
        net.lose.append(fault.value)
    elif kind == "double":
        net.double.append(fault.value)
    elif kind == "slow":
        net.slow.append(fault.value)
    elif kind in ERRORS:
        seat.disk.wrong = ERRORS[kind]
    elif kind == "pace":
        seat.paces[number] = fault.value
        _paced(world, seat)
    else:
        raise ValueError(f"no such fault: {kind}")


def end(world, fault, number):
    fault = _met(world, fault, number)
    net, kind = world.net, fault.kind
    seat = world.places[fault.who[0]] if fault.who else None
    if kind in ("crash", "wipe", "spoil", "fuse"):
        seat.disk.safe()
        if seat.actor is None:
            world.push(world.now, START, seat, None, None)
    elif kind == "pause":
        _continued(world, seat)
    elif kind in ("cut", "cut both", "part"):
        for sender, to in _pairs(world, fault):
            net.cut(sender, to, -1)
    elif kind == "hold":
        net.release(world.now)
    elif kind == "lose":
        net.lose.remove(fault.value)
    elif kind == "double":
        net.double.remove(fault.value)
    elif kind == "slow":
        net.slow.remove(fault.value)
    elif kind in ERRORS:
        seat.disk.wrong = 0
        if seat.actor is None:
            world.push(world.now, START, seat, None, None)
    elif kind == "pace":
        del seat.paces[number]
        _paced(world, seat)


def _pairs(world, fault):
    """Directed pairs that are cut. `part`: those named from all others, both ways."""
    if fault.kind == "part":
        others = [number for number in range(len(world.places)) if number not in fault.who]
        pairs = [(one, other) for one in fault.who for other in others]
        return pairs + [(other, one) for one, other in pairs]
    if len(fault.who) < 2:
        return []  # the leader was the other end
    one, other = fault.who
    return [(one, other)] if fault.kind == "cut" else [(one, other), (other, one)]


def _continued(world, seat):
    """The process goes on: its clock has gone on without it. What came meanwhile is there, and so is its
    timer; the timer first, as a loop that wakes late may do."""
    if not seat.paused:
        return  # it was restarted meanwhile
    seat.paused -= 1
    if seat.paused:
        return
    waiting, seat.inbox = seat.inbox, []
    if seat.actor is not None:
        seat.due = None
        world.scheduled(seat)
    for sender, message in waiting:
        world.push(world.now + 1_000 + world.chance.below(50_000), 1, seat, sender, message)


def _paced(world, seat):
    """The latest that stands, else its own pace."""
    seat.clock.paced(world.now, seat.paces[max(seat.paces)] if seat.paces else seat.fast)
    if seat.actor is not None:
        world.scheduled(seat)
