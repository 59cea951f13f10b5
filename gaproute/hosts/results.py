"""What each end of a relay proves. Rule 2 rests on this table; it stands here and nowhere else.

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
| any byte handed over, then reset, close, half an answer, nonsense | RESET | may have run |
"""

from gaproute.interface import Result
from gaproute.loop.faults import NO_OWN_ADDRESS, SHORTAGES

AMBIGUOUS_STATUSES = (408, 425)  # time-out at the host, too early: neither says what became of the task


def of_status(status):
    if status == 429:
        return Result.FULL
    if status == 404:
        return Result.NOT_LOADED
    if 200 <= status < 300 or 400 <= status < 500 and status not in AMBIGUOUS_STATUSES:
        return Result.OK
    return Result.ERROR


def of_ended_connection(begun, error, spoilt):
    """What the end of its connection proves for a request. `begun`: whether the kernel took any byte of it;
    `spoilt`: the host answered on it, with what cannot be read."""
    if not begun and isinstance(error, OSError) and error.errno in SHORTAGES | NO_OWN_ADDRESS:
        return Result.NOT_SENT
    return Result.ERROR if begun and spoilt else of_unanswered(begun)


def of_undelivered(undelivered):
    """As `of_ended_connection`, of a request for which no full answer came."""
    return of_ended_connection(undelivered.handed, undelivered.error, False)


def of_unanswered(handed):
    """No full answer came; `handed` is whether the kernel took any byte of the request."""
    return Result.RESET if handed else Result.CONNECT_FAILED
