"""A task's way into a cell that this gateway knows by its entry gateways alone.

The entry decides within the cell, with the retries that its rules allow, so little is left to do here:
another entry where one cannot be reached or does not know the cell (MISS); a refusal (FULL) means that the
cell refused, and the caller goes on to the next cell.

What may have run is not repeated unless it is pure, or deduplicated among all hosts and sure to be dropped:
then it goes to one more entry of the cell where the connection to the first broke off. The first entry, and
one that it forwarded the call to, may still be sending it to hosts; so its whole time must lie within the
window of the first sending, whoever sends it. Groups of a zone or a rack are left out: a cell has several
racks, and tables that differ may have it in two zones.
"""

from gaproute.decisions.cells.entries import MAX_HOPS, CellUnknown, ForwardAttempt, Forwarded
from gaproute.decisions.routing.task import ANSWER_BY
from gaproute.interface import Cancel, Group, Idempotency, Result, Wait

ENTRIES_TRIED = 2  # of one cell, for one task

MILLI, SECOND = 1_000_000, 1_000_000_000
TRANSIT = 100 * MILLI  # between two gateways: by so much an entry's end may be later than the one it was told


def serve_remote(journey, cell, entries, health, cancel_allowed, end_by=lambda: None):
    """Yields wishes as `route.Gateway.serve` does; ends without a final wish when the task is over.

    `end_by()`: when every task must have its answer as the process ends, None while it does not.
    """

    def end():
        stop = end_by()
        return (journey.end if stop is None else min(journey.end, stop)) - ANSWER_BY

    tried = set()
    if journey.hops >= MAX_HOPS:
        yield CellUnknown(journey.advice, "cell not known")
        return
    while len(tried) < ENTRIES_TRIED and journey.now < end():
        entry = entries.pick(journey.now, cell, tried)
        if entry is None:
            break
        tried.add(entry.name)
        relay = yield ForwardAttempt(entry, end(), Forwarded(cell.name, journey.hops + 1))
        outcome = yield from _await(journey, relay, end, cell, health, cancel_allowed)
        if outcome is None:
            return
        if outcome.result is Result.FULL:
            yield journey.ending("refused")
            return
        if health.is_faulty(cell.name) or not _may_repeat(journey, outcome.result):
            break
    if entries.none_available(journey.now, cell):
        health.record_unreachable(journey.now, cell.name)
    ending = journey.ending("unreachable")
    yield ending if journey.may_have_run or journey.out else CellUnknown(*ending)


def _may_repeat(journey, result):
    """Whether the task may go to another entry of the cell after this result."""
    track = journey.track
    if not journey.may_have_run or track.idempotency is Idempotency.IDEMPOTENT:
        return True
    dropped = track.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and track.group is Group.ALL
    forgotten = journey.first_sent + track.repeat_window
    return dropped and result is Result.RESET and journey.end + TRANSIT <= forgotten


def _await(journey, relay, end, cell, health, cancel_allowed):
    """The relay's outcome, or None where the task is over.

    A pure task that waits for a cell found ill meanwhile is taken back, to go on elsewhere, unless the cell
    is slow alone: it has waited there for a part of the answer's time.
    """
    cancelled = False
    while True:
        now, outcome = yield Wait(end() if journey.now < end() else journey.now + SECOND)
        if outcome is not None and outcome.result is Result.STREAM_STARTED:
            yield from _await_end(now, outcome)
            return None
        if outcome is not None and outcome.ended:
            if relay in journey.out and cancel_allowed:
                yield Cancel(relay)
            return None
        if outcome is not None:
            return outcome
        given_up = (
            now >= end() or _is_lost(cell, health) and journey.track.idempotency is Idempotency.IDEMPOTENT
        )
        if given_up and cancel_allowed and not cancelled:
            cancelled = True
            yield Cancel(relay)
        if now >= end():
            yield journey.ending("late")
            return None


def _is_lost(cell, health):
    """Whether no answer is to be awaited from the cell."""
    return health.is_faulty(cell.name) and not health.is_only_slow(cell.name)


def _await_end(now, outcome):
    """A stream that has begun has no deadline here."""
    while outcome is None or not outcome.ended:
        now, outcome = yield Wait(now + SECOND)
