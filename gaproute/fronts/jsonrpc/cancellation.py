"""Cancellations: the notification `abort`, which names a request by its number or by the client's id."""

from collections.abc import Container
from typing import NamedTuple

import msgspec

from gaproute.fronts.jsonrpc.errors import FramingError, ProtocolError
from gaproute.fronts.jsonrpc.framing import MessageReader
from gaproute.fronts.jsonrpc.requests import DECODE_ERRORS, decode_json, decode_message

CANCEL_METHOD = "abort"
# A body without these bytes is no cancellation and need not be decoded to find one
CANCEL_METHOD_BYTES = CANCEL_METHOD.encode()
PING_METHOD = "ping"

RequestReference = int | str  # the number of a request, or the client's id of it


class _PendingMessage(NamedTuple):
    """A message that has not been cancelled so far, and the names by which a cancellation may refer to it."""

    body: bytes
    references: tuple[RequestReference | None, ...]


def decode_cancellation_params(params: msgspec.Raw | bytes) -> RequestReference | None:
    """The request that the parameters of a cancellation name; None where they name none."""
    try:
        fields = decode_json(params)
    except DECODE_ERRORS:
        return None
    if not isinstance(fields, dict):
        return None
    reference = fields.get("id", fields.get("i"))
    return reference if isinstance(reference, (int, str)) and not isinstance(reference, bool) else None


def find_cancelled_requests(reader: MessageReader, data: bytes) -> list[RequestReference]:
    """The requests that the cancellations in these bytes name. `reader`: a copy, which is changed."""
    if CANCEL_METHOD_BYTES not in reader.buffer + data:
        return []
    try:
        bodies = reader.feed(data)
    except FramingError as error:
        bodies = error.bodies
    references = [_decode_cancellation(body) for body in bodies if CANCEL_METHOD_BYTES in body]
    return [reference for reference in references if reference is not None]


def _decode_cancellation(body: bytes) -> RequestReference | None:
    """The request that the body names if it is a cancellation; else None."""
    try:
        message = decode_message(body)
    except ProtocolError:
        return None
    return decode_cancellation_params(message.params) if message.method == CANCEL_METHOD else None


def drop_cancelled_requests(bodies: list[bytes], *open_requests: Container[RequestReference]) -> list[bytes]:
    """Drops requests that a later cancellation in the same bytes names, and those cancellations.

    So no attempt begins for such a request. A cancellation that names one of `open_requests` stays.
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
    """The number and the client's id of the request in the body; empty for any other message."""
    try:
        message = decode_message(body)
    except ProtocolError:
        return ()
    if message.method in (CANCEL_METHOD, PING_METHOD) or message.number is None:
        return ()
    return message.number, decode_cancellation_params(message.params)
