"""What the end of an attempt proves. That no request runs twice depends on this table alone.

| observed end | result | proves |
| --- | --- | --- |
| no connection: refused, no route, timeout | CONNECT_FAILED | never ran |
| no descriptor, memory or port on this machine | NOT_SENT | never ran, no fault of the host |
| too late to start, or the client has left | NOT_SENT | never ran, no fault of the host |
| connection ended before the kernel took a byte of the request | CONNECT_FAILED | never ran |
| complete response 429 | FULL | never ran |
| complete response 404: no such model, or model not ready | NOT_LOADED | never ran |
| complete response 2xx | OK | ran |
| complete response with another 4xx, except 408 and 425: an error of the client | OK, passed on | ran |
| complete response 5xx, 408, 425 or 3xx | ERROR | may have run |
| any byte sent, then a reset, a close, an incomplete or a malformed response | RESET | may have run |
| any byte sent, then a malformed line (JSON Lines) | ERROR | may have run |
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from gaproute.interface import Result
from gaproute.loop.faults import LOCAL_ADDRESS_ERRNOS, SHORTAGE_ERRNOS

if TYPE_CHECKING:  # the platform process must not import the HTTP client
    from gaproute.http1 import NoResponseError

LOCAL_ERRNOS = SHORTAGE_ERRNOS | LOCAL_ADDRESS_ERRNOS  # errors of this machine, not of the host
AMBIGUOUS_STATUSES = (408, 425)  # Request Timeout, Too Early: neither says whether the request ran


def result_of_status(status: int) -> Result:
    """The result that a complete response with that HTTP status proves."""
    if status == 429:
        return Result.FULL
    if status == 404:
        return Result.NOT_LOADED
    if 200 <= status < 300 or 400 <= status < 500 and status not in AMBIGUOUS_STATUSES:
        return Result.OK
    return Result.ERROR


def result_of_ended_connection(
    error: BaseException | None, *, started: bool, malformed: bool = False
) -> Result:
    """The result that the end of the connection proves for a request on it.

    `started`: whether the kernel took any byte of the request; `malformed`: whether the connection was closed
    because the host sent data that cannot be decoded.
    """
    if not started and isinstance(error, OSError) and error.errno in LOCAL_ERRNOS:
        return Result.NOT_SENT
    if started and malformed:
        return Result.ERROR
    return result_without_answer(started=started)


def result_of_failed_exchange(failure: NoResponseError) -> Result:
    """The result of an HTTP request that got no complete response."""
    return result_of_ended_connection(failure.error, started=failure.any_byte_sent)


def result_without_answer(*, started: bool) -> Result:
    """The result of a request that got no complete answer."""
    return Result.RESET if started else Result.CONNECT_FAILED
