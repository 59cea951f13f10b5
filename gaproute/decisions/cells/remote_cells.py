"""A request's path into a cell that this gateway knows by its entry gateways alone.

The entry decides within the cell, with the retries that its rules allow, so little is left to do here:
another entry where one cannot be reached or does not know the cell (NOT_LOADED); a rejection (FULL) means
that the cell rejected it, and the caller goes on to the next cell.

What may have run is not repeated unless it is idempotent, or deduplicated by key among all hosts and sure to
be dropped: then it goes to one more entry of the cell where the connection to the first broke off. The first
entry, and one that it forwarded the request to, may still be sending it to hosts; so its whole time must lie
within the window of the first sending, whoever sends it. Groups of a zone or a rack are left out: a cell has
several racks, and tables that differ may have it in two zones.
"""

from gaproute.decisions.cells.actions import Actions, wakeup_of
from gaproute.decisions.cells.entries import (
    MAX_HOPS,
    CellUnknown,
    EntrySelector,
    ForwardAttempt,
    Forwarded,
)
from gaproute.decisions.cells.health import CellHealth
from gaproute.decisions.cells.local_cells import LocalCells
from gaproute.decisions.cells.request_progress import RequestProgress
from gaproute.decisions.cells.table import Cell
from gaproute.decisions.routing.request_router import ANSWER_BY
from gaproute.interface import Cancel, Group, Idempotency, Outcome, Reject, RejectReason, Result, Wait

MILLI, SECOND = 1_000_000, 1_000_000_000

MAX_ENTRIES_TRIED = 2  # of one cell, for one request
TRANSIT = (
    100 * MILLI
)  # between two gateways: by so much an entry's deadline may be later than the one that was sent to it


class RemoteCells:
    """Serves requests by way of entry gateways.

    `local` knows when every request must have its answer as the process ends. `cancel_allowed`: attempts
    that nobody waits for may be cancelled.
    """

    def __init__(
        self, entries: EntrySelector, health: CellHealth, local: LocalCells, *, cancel_allowed: bool
    ) -> None:
        self.entries, self.health, self.local = entries, health, local
        self.cancel_allowed = cancel_allowed

    def serve(self, progress: RequestProgress, cell: Cell) -> Actions[None]:
        """Yields actions as `routing.Gateway.serve` does; ends without a final answer where one was given."""
        if progress.hops >= MAX_HOPS:
            yield CellUnknown(progress.retry_after, RejectReason.CELL_UNKNOWN)
            return
        tried: set[str] = set()
        while len(tried) < MAX_ENTRIES_TRIED and progress.now < self._answer_by(progress):
            entry = self.entries.pick(progress.now, cell, tried)
            if entry is None:
                break
            tried.add(entry.name)
            forwarded = Forwarded(cell.name, progress.hops + 1)
            number = yield ForwardAttempt(entry, self._answer_by(progress), forwarded)
            assert isinstance(number, int)
            outcome = yield from self._await_outcome(progress, number, cell)
            if outcome is None:
                return
            if outcome.result is Result.FULL:
                yield progress.final_answer(RejectReason.CELL_FULL)
                return
            if self.health.is_faulty(cell.name) or not _may_repeat(progress, outcome.result):
                break
        yield from self._give_up(progress, cell)

    def _give_up(self, progress: RequestProgress, cell: Cell) -> Actions[None]:
        """The final answer where no entry can be asked any more."""
        if self.entries.none_available(progress.now, cell):
            self.health.record_unreachable(progress.now, cell.name)
        answer = progress.final_answer(RejectReason.CELL_UNREACHABLE)
        if isinstance(answer, Reject) and not (progress.may_have_run or progress.in_flight):
            answer = CellUnknown(*answer)
        yield answer

    def _answer_by(self, progress: RequestProgress) -> int:
        """When the request must have its answer here, before its deadline and the process's end."""
        end: int = min(progress.deadline, self.local.end_by)
        return end - ANSWER_BY

    def _await_outcome(self, progress: RequestProgress, number: int, cell: Cell) -> Actions[Outcome | None]:
        """The outcome of the attempt, or None where the request is over.

        An idempotent request that waits for a cell with a fault found meanwhile is cancelled, to go on
        elsewhere, unless the cell is only slow: it has waited there for a part of the answer's time.
        """
        cancelled = False
        while True:
            answer_by = self._answer_by(progress)
            resumed = yield Wait(answer_by if progress.now < answer_by else progress.now + SECOND)
            now, outcome = wakeup_of(resumed)
            if outcome is not None and outcome.result is Result.STREAM_STARTED:
                yield from _await_end(now, outcome)
                return None
            if outcome is not None and outcome.ended:
                if number in progress.in_flight and self.cancel_allowed:
                    yield Cancel(number)
                return None
            if outcome is not None:
                return outcome
            too_late = now >= self._answer_by(progress)
            given_up = too_late or self._is_lost(cell) and progress.is_idempotent
            if given_up and self.cancel_allowed and not cancelled:
                cancelled = True
                yield Cancel(number)
            if too_late:
                yield progress.final_answer(RejectReason.NO_TIME_LEFT)
                return None

    def _is_lost(self, cell: Cell) -> bool:
        """Whether no answer is to be expected from the cell."""
        return self.health.is_faulty(cell.name) and not self.health.is_only_slow(cell.name)


def _may_repeat(progress: RequestProgress, result: Result) -> bool:
    """Whether the request may go to another entry of the cell after this result."""
    if not progress.may_have_run or progress.is_idempotent:
        return True
    request_class = progress.request_class
    has_key = request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
    if not (has_key and request_class.group is Group.ALL and result is Result.RESET):
        return False
    assert progress.first_sent_at is not None  # something was sent, as it may have run
    forgotten_at: int = progress.first_sent_at + request_class.repeat_window
    return progress.deadline + TRANSIT <= forgotten_at


def _await_end(now: int, outcome: Outcome | None) -> Actions[None]:
    """A stream that has begun has no deadline here."""
    while outcome is None or not outcome.ended:
        resumed = yield Wait(now + SECOND)
        now, outcome = wakeup_of(resumed)
