"""A task's way into a cell that this gateway knows by its entry gateways alone.

The entry decides within the cell, with the retries that its rules allow, so little is left to do here:
another entry where one cannot be reached; a refusal means that the cell refused, and the caller goes on to
the next cell. What may have run is not repeated unless it is pure.
"""

from gaproute.decisions.cells.entries import MAX_HOPS, Forward, Forwarded
from gaproute.decisions.route.task import ANSWER_BY
from gaproute.interface import Cancel, Decline, Effect, Result, Wait

ENTRIES_TRIED = 2  # of one cell, for one task

SECOND = 1_000_000_000


def serve_remote(journey, cell, entries, health, cancel_allowed):
    """Yields wishes as `route.Gateway.serve` does; ends without a final wish when the task is over."""
    end, tried = journey.end - ANSWER_BY, set()
    if journey.hops >= MAX_HOPS:
        yield Decline(0, "the cell is not known here")
        return
    while len(tried) < ENTRIES_TRIED and journey.now < end:
        entry = entries.pick(journey.now, cell, tried)
        if entry is None:
            break
        tried.add(entry.name)
        relay = yield Forward(entry, end, Forwarded(cell.name, journey.hops + 1))
        outcome = yield from _await(journey, relay, end, cell, health, cancel_allowed)
        if outcome is None:
            return
        if outcome.result in (Result.FULL, Result.MISS):
            yield Decline(0, "refused")
            return
        if health.barred(cell.name) or journey.may_have_run and journey.track.effect is not Effect.PURE:
            break
    if entries.all_in_doubt(journey.now, cell):
        health.unreachable(journey.now, cell.name)
    yield journey.ending("unreachable")


def _await(journey, relay, end, cell, health, cancel_allowed):
    """The relay's outcome, or None where the task is over.

    A pure task that waits for a cell found ill meanwhile is taken back, to go on elsewhere.
    """
    cancelled = False
    while True:
        now, outcome = yield Wait(end if journey.now < end else journey.now + SECOND)
        if outcome is not None and outcome.result is Result.BEGUN:
            yield from _await_end(now, outcome)
            return None
        if outcome is not None and outcome.ended:
            if relay in journey.out and cancel_allowed:
                yield Cancel(relay)
            return None
        if outcome is not None:
            return outcome
        given_up = now >= end or health.barred(cell.name) and journey.track.effect is Effect.PURE
        if given_up and cancel_allowed and not cancelled:
            cancelled = True
            yield Cancel(relay)
        if now >= end:
            yield journey.ending("late")
            return None


def _await_end(now, outcome):
    """A stream that has begun has no deadline here."""
    while outcome is None or not outcome.ended:
        now, outcome = yield Wait(now + SECOND)
