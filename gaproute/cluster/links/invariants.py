"""What must always hold in a wire, as named checks; run whenever its counts are asked for."""

from gaproute.cluster.links.conditions import HELD
from gaproute.cluster.links.datagrams import KEPT, SPAN
from gaproute.cluster.links.stream_end import CHUNK, HIGH


def breaches(wire):
    """What does not hold, as text; nothing if all is well."""
    return [
        *weather(wire.weather),
        *datagrams(wire.datagrams),
        *(
            found
            for relay in wire.streams.relays.values()
            for end in (relay.near, relay.far)
            for found in stream(end)
        ),
    ]


def weather(weather):
    if list(weather.told) != list(weather.faults):
        yield f"faults_as_told: {list(weather.told)} told, {list(weather.faults)} on"
    if any(name not in weather.faults for name, _, _ in weather.free):
        yield "pace_without_fault: a limited pace is kept of a fault that is off"


def stream(end):
    """Of one direction of a connection."""
    if not (end.queue or end.out or end.queued or end.waiting):
        return  # most are like this: 5,000 connections must not make the wire late
    name = f"{end.a} to {end.b}"
    dues = [due for due, _ in end.queue]
    timed = [due for due in dues if due is not HELD]
    if sum(len(data or b"") for _, data in end.queue) != end.queued:
        yield f"queued_bytes: {name}: {end.queued} booked"
    if sum(len(data) for data in end.out) != end.waiting:
        yield f"waiting_bytes: {name}: {end.waiting} booked"
    if end.queued + end.other.waiting > HIGH + CHUNK:
        yield f"bounded: {name}: {end.queued} and {end.other.waiting} bytes under way"
    if timed != sorted(timed) or HELD in dues[: len(timed)]:
        yield f"in_order: {name}: {dues}"
    if end.queue and end.timer is None and not end.weather.keeps(end.a, end.b):
        yield f"never_stuck: {name}: {len(dues)} pieces wait for nothing"


def datagrams(datagrams):
    if sum(len(data) for _, _, data in datagrams.kept) != datagrams.kept_bytes:
        yield f"kept_bytes: {datagrams.kept_bytes} booked"
    if len(datagrams.kept) > KEPT or datagrams.kept_bytes > SPAN:
        yield f"kept_bounded: {len(datagrams.kept)} messages, {datagrams.kept_bytes} bytes"
