"""Serves requests for a cell whose hosts this gateway does not know, through its entry gateways.

The entry chooses the hosts within the cell and makes the allowed retries there, so few decisions are left to
this gateway. It uses another entry if one cannot be reached or does not know the cell (NOT_LOADED). A
rejection (FULL) means that the cell rejected the request: `CellRouter` then tries the next cell.

A request that may have run is repeated only if it is idempotent, or if it has an idempotency key that all
hosts share and still remember. In the second case it is sent to one more entry of the cell if the connection
to the first entry broke. The first entry, or an entry to which it forwarded the request, may still be sending
the request to hosts, so the deadline of the request must lie within the time for which hosts remember a key,
counted from when the request was first sent. A key that only the hosts of a zone or a rack share is not
enough: a cell has several racks, and two tables may have the cell in different zones.
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
# Of a request between two gateways: the deadline at the entry may be later than at the sender by this time
MAX_TRANSIT_TIME = 100 * MILLI


class RemoteCells:
    """Serves requests through entry gateways.

    `local` has the time by which every request must have its answer because the process ends.
    `cancel_allowed`: attempts whose answer is no longer needed may be cancelled.
    """

    def __init__(
        self, entries: EntrySelector, health: CellHealth, local: LocalCells, *, cancel_allowed: bool
    ) -> None:
        self.entries, self.health, self.local = entries, health, local
        self.cancel_allowed = cancel_allowed

    def serve(self, progress: RequestProgress, cell: Cell) -> Actions[None]:
        """Yields actions as `routing.Gateway.serve` does; no final answer if the request is over."""
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
        yield from self._answer_without_entry(progress, cell)

    def _answer_without_entry(self, progress: RequestProgress, cell: Cell) -> Actions[None]:
        """Yields the final answer if no further entry can be used."""
        if self.entries.has_no_usable_entry(progress.now, cell):
            self.health.record_unreachable(progress.now, cell.name)
        answer = progress.final_answer(RejectReason.CELL_UNREACHABLE)
        if isinstance(answer, Reject) and not (progress.may_have_run or progress.in_flight):
            answer = CellUnknown(*answer)
        yield answer

    def _answer_by(self, progress: RequestProgress) -> int:
        """The time by which this gateway must answer: the deadline or the end of the process, ns."""
        end: int = min(progress.deadline, self.local.end_by)
        return end - ANSWER_MARGIN

    def _await_outcome(self, progress: RequestProgress, number: int, cell: Cell) -> Actions[Outcome | None]:
        """Waits for the outcome of the attempt; returns None if the request is over.

        An idempotent request that waits for a cell with a fault is cancelled, to be sent elsewhere. It is not
        cancelled if the cell is only slow: part of the usual duration has then passed already.
        """
        cancelled = False
        while True:
            answer_by = self._answer_by(progress)
            resumed = yield Wait(answer_by if progress.now < answer_by else progress.now + SECOND)
            now, outcome = wakeup_of(resumed)
            if outcome is not None and outcome.result is Result.STREAM_STARTED:
                yield from _await_stream_end(now, outcome)
                return None
            if outcome is not None and outcome.request_ended:
                if number in progress.in_flight and self.cancel_allowed:
                    yield Cancel(number)
                return None
            if outcome is not None:
                return outcome
            too_late = now >= self._answer_by(progress)
            given_up = too_late or self._is_unresponsive(cell) and progress.is_idempotent
            if given_up and self.cancel_allowed and not cancelled:
                cancelled = True
                yield Cancel(number)
            if too_late:
                yield progress.final_answer(RejectReason.NO_TIME_LEFT)
                return None

    def _is_unresponsive(self, cell: Cell) -> bool:
        """Whether the cell has a fault other than slowness, so that no answer can be expected from it."""
        return self.health.is_faulty(cell.name) and not self.health.is_only_slow(cell.name)


def _may_repeat(progress: RequestProgress, result: Result) -> bool:
    """Whether the request may be sent to another entry of the cell after an attempt with this result."""
    if not progress.may_have_run or progress.is_idempotent:
        return True
    request_class = progress.request_class
    has_key = request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
    if not (has_key and request_class.idempotency_scope is IdempotencyScope.ALL and result is Result.RESET):
        return False
    assert progress.first_sent_at is not None  # it was sent, as it may have run
    forgotten_at: int = progress.first_sent_at + request_class.deduplication_window
    return progress.deadline + MAX_TRANSIT_TIME <= forgotten_at


def _await_stream_end(now: int, outcome: Outcome | None) -> Actions[None]:
    """Waits for the end of a streamed answer; a stream has no deadline."""
    while outcome is None or not outcome.request_ended:
        resumed = yield Wait(now + SECOND)
        now, outcome = wakeup_of(resumed)
