"""Encodes and decodes the lines of JSON of the hosts' protocol; its field names are used here alone.

Each attempt, load order and probe has an id, which the reply repeats. The id of an attempt is the client's id
of the request, so a retry has the same one.
"""

import binascii

import msgspec

from gaproute.core.in_flight import AttemptResult
from gaproute.hosts.load_figures import bounded_count, parse_figure
from gaproute.interface import HostLoadReport, InstanceStatus, Result
from gaproute.interface.call import Answer, Call
from gaproute.settings import read_report
from gaproute.units import MILLI

OK_STATUS = 200  # status of answers: this protocol has none
RESULTS = {
    "served": Result.OK,
    "not_here": Result.NOT_LOADED,
    "overload": Result.FULL,
    "crashed": Result.ERROR,
    "nobody": Result.NOT_SENT,
}
FOUND = {
    "w": InstanceStatus.WARM,
    "c": InstanceStatus.BEGAN_LOAD,
    "j": InstanceStatus.AWAITED_LOAD,
    "f": InstanceStatus.LOAD_FAILED,
}
READY, NOT_READY = "green", "red"

Meta = dict[str, str | int | float]


class Reply(msgspec.Struct):
    """A line that a host sends; the field names are those on the wire."""

    type: str
    req: str | int | float
    meta: Meta = {}
    data: str | None = None


decode_reply = msgspec.json.Decoder(Reply).decode
_encode_json = msgspec.json.encode


def _line(command: dict[str, object]) -> bytes:
    return _encode_json(command) + b"\n"


def encode_attempt(call: Call, left: int) -> bytes:
    """The line of an attempt; `left`: how long the gateway will wait, ns."""
    meta: Meta = {"cls": call.request_class, "item": call.model, "limit": max(1, left // MILLI)}
    if call.idempotency_key:
        meta["nonce"] = call.idempotency_key
    return _line({"type": "go", "req": call.request_id, "meta": meta, "data": call.body.decode("ascii")})


def encode_cancel(request_id: str) -> bytes:
    """The line that cancels a request, as nobody waits for it any more."""
    return _line({"type": "halt", "req": request_id})


def encode_probe(tag: str) -> bytes:
    """The line of a probe; `tag`: its id."""
    return _line({"type": "stat", "req": tag})


def encode_load_order(tag: str, function: str, copies: int) -> bytes:
    """The line of an order to have `copies` instances of a function loaded; `tag`: its id."""
    return _line({"type": "stage", "req": tag, "meta": {"item": function, "copies": copies}})


def decode_attempt(reply: Reply, *, with_count: bool) -> AttemptResult | None:
    """What the reply to an attempt proves; None where it is no such reply.

    `with_count`: whether hosts report how many requests of the same function they have in flight.
    """
    result = RESULTS.get(reply.type)
    if result is None:
        return None
    answer = None
    if result is Result.OK:
        body = _decode_body(reply.data)
        if body is None:
            return AttemptResult(Result.ERROR, None)  # it ran, but its answer is lost
        answer = Answer(OK_STATUS, (), body)
    count = None
    if with_count and result in (Result.OK, Result.FULL):
        count = bounded_count(parse_figure(reply.meta.get("queue_fn"))) or 0
    found = FOUND.get(reply.meta.get("tell"), InstanceStatus.UNKNOWN)  # type: ignore[arg-type]
    return AttemptResult(result, answer, found, count, decode_load_report(reply.meta))


def _decode_body(data: str | None) -> bytes | None:
    """The body, still in base64, in which an empty body is ""; None where it is missing or malformed."""
    if data is None:
        return None
    try:
        body = data.encode("ascii")
        binascii.a2b_base64(body, strict_mode=True)
    except (UnicodeEncodeError, binascii.Error):
        return None
    return body


def decode_health(reply: Reply) -> tuple[bool, HostLoadReport | None] | None:
    """(ready, load report) of the reply to a probe; None where it is no such reply."""
    if reply.type not in (READY, NOT_READY):
        return None
    return reply.type == READY, decode_load_report(reply.meta)


def decode_load_order(reply: Reply) -> tuple[Result, int] | None:
    """(result, instances that are loaded) of the reply to a load order; None where it is no such reply."""
    result = RESULTS.get(reply.type)
    return None if result is None else (result, bounded_count(parse_figure(reply.meta.get("copies"))) or 0)


def decode_load_report(meta: Meta) -> HostLoadReport | None:
    """A load report such as `inflight:7;util:0.61`; a figure that cannot be decoded counts as missing."""
    text = meta.get("meter")
    if not isinstance(text, str):
        return None
    figures = {}
    for pair in text.split(";"):
        name, _, value = pair.partition(":")
        figure = parse_figure(value)
        if figure is not None:
            figures[name] = figure
    known: HostLoadReport | None = read_report(figures)
    return known
