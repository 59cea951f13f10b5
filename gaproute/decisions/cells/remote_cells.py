"""The path of a request into a cell that this gateway knows by its entry gateways alone.

The entry decides within the cell, with the retries that the rules allow, so little is left to decide here:
another entry is used where one cannot be reached or does not know the cell (NOT_LOADED); a rejection (FULL)
means that the cell rejected the request, and the caller tries the next cell.

A request that may have run is repeated only if it is idempotent, or has an idempotency key that all hosts
share and still remember: then it goes to one more entry of the cell if the connection to the first entry
broke. That entry, or one to which it forwarded the request, may still be sending it to hosts, so the deadline
of the request must lie within the time for which hosts remember a key since it was first sent. A key that
only the hosts of a zone or a rack share is not enough: a cell has several racks, and two tables may have the
cell in different zones.
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
from gaproute.decisions.routing.request_router import ANSWER_MARGIN
from gaproute.interface import (
    Cancel,
    Idempotency,
    IdempotencyScope,
    Outcome,
    Reject,
    RejectReason,
    Result,
    Wait,
)
from gaproute.units import MILLI, SECOND

MAX_ENTRIES_TRIED = 2  # of one cell, for one request
# Of a request between two gateways; by so much the deadline at the entry may be later than at the sender
MAX_TRANSIT_TIME = 100 * MILLI


class RemoteCells:
    """Serves requests by way of entry gateways.

    `local` knows when every request must have its answer as the process ends. `cancel_allowed`: attempts for
    which nobody waits may be cancelled.
    """

    def __init__(
        self, entries: EntrySelector, health: CellHealth, local: LocalCells, *, cancel_allowed: bool
    ) -> None:
        self.entries, self.health, self.local = entries, health, local
        self.cancel_allowed = cancel_allowed

    def serve(self, progress: RequestProgress, cell: Cell) -> Actions[None]:
        """Yields actions as `routing.Gateway.serve` does; ends without a final answer if one was given."""
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
        """The final answer where no further entry can be used."""
        if self.entries.none_available(progress.now, cell):
            self.health.record_unreachable(progress.now, cell.name)
        answer = progress.final_answer(RejectReason.CELL_UNREACHABLE)
        if isinstance(answer, Reject) and not (progress.may_have_run or progress.in_flight):
            answer = CellUnknown(*answer)
        yield answer

    def _answer_by(self, progress: RequestProgress) -> int:
        """When the request must have its answer here: by its deadline and by the end of the process (ns)."""
        end: int = min(progress.deadline, self.local.end_by)
        return end - ANSWER_MARGIN

    def _await_outcome(self, progress: RequestProgress, number: int, cell: Cell) -> Actions[Outcome | None]:
        """The outcome of the attempt, or None if the request is over.

        An idempotent request that waits for a cell in which a fault was found is cancelled, to be sent
        elsewhere, unless the cell is only slow: then it has already waited there for a part of the usual
        time.
        """
        cancelled = False
        while True:
            answer_by = self._answer_by(progress)
            resumed = yield Wait(answer_by if progress.now < answer_by else progress.now + SECOND)
            now, outcome = wakeup_of(resumed)
            if outcome is not None and outcome.result is Result.STREAM_STARTED:
                yield from _await_end(now, outcome)
                return None
            if outcome is not None and outcome.request_ended:
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
        """Whether no answer can be expected from the cell."""
        return self.health.is_faulty(cell.name) and not self.health.is_only_slow(cell.name)


def _may_repeat(progress: RequestProgress, result: Result) -> bool:
    """Whether the request may be sent to another entry of the cell after this result."""
    if not progress.may_have_run or progress.is_idempotent:
        return True
    request_class = progress.request_class
    has_key = request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
    if not (has_key and request_class.idempotency_scope is IdempotencyScope.ALL and result is Result.RESET):
        return False
    assert progress.first_sent_at is not None  # it was sent, as it may have run
    forgotten_at: int = progress.first_sent_at + request_class.deduplication_window
    return progress.deadline + MAX_TRANSIT_TIME <= forgotten_at


def _await_end(now: int, outcome: Outcome | None) -> Actions[None]:
    """Waits for the end of a streamed answer, which has no deadline."""
    while outcome is None or not outcome.request_ended:
        resumed = yield Wait(now + SECOND)
        now, outcome = wakeup_of(resumed)
