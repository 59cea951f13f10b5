"""Cancellations: the notification `abort`, which refers to a request by its number or by the client's id."""

from collections.abc import Container
from typing import NamedTuple

import msgspec

from gaproute.fronts.jsonrpc.errors import FramingError, ProtocolError
from gaproute.fronts.jsonrpc.framing import MessageReader
from gaproute.fronts.jsonrpc.requests import DECODE_ERRORS, decode_json, decode_message

CANCEL_METHOD = "abort"
# Only a body with these bytes can be a cancellation and needs decoding
CANCEL_METHOD_BYTES = CANCEL_METHOD.encode()
PING_METHOD = "ping"

RequestReference = int | str  # a request's number, or the client's id of the request


class _PendingMessage(NamedTuple):
    """A message that is not cancelled so far, and how a later cancellation may refer to it."""

    body: bytes
    references: tuple[RequestReference | None, ...]


def decode_cancellation_params(params: msgspec.Raw | bytes) -> RequestReference | None:
    """Decodes the parameters of a cancellation to the request they refer to; None if they are invalid."""
    try:
        fields = decode_json(params)
    except DECODE_ERRORS:
        return None
    if not isinstance(fields, dict):
        return None
    reference = fields.get("id", fields.get("i"))
    return reference if isinstance(reference, (int, str)) and not isinstance(reference, bool) else None


def find_cancelled_requests(reader: MessageReader, data: bytes) -> list[RequestReference]:
    """The requests that cancellations in these bytes refer to. `reader` is changed: pass a copy."""
    if CANCEL_METHOD_BYTES not in reader.buffer + data:
        return []
    try:
        bodies = reader.feed(data)
    except FramingError as error:
        bodies = error.bodies
    references = [_decode_cancellation(body) for body in bodies if CANCEL_METHOD_BYTES in body]
    return [reference for reference in references if reference is not None]


def _decode_cancellation(body: bytes) -> RequestReference | None:
    """The request that the body cancels; None if the body is no valid cancellation."""
    try:
        message = decode_message(body)
    except ProtocolError:
        return None
    return decode_cancellation_params(message.params) if message.method == CANCEL_METHOD else None


def drop_cancelled_requests(bodies: list[bytes], *open_requests: Container[RequestReference]) -> list[bytes]:
    """Drops each request that a later message of the same read cancels, and the cancellation.

    So no attempt begins for such a request. A cancellation of one of the `open_requests` is kept.
    """
    if not any([CANCEL_METHOD_BYTES in body for body in bodies[1:]]):
        return bodies
    pending: list[_PendingMessage] = []
    for body in bodies:
        cancelled = _decode_cancellation(body)
        if cancelled is not None and not any([cancelled in each for each in open_requests]):
            position = next(
                (position for position, each in enumerate(pending) if cancelled in each.references), None
            )
            if position is not None:
                del pending[position]
                continue
        pending.append(_PendingMessage(body, _request_references(body)))
    return [each.body for each in pending]


def _request_references(body: bytes) -> tuple[RequestReference | None, ...]:
    """The number and the client's id of the request in a body; empty for any other message."""
    try:
        message = decode_message(body)
    except ProtocolError:
        return ()
    if message.method in (CANCEL_METHOD, PING_METHOD) or message.number is None:
        return ()
    return message.number, decode_cancellation_params(message.params)
