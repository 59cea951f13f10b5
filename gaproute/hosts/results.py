"""What each end of an attempt proves. That nothing runs twice rests on this table alone.

| what was seen | result | proves |
| --- | --- | --- |
| no connection: refused, no route, time-out | CONNECT_FAILED | never ran |
| no descriptor, memory or port here; it may no longer begin | NOT_SENT | never ran, no fault of the host |
| not one byte of the request accepted by the kernel | CONNECT_FAILED | never ran |
| full answer 429 | FULL | never ran |
| full answer 404: no such model, or not ready | NOT_LOADED | never ran |
| full answer 2xx | OK | ran |
| full answer 4xx, others but 408 and 425: what the client sent is at fault | OK, passed on | ran |
| full answer 5xx, 408, 425, 3xx | ERROR | may have run |
| any byte sent, then reset, close, half an answer, nonsense | RESET | may have run |
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from gaproute.interface import Result
from gaproute.loop.faults import LOCAL_ADDRESS_ERRNOS, SHORTAGE_ERRNOS

if TYPE_CHECKING:  # the platform process loads no HTTP
    from gaproute.http1 import NoResponseError

LOCAL_ERRNOS = SHORTAGE_ERRNOS | LOCAL_ADDRESS_ERRNOS  # errors of this machine, which say nothing of the host
AMBIGUOUS_STATUSES = (408, 425)  # time-out at the host, too early: neither says whether the request ran


def result_of_status(status: int) -> Result:
    """What a full answer of that HTTP status proves."""
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
    """What the end of its connection proves for a request.

    `started`: whether the kernel took any byte of it; `malformed`: the host answered on the connection with
    what cannot be read.
    """
    if not started and isinstance(error, OSError) and error.errno in LOCAL_ERRNOS:
        return Result.NOT_SENT
    if started and malformed:
        return Result.ERROR
    return result_without_answer(started=started)


def result_of_failed_exchange(failure: NoResponseError) -> Result:
    """As `of_ended_connection`, of an HTTP request for which no full answer came."""
    return result_of_ended_connection(failure.error, started=failure.any_byte_sent)


def result_without_answer(*, started: bool) -> Result:
    """What it proves that no full answer came."""
    return Result.RESET if started else Result.CONNECT_FAILED
