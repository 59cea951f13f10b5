"""Facts as protobuf messages and back: no sockets, no choices. Ages are told in microseconds."""

import math

from google.protobuf.message import DecodeError

from gaproute.decisions.reports.exchange_limits import ANSWER
from gaproute.decisions.reports.observation_kinds import SharedObservation
from gaproute.peers.lore_pb2 import Ask, Told

VERSION = 2
FIGURES = ("doubt", "pace", "usual", "load", "share")
WHOLE = ("usual", "load")


def ask(cursor=0, life=0, mark=0):
    """Bytes of an Ask."""
    return Ask(version=VERSION, cursor=cursor, life=life, mark=mark).SerializeToString()


def read_ask(data):
    """Errors: DecodeError."""
    return Ask.FromString(data)


def read_told(data):
    """The message, or None where it is none of a version that is understood."""
    if len(data) > ANSWER:
        return None
    try:
        told = Told.FromString(data)
    except DecodeError:
        return None
    return told if abs(told.version - VERSION) <= 1 else None


def add(told, subject, value, age):
    """Appends one fact to the message; `age` in ns. Returns the bytes of its names."""
    kind, *names = subject
    age = max(0, age) // 1000
    if kind == "warm":
        told.warm.add(worker=names[0], function=names[1], lanes=value[0], started_ns=value[1], age_us=age)
    elif kind == "listed" and value[0] == "gone":
        told.gone.add(worker=names[0], age_us=age)
    elif kind == "listed":
        told.listed.add(worker=names[0], state=value[0], started_ns=value[1], age_us=age)
    else:
        getattr(told, kind).add(names=names, value=value[0], age_us=age)
    return sum([len(name) for name in names])


def put(told, asked, origin, lore):
    """Tells the lore every fact of the message, observed by the giver `origin`."""

    def tell(subject, value, age_us):
        at = lore.observed(asked, (age_us + told.held_us) * 1000)
        if at is not None:
            lore.tell(subject, SharedObservation(at, origin, 1, value))

    for each in told.listed:
        tell(("listed", each.worker), (each.state, each.started_ns), each.age_us)
    for each in told.gone:
        tell(("listed", each.worker), ("gone", 0), each.age_us)
    for each in told.warm:
        tell(("warm", each.worker, each.function), (each.lanes, each.started_ns), each.age_us)
    for kind in FIGURES:
        for each in getattr(told, kind):
            value = each.value
            if kind in WHOLE:
                value = int(value) if math.isfinite(value) else -1
            tell((kind, *each.names), (value,), each.age_us)
