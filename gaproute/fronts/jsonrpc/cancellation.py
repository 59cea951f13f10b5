"""Cancellations: the notification `abort`, which names a request by its number or by the client's id."""

from collections.abc import Container
from typing import NamedTuple

import msgspec

from gaproute.fronts.jsonrpc.errors import FramingError, ProtocolError
from gaproute.fronts.jsonrpc.framing import MessageReader
from gaproute.fronts.jsonrpc.requests import UNDECODABLE, decode_any, decode_message

METHOD = "abort"
METHOD_BYTES = METHOD.encode()  # a body without these bytes is no cancellation and need not be decoded for it
PING_METHOD = "ping"

RequestName = int | str  # the number of a request, or the client's id of it


class _Pending(NamedTuple):
    """A message that has not been cancelled so far, and the names by which a cancellation may refer to it."""

    body: bytes
    names: tuple[RequestName | None, ...]


def cancelled_request(params: msgspec.Raw | bytes) -> RequestName | None:
    """The request that the parameters of a cancellation name; None where they name none."""
    try:
        fields = decode_any(params)
    except UNDECODABLE:
        return None
    if not isinstance(fields, dict):
        return None
    name = fields.get("id", fields.get("i"))
    return name if isinstance(name, (int, str)) and not isinstance(name, bool) else None


def cancelled_in(reader: MessageReader, data: bytes) -> list[RequestName]:
    """The requests that the cancellations in these bytes name. `reader`: a copy, which is changed."""
    if METHOD_BYTES not in reader.buffer + data:
        return []
    try:
        bodies = reader.feed(data)
    except FramingError as error:
        bodies = error.bodies
    names = [_cancelled_by(body) for body in bodies if METHOD_BYTES in body]
    return [name for name in names if name is not None]


def _cancelled_by(body: bytes) -> RequestName | None:
    """The request that the body names if it is a cancellation; else None."""
    try:
        message = decode_message(body)
    except ProtocolError:
        return None
    return cancelled_request(message.params) if message.method == METHOD else None


def drop_cancelled(bodies: list[bytes], *open_requests: Container[RequestName]) -> list[bytes]:
    """Drops requests that a later cancellation in the same bytes names, and those cancellations.

    So no attempt begins for such a request. A cancellation that names one of `open_requests` stays.
    """
    if not any([METHOD_BYTES in body for body in bodies[1:]]):
        return bodies
    pending: list[_Pending] = []
    for body in bodies:
        cancelled = _cancelled_by(body)
        if cancelled is not None and not any([cancelled in each for each in open_requests]):
            place = next((place for place, each in enumerate(pending) if cancelled in each.names), None)
            if place is not None:
                del pending[place]
                continue
        pending.append(_Pending(body, _request_names(body)))
    return [each.body for each in pending]


def _request_names(body: bytes) -> tuple[RequestName | None, ...]:
    """The number and the client's id of the request in the body; empty for any other message."""
    try:
        message = decode_message(body)
    except ProtocolError:
        return ()
    if message.method in (METHOD, PING_METHOD) or message.number is None:
        return ()
    return message.number, cancelled_request(message.params)
