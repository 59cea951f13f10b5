"""Lines of JSON to and from hosts; never touches a socket. The protocol's words stand here and nowhere else.

Relays, orders and probes go out each under an id; an answer carries it back. Ids of relays are the clients'
own, so a second relay of a task bears the same one.
"""

import binascii
import math

import msgspec

from gaproute.core.in_flight import AttemptResult
from gaproute.interface import Found, Result
from gaproute.interface.call import Answer
from gaproute.settings import read_report

MAX_LINE_BYTES = 128 * 1024  # bytes of one answer: a body of 16 KiB in base64 takes 22, and hosts add little
RESULTS = {
    "served": Result.OK,
    "not_here": Result.NOT_LOADED,
    "overload": Result.FULL,
    "crashed": Result.ERROR,
    "nobody": Result.NOT_SENT,
}
NOTES = {"w": Found.WARM, "c": Found.BEGAN_LOAD, "j": Found.AWAITED_LOAD, "f": Found.LOAD_FAILED}


class MalformedLineError(Exception):
    """What came is no line of the protocol: nothing that follows on the connection can be trusted."""


class Reply(msgspec.Struct):
    type: str
    req: str | int | float
    meta: dict[str, str | int | float] = {}
    data: str | None = None


_decode = msgspec.json.Decoder(Reply).decode
_encode = msgspec.json.encode


class LineReader:
    """Bytes in, whole replies out. Holds at most one unfinished line."""

    def __init__(self, limit=MAX_LINE_BYTES):
        self.limit, self.parts, self.held = limit, [], 0

    def feed(self, data):
        """The replies that the bytes completed; those before a spoilt line are in the error's `args[1]`."""
        replies = []
        *whole, rest = data.split(b"\n")
        for line in whole:
            if self.parts:
                line, self.parts, self.held = b"".join((*self.parts, line)), [], 0
            if len(line) > self.limit:
                raise MalformedLineError("a line is too long", replies)
            try:
                replies.append(_decode(line))
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as fault:
                raise MalformedLineError(f"no line of the protocol: {fault}", replies) from None
        if rest:
            self.parts.append(rest)
            self.held += len(rest)
            if self.held > self.limit:
                raise MalformedLineError("a line is too long", replies)
        return replies


# Commands


def encode_attempt(call, left):
    """`left`: how long the gateway will wait, ns."""
    meta = {"cls": call.request_class, "item": call.model, "limit": max(1, left // 1_000_000)}
    if call.idempotency_key:
        meta["nonce"] = call.idempotency_key
    return (
        _encode({"type": "go", "req": call.request_id, "meta": meta, "data": call.body.decode("ascii")})
        + b"\n"
    )


def encode_cancel(mark):
    return _encode({"type": "halt", "req": mark}) + b"\n"


def encode_probe(tag):
    return _encode({"type": "stat", "req": tag}) + b"\n"


def encode_load_order(tag, function, copies):
    return _encode({"type": "stage", "req": tag, "meta": {"item": function, "copies": copies}}) + b"\n"


# Answers


def decode_attempt(reply, counts):
    """What an answer to a relay proves; None where it is no answer to one. `counts`: whether hosts tell how
    many tasks of the same function they held."""
    result = RESULTS.get(reply.type)
    if result is None:
        return None
    answer = None
    if result is Result.OK:
        try:
            data = reply.data.encode("ascii")
            binascii.a2b_base64(data, strict_mode=True)
        except (AttributeError, UnicodeEncodeError, binascii.Error):  # an empty body is "", none is None
            return AttemptResult(Result.ERROR, None)  # it ran, but what it gave is lost
        answer = Answer(200, (), data)
    alike = None
    if counts and result in (Result.OK, Result.FULL):
        alike = int(min(valid_load(reply.meta.get("queue_fn")) or 0, 1 << 20))
    return AttemptResult(
        result,
        answer,
        NOTES.get(reply.meta.get("tell"), Found.UNKNOWN),
        alike,
        decode_load_report(reply.meta),
    )


def decode_health(reply):
    """(good, report) of an answer to a probe; None where it is no answer to one."""
    if reply.type not in ("green", "red"):
        return None
    return reply.type == "green", decode_load_report(reply.meta)


def decode_load_order(reply):
    """(result, copies that stand) of an answer to an order; None where it is no answer to one."""
    result = RESULTS.get(reply.type)
    return None if result is None else (result, int(min(valid_load(reply.meta.get("copies")) or 0, 1 << 20)))


def decode_load_report(meta):
    """A load report such as `inflight:7;util:0.61`; what cannot be read was not told."""
    text = meta.get("meter")
    if not isinstance(text, str):
        return None
    pairs = (pair.partition(":") for pair in text.split(";"))
    figures = {name: valid_load(value) for name, _, value in pairs}
    return read_report({name: value for name, value in figures.items() if value is not None})


def valid_load(value):
    """A finite number that is not negative, sent as a number or as text; else None."""
    try:
        value = float(value)
    except (TypeError, ValueError):
        return None
    return value if math.isfinite(value) and value >= 0 else None
