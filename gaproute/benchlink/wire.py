"""Reads the lines of the simulator's wire into the module's types. Wire names stop here."""

import json
from functools import wraps

from gaproute import interface as face
from gaproute import terms as start

MICRO, MILLI = 1_000, 1_000_000

STATES = {"active": face.State.ACTIVE, "leaving": face.State.DRAINING, "left": face.State.GONE}
RESULTS = {
    "0": face.Result.OK,
    "1": face.Result.ERROR,
    "2": face.Result.FULL,
    "3": face.Result.TIMEOUT,
    "4": face.Result.CONNECT_FAILED,
    "5": face.Result.RESET,
    "6": face.Result.CANCELLED,
    "7": face.Result.NOT_SENT,
    "8": face.Result.NOT_LOADED,
}
FIELDS = {
    "SYNC": 2,
    "OVER_TO_YOU": 0,
    "FOR": 1,
    "OPEN_INSTANCE": 2,
    "CRASH_NOW": 0,
    "LIST": 2,
    "M": 7,
    "TARGETS": 3,
    "CALL": 10,
    "ACCEPTED": 4,
    "REPLY": 8,
    "GONE": 1,
    "ALARM": 1,
    "HEALTH_RESULT": 4,
    "PEER_DATA": 2,
    "STANDS": 5,
}
TEXT_LAST = {"OPEN_INSTANCE": 1, "ALARM": 0}


class WireFault(ValueError):
    """A line that breaks the wire format."""


def reader(function):
    """A value that cannot be read breaks the wire format; it is no fault of the decision module."""

    @wraps(function)
    def read(*values):
        try:
            return function(*values)
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as fault:
            raise (
                fault if isinstance(fault, WireFault) else WireFault(f"{function.__name__}: {fault}")
            ) from fault

    return read


def split(line):
    """Name and fields of one line; the last field of some lines is text to the line's end."""
    name, _, rest = line.partition(" ")
    if name not in FIELDS:
        raise WireFault(f"unknown message {name!r}")
    fields = rest.split(" ", TEXT_LAST[name]) if name in TEXT_LAST else rest.split(" ") if rest else []
    if len(fields) != FIELDS[name]:
        raise WireFault(f"{name} has {len(fields)} values, {FIELDS[name]} expected")
    return name, fields


@reader
def nanos(text):
    """Milliseconds on the wire, counted there in microseconds, as whole nanoseconds; absent is None."""
    return None if text == "-" else round(float(text) * 1000) * MICRO


def millis(span):
    """Whole nanoseconds as the wire's milliseconds, rounded up to its microseconds."""
    return f"{-(-span // MICRO) / 1000:.3f}"


@reader
def whole(text, absent=0):
    return absent if text == "-" else int(text)


@reader
def data(text):
    return bytes.fromhex(text)


def flag(text):
    if text not in ("0", "1", "-"):
        raise WireFault(f"{text!r} is no bool")
    return text == "1"


@reader
def report(text, memory_known=True):
    if text in ("-", ""):
        return None
    pairs = dict(pair.split(":", 1) for pair in text.split(","))

    def figure(name):
        return float(pairs[name]) if pairs.get(name, "-") != "-" else None

    return face.Report(
        figure("busy_reqs"), figure("pending"), figure("cpu_share"), figure("x0") if memory_known else None
    )


@reader
def listed(fields):
    state = fields[4]
    if state not in STATES:
        raise WireFault(f"unknown state {state!r}")
    born = nanos(fields[6])
    return face.ListedHost(
        fields[0],
        whole(fields[1]),
        whole(fields[2 + 1]),
        STATES[state],
        1.0 if fields[5] == "-" else float(fields[5]),
        born or None,
    )


@reader
def task(fields):
    lanes = whole(fields[6], 1)
    return face.Request(
        fields[0],
        whole(fields[1]),
        nanos(fields[2]) or 0,
        fields[4],
        max(1, lanes),
        nanos(fields[7]),
        whole(fields[9]),
    )


@reader
def outcome(fields, counts, memory_known=True):
    result = RESULTS.get(fields[3])
    if result is None:
        return None
    remark = whole(fields[6])
    told = counts and result in (face.Result.OK, face.Result.FULL)
    note = remark & 7
    return face.Outcome(
        fields[0],
        whole(fields[1]),
        fields[2],
        result,
        nanos(fields[4]) or 0,
        flag(fields[5]),
        face.Found(note if note <= 4 else 0),
        remark >> 3 if told else None,
        report(fields[7], memory_known),
    )


@reader
def terms(text):
    """The start-up object as the module's terms."""
    return start.terms(json.loads(text))
