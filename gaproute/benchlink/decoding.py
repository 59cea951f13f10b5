"""Converts fields of the simulator's lines to types of the decisions, which never see values of the wire.

Every public decoder raises `WireFormatError` for a value that cannot be decoded, so that the value is not
mistaken for an error of the decisions.
"""

import json
from collections.abc import Callable
from functools import wraps
from typing import TypeVar, cast

from gaproute import interface, settings
from gaproute.benchlink.lines import (
    ABSENT,
    AttemptEnded,
    HostListRow,
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
OK_RESULT = "0"
# Results with which a host reports its number of requests of the same function, if hosts report it at all.
RESULTS_WITH_REQUEST_COUNT = (interface.Result.OK, interface.Result.FULL)
FLAGS = {"0": False, "1": True, ABSENT: False}
# The remark of an outcome has two parts: its lower bits are the state in which the attempt found the instance
# (`interface.InstanceStatus`), and the other bits are the number of requests of the same function at the
# host.
FOUND_BITS = 3
MAX_FOUND = 4

Decode = TypeVar("Decode", bound=Callable[..., object])


def decoder(decode: Decode) -> Decode:
    """Decorates a decoder to raise a `WireFormatError` for any error that a value causes."""

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
    """Returns the time (ns) of a batch."""
    return _parse_duration(text) or 0


@decoder
def decode_integer(text: str) -> int:
    """Returns an integer; 0 if it is absent."""
    return _parse_integer(text)


@decoder
def decode_routing_settings(text: str) -> interface.RoutingSettings:
    """Converts the settings of an instance to the settings of the routing decisions."""
    return settings.read_routing_settings(json.loads(text))


@decoder
def decode_host(row: HostListRow) -> interface.ListedHost:
    """Converts a row of a host list."""
    if row.state not in STATES:
        raise WireFormatError(f"host {row.host} has the unknown state {row.state!r}")
    return interface.ListedHost(
        row.host,
        _parse_integer(row.zone),
        _parse_integer(row.cell),
        STATES[row.state],
        1.0 if row.capacity == ABSENT else float(row.capacity),
        _parse_duration(row.started) or None,
    )


@decoder
def decode_request(line: RequestReceived) -> interface.Request:
    """Converts a client's request."""
    return interface.Request(
        line.id,
        _parse_integer(line.tenant),
        _parse_duration(line.time_left) or 0,
        line.function,
        max(1, _parse_integer(line.lanes, absent=1)),
        _parse_duration(line.load_time),
        _parse_integer(line.request_class),
    )


@decoder
def decode_outcome(
    line: AttemptEnded, results_with_request_count: tuple[interface.Result, ...]
) -> interface.Outcome | None:
    """Converts the outcome of an attempt; returns None if its result is unknown.

    `results_with_request_count`: the results whose remark has the number of requests of the same function at
    the host.
    """
    result = RESULTS.get(line.result)
    if result is None:
        return None
    remark = _parse_integer(line.remark)
    found = remark & ((1 << FOUND_BITS) - 1)
    return interface.Outcome(
        line.request,
        _parse_integer(line.attempt),
        line.host,
        result,
        _parse_duration(line.elapsed) or 0,
        _parse_flag(line.ended),
        interface.InstanceStatus(found if found <= MAX_FOUND else 0),
        remark >> FOUND_BITS if result in results_with_request_count else None,
        _parse_report(line.report),
    )


@decoder
def decode_stream_start(line: StreamStarted) -> interface.Outcome:
    """Converts the start of a streamed answer to an outcome."""
    return interface.Outcome(
        line.request,
        _parse_integer(line.attempt),
        line.host,
        interface.Result.STREAM_STARTED,
        _parse_duration(line.elapsed) or 0,
        False,
        interface.InstanceStatus.UNKNOWN,
        None,
        None,
    )


@decoder
def decode_probe_report(line: ProbeAnswered) -> interface.HostLoadReport | None:
    """Converts the load report in the answer to a health check."""
    return _parse_report(line.report)


@decoder
def decode_payload(line: PeerMessage) -> bytes:
    """Converts the payload of a message of another instance."""
    return bytes.fromhex(line.payload)


def encode_milliseconds(duration: int) -> str:
    """Converts a duration (ns) to milliseconds on the wire, rounded up to whole microseconds."""
    return f"{-(-duration // MICRO) / MICROS_PER_MILLI:.3f}"


def _parse_duration(text: str) -> int | None:
    """Converts milliseconds on the wire, rounded to whole microseconds, to ns; None if absent."""
    return None if text == ABSENT else round(float(text) * MICROS_PER_MILLI) * MICRO


def _parse_integer(text: str, *, absent: int = 0) -> int:
    return absent if text == ABSENT else int(text)


def _parse_flag(text: str) -> bool:
    if text not in FLAGS:
        raise WireFormatError(f"flag has the value {text!r}, expected 0, 1 or -")
    return FLAGS[text]


def _parse_report(text: str) -> interface.HostLoadReport | None:
    if text in (ABSENT, ""):
        return None
    pairs = dict(pair.split(":", 1) for pair in text.split(","))

    def figure(name: str) -> float | None:
        return float(pairs[name]) if pairs.get(name, ABSENT) != ABSENT else None

    return interface.HostLoadReport(figure("busy_reqs"), figure("pending"), figure("cpu_share"), figure("x0"))
