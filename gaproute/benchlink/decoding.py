"""Converts fields of the simulator's lines to types of the decisions; no other module uses the wire's words.

Every public function raises `WireFormatError` for a value that cannot be decoded, which is no error of the
decisions.
"""

import json
from collections.abc import Callable
from functools import wraps
from typing import TypeVar, cast

from gaproute import interface, settings
from gaproute.benchlink.lines import (
    ABSENT,
    AttemptEnded,
    ListRow,
    PeerMessage,
    ProbeAnswered,
    RequestReceived,
    StreamStarted,
    WireFormatError,
)
from gaproute.units import MICRO

MICROS_PER_MILLI = 1_000
STATES = {
    "active": interface.ListedHostState.ACTIVE,
    "leaving": interface.ListedHostState.DRAINING,
    "left": interface.ListedHostState.GONE,
}
RESULTS = {
    "0": interface.Result.OK,
    "1": interface.Result.ERROR,
    "2": interface.Result.FULL,
    "3": interface.Result.TIMEOUT,
    "4": interface.Result.CONNECT_FAILED,
    "5": interface.Result.RESET,
    "6": interface.Result.CANCELLED,
    "7": interface.Result.NOT_SENT,
    "8": interface.Result.NOT_LOADED,
}
OK = "0"
# The results with which a host counts the requests of the function, where hosts do so at all.
COUNTED_RESULTS = (interface.Result.OK, interface.Result.FULL)
FLAGS = {"0": False, "1": True, ABSENT: False}
# The remark of an outcome: the lower bits say what the attempt found, the others count requests of the
# function.
FOUND_BITS = 3
MAX_FOUND = 4

Decode = TypeVar("Decode", bound=Callable[..., object])


def decoder(decode: Decode) -> Decode:
    """Decorates a decoder: any error that a value causes is raised as a `WireFormatError`."""

    @wraps(decode)
    def checked(*arguments: object) -> object:
        try:
            return decode(*arguments)
        except WireFormatError:
            raise
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
            raise WireFormatError(f"{decode.__name__}: {error}") from error

    return cast(Decode, checked)


@decoder
def decode_clock(text: str) -> int:
    """The clock of a batch, ns."""
    return _nanoseconds(text) or 0


@decoder
def decode_integer(text: str) -> int:
    """A whole number; 0 if it is absent."""
    return _integer(text)


@decoder
def decode_terms(text: str) -> interface.RoutingSettings:
    """The settings of an instance, as terms of the decisions."""
    return settings.read_terms(json.loads(text))


@decoder
def decode_host(row: ListRow) -> interface.ListedHost:
    """A host of a list."""
    if row.state not in STATES:
        raise WireFormatError(f"unknown state {row.state!r}")
    return interface.ListedHost(
        row.host,
        _integer(row.zone),
        _integer(row.cell),
        STATES[row.state],
        1.0 if row.capacity == ABSENT else float(row.capacity),
        _nanoseconds(row.started) or None,
    )


@decoder
def decode_request(line: RequestReceived) -> interface.Request:
    """A client's request."""
    return interface.Request(
        line.id,
        _integer(line.tenant),
        _nanoseconds(line.time_left) or 0,
        line.function,
        max(1, _integer(line.lanes, absent=1)),
        _nanoseconds(line.load_time),
        _integer(line.request_class),
    )


@decoder
def decode_outcome(
    line: AttemptEnded, counted_results: tuple[interface.Result, ...]
) -> interface.Outcome | None:
    """The outcome of an attempt; None if its result is unknown.

    `counted_results`: the results whose remark counts the requests of the function at the host.
    """
    result = RESULTS.get(line.result)
    if result is None:
        return None
    remark = _integer(line.remark)
    found = remark & ((1 << FOUND_BITS) - 1)
    return interface.Outcome(
        line.request,
        _integer(line.attempt),
        line.host,
        result,
        _nanoseconds(line.elapsed) or 0,
        _flag(line.ended),
        interface.InstanceStatus(found if found <= MAX_FOUND else 0),
        remark >> FOUND_BITS if result in counted_results else None,
        _report(line.report),
    )


@decoder
def decode_stream_start(line: StreamStarted) -> interface.Outcome:
    """The outcome by which a streamed answer begins."""
    return interface.Outcome(
        line.request,
        _integer(line.attempt),
        line.host,
        interface.Result.STREAM_STARTED,
        _nanoseconds(line.elapsed) or 0,
        False,
        interface.InstanceStatus.UNKNOWN,
        None,
        None,
    )


@decoder
def decode_probe_report(line: ProbeAnswered) -> interface.HostLoadReport | None:
    """The load report in the answer to a health check."""
    return _report(line.report)


@decoder
def decode_payload(line: PeerMessage) -> bytes:
    """The payload of another instance's message."""
    return bytes.fromhex(line.payload)


def encode_milliseconds(duration: int) -> str:
    """A duration in ns as milliseconds on the wire, rounded up to whole microseconds."""
    return f"{-(-duration // MICRO) / MICROS_PER_MILLI:.3f}"


def _nanoseconds(text: str) -> int | None:
    """Milliseconds on the wire, rounded to whole microseconds, as ns; None if absent."""
    return None if text == ABSENT else round(float(text) * MICROS_PER_MILLI) * MICRO


def _integer(text: str, *, absent: int = 0) -> int:
    return absent if text == ABSENT else int(text)


def _flag(text: str) -> bool:
    if text not in FLAGS:
        raise WireFormatError(f"{text!r} is no bool")
    return FLAGS[text]


def _report(text: str) -> interface.HostLoadReport | None:
    if text in (ABSENT, ""):
        return None
    pairs = dict(pair.split(":", 1) for pair in text.split(","))

    def figure(name: str) -> float | None:
        return float(pairs[name]) if pairs.get(name, ABSENT) != ABSENT else None

    return interface.HostLoadReport(figure("busy_reqs"), figure("pending"), figure("cpu_share"), figure("x0"))
