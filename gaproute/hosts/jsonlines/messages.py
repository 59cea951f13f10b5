"""Encodes and decodes the lines of the hosts' JSON Lines protocol; only this module uses its field names.

Each attempt, load order and probe has an id, which its reply repeats. The id of an attempt is the client's id
of the request, so a retry has the same id.
"""

import binascii

import msgspec

from gaproute.core.in_flight import AttemptResult
from gaproute.hosts.load_figures import bounded_count, parse_figure
from gaproute.interface import HostLoadReport, InstanceStatus, Result
from gaproute.interface.call import Answer, Call
from gaproute.settings import read_report
from gaproute.units import MILLI

OK_STATUS = 200  # of every answer, as this protocol has no statuses
RESULT_BY_REPLY_TYPE = {
    "served": Result.OK,
    "not_here": Result.NOT_LOADED,
    "overload": Result.FULL,
    "crashed": Result.ERROR,
    "nobody": Result.NOT_SENT,
}
FOUND_BY_CODE = {
    "w": InstanceStatus.WARM,
    "c": InstanceStatus.BEGAN_LOAD,
    "j": InstanceStatus.AWAITED_LOAD,
    "f": InstanceStatus.LOAD_FAILED,
}
READY_TYPE, NOT_READY_TYPE = "green", "red"

Meta = dict[str, str | int | float]


class Reply(msgspec.Struct):
    """A line from a host; the field names are those on the wire."""

    type: str
    req: str | int | float
    meta: Meta = {}
    data: str | None = None


decode_reply = msgspec.json.Decoder(Reply).decode
_encode_json = msgspec.json.encode


def _encode_line(command: dict[str, object]) -> bytes:
    return _encode_json(command) + b"\n"


def encode_attempt(call: Call, time_left: int) -> bytes:
    """Encodes an attempt. `time_left`: ns until the final answer of the request is owed."""
    meta: Meta = {"cls": call.request_class, "item": call.model, "limit": max(1, time_left // MILLI)}
    if call.idempotency_key:
        meta["nonce"] = call.idempotency_key
    return _encode_line(
        {"type": "go", "req": call.request_id, "meta": meta, "data": call.body.decode("ascii")}
    )


def encode_cancel(request_id: str) -> bytes:
    """Encodes the cancellation of a request whose reply nobody waits for any more."""
    return _encode_line({"type": "halt", "req": request_id})


def encode_probe(request_id: str) -> bytes:
    """Encodes a probe."""
    return _encode_line({"type": "stat", "req": request_id})


def encode_load_order(request_id: str, function: str, instance_count: int) -> bytes:
    """Encodes an order to have `instance_count` instances of a function loaded."""
    return _encode_line(
        {"type": "stage", "req": request_id, "meta": {"item": function, "copies": instance_count}}
    )


def decode_attempt_reply(reply: Reply, *, same_function_counted: bool) -> AttemptResult | None:
    """Decodes the reply to an attempt; None where it is the reply to something else.

    `same_function_counted`: whether hosts report how many requests of the same function they have in flight.
    """
    result = RESULT_BY_REPLY_TYPE.get(reply.type)
    if result is None:
        return None
    answer = None
    if result is Result.OK:
        body = _decode_body(reply.data)
        if body is None:
            return AttemptResult(Result.ERROR, None)  # the request ran, but its answer is lost
        answer = Answer(OK_STATUS, (), body)
    same_function_requests = None
    if same_function_counted and result in (Result.OK, Result.FULL):
        same_function_requests = bounded_count(parse_figure(reply.meta.get("queue_fn"))) or 0
    found = FOUND_BY_CODE.get(reply.meta.get("tell"), InstanceStatus.UNKNOWN)  # type: ignore[arg-type]
    return AttemptResult(result, answer, found, same_function_requests, decode_load_report(reply.meta))


def _decode_body(data: str | None) -> bytes | None:
    """The body as base64, where "" is an empty body; None where it is missing or malformed."""
    if data is None:
        return None
    try:
        body = data.encode("ascii")
        binascii.a2b_base64(body, strict_mode=True)
    except (UnicodeEncodeError, binascii.Error):
        return None
    return body


def decode_probe_reply(reply: Reply) -> tuple[bool, HostLoadReport | None] | None:
    """Decodes the reply to a probe: (ready, load report). None where it is the reply to something else."""
    if reply.type not in (READY_TYPE, NOT_READY_TYPE):
        return None
    return reply.type == READY_TYPE, decode_load_report(reply.meta)


def decode_load_order_reply(reply: Reply) -> tuple[Result, int] | None:
    """Decodes the reply to a load order: (result, number of loaded instances).

    None where it is the reply to something else.
    """
    result = RESULT_BY_REPLY_TYPE.get(reply.type)
    return None if result is None else (result, bounded_count(parse_figure(reply.meta.get("copies"))) or 0)


def decode_load_report(meta: Meta) -> HostLoadReport | None:
    """Decodes a load report such as `inflight:7;util:0.61`; a malformed figure counts as not reported."""
    text = meta.get("meter")
    if not isinstance(text, str):
        return None
    figures = {}
    for pair in text.split(";"):
        name, _, value = pair.partition(":")
        figure = parse_figure(value)
        if figure is not None:
            figures[name] = figure
    report: HostLoadReport | None = read_report(figures)
    return report
