"""The path of one request through the cells of a fleet, from acceptance to its one final answer.

Invariants: a request is in one cell at a time and enters each at most once; no request is forwarded more than
`MAX_HOPS` times.
"""

from collections.abc import Iterator
from itertools import islice

from gaproute.decisions.cells.actions import Actions, FinalAnswer, Resumption, Wakeup, wakeup_of
from gaproute.decisions.cells.attempt_recorder import AttemptRecorder, CellAttempt
from gaproute.decisions.cells.choice import CellChoice, CellSelector
from gaproute.decisions.cells.entries import CellUnknown, Forwarded
from gaproute.decisions.cells.faults import CircuitState
from gaproute.decisions.cells.local_cells import LocalCells
from gaproute.decisions.cells.remote_cells import RemoteCells
from gaproute.decisions.cells.request_progress import RequestProgress
from gaproute.decisions.cells.spill import SpillBudget
from gaproute.decisions.cells.table import CellTable
from gaproute.decisions.cells.views import CellView
from gaproute.decisions.routing import Gateway
from gaproute.interface import Attempt, Fail, Reject, RejectReason, Result, Wait
from gaproute.units import SECOND

MAX_CELLS_TRIED = 3  # for one request: what three cells rejected, a fourth would probably reject too
OVERDUE_MEAN_DURATIONS = 4  # mean durations after which an attempt is overdue
OVERDUE_LOAD_TIMES = 2  # load times that are added to them
DEFAULT_LOAD_TIME = SECOND  # where the request has none

# Reasons of a cell for rejecting a request, other than its load.
UNAVAILABLE_REASONS = (
    RejectReason.NO_HOST_AVAILABLE,
    RejectReason.CELL_UNREACHABLE,
    RejectReason.NO_ACTIVE_HOST,
)
# Reasons of a known cell that count as a rejection by the whole cell.
FULL_REASONS = (RejectReason.NO_HOST_AVAILABLE, RejectReason.HOST_FULL)


class CellRouter:
    """Routes requests; each step uses the table that is the newest then.

    `selector` chooses the cells for requests that clients of this gateway sent.
    """

    def __init__(
        self,
        table: CellTable,
        selector: CellSelector,
        view: CellView,
        local: LocalCells,
        remote: RemoteCells,
        recorder: AttemptRecorder,
        spill: SpillBudget,
    ) -> None:
        self.table, self.selector, self.view = table, selector, view
        self.local, self.remote, self.recorder, self.spill = local, remote, recorder, spill
        self.demand, self.health = selector.demand, selector.health

    def serve(self, progress: RequestProgress, forwarded: Forwarded | None) -> Actions[None]:
        """The generator of one request, from acceptance to its one final answer."""
        answer: FinalAnswer | None = self._answer_without_cell(progress, forwarded)
        for choice in self._cell_choices(progress, forwarded):
            answer = yield from self._serve_in_cell(progress, choice)
            if answer is None or isinstance(answer, Fail):
                break
            if not progress.may_leave_cell() or not self._permits_next_cell(answer):
                break
        if answer is not None:
            yield answer

    def _answer_without_cell(self, progress: RequestProgress, forwarded: Forwarded | None) -> Reject:
        """The final answer where there is no cell to which the request may go."""
        if forwarded is not None and forwarded.cell not in self.table.by_name:
            return CellUnknown(progress.retry_after, RejectReason.CELL_UNKNOWN)
        return Reject(progress.retry_after, RejectReason.NO_CELL_AVAILABLE)

    def _cell_choices(self, progress: RequestProgress, forwarded: Forwarded | None) -> Iterator[CellChoice]:
        """The cells for a request, in turn; the cell of a forwarded request was chosen by its first
        gateway.
        """
        function = progress.request.function
        if forwarded is not None:
            yield from self._forwarded_choice(progress, forwarded.cell)
            return
        self.demand.record_arrival(progress.now, function)
        self.spill.record_arrival()
        choices = self.selector.choices(progress.now, function, may_repeat=progress.is_idempotent)
        for choice in islice(choices, MAX_CELLS_TRIED):
            if choice.cell in self.table.by_name:  # a newer table may have come in the meantime
                self.view.record_request(progress.now, choice.cell)
                yield choice

    def _forwarded_choice(self, progress: RequestProgress, name: str) -> Iterator[CellChoice]:
        """The cell that a forwarded request names, unless this gateway knows the cell and found a fault in
        it.
        """
        if name not in self.local.gateways:
            if name in self.table.by_name:
                yield CellChoice(name)
            return
        state = self.health.circuit_state(progress.now, name, progress.request.function)
        if state is CircuitState.CLOSED:
            yield CellChoice(name)
        elif state is CircuitState.HALF_OPEN and (
            progress.is_idempotent or self.health.accepts_any_trial(progress.now, name)
        ):
            yield CellChoice(name, trial=True)

    def _permits_next_cell(self, answer: Reject) -> bool:
        """Whether a rejected request may go to another cell: after a rejection for load only a bounded share
        may.
        """
        return answer.reason in UNAVAILABLE_REASONS or self.spill.try_spend()

    def _serve_in_cell(self, progress: RequestProgress, choice: CellChoice) -> Actions[FinalAnswer | None]:
        """Serves the request in one cell; returns its final answer there, or None if it was given already."""
        name = choice.cell
        if choice.trial:
            self.health.record_trial_sent(progress.now, name)
        gateway = self.local.gateways.get(name)
        if gateway is None:
            actions = self.remote.serve(progress, self.table.by_name[name])
            return (yield from self._run_actions(progress, name, actions, None))
        if not gateway.active_hosts:
            self.health.record_unreachable(progress.now, name)
            return CellUnknown(progress.retry_after, RejectReason.NO_ACTIVE_HOST)
        actions = gateway.serve(progress.now, progress.remaining_request())
        answer = yield from self._run_actions(progress, name, actions, gateway)
        if isinstance(answer, Reject) and answer.reason in FULL_REASONS:
            self.health.record_outcome(progress.now, name, Result.FULL)
        return answer

    def _run_actions(
        self, progress: RequestProgress, name: str, actions: Actions[None], gateway: Gateway | None
    ) -> Actions[FinalAnswer | None]:
        """Passes on the actions of a cell for the request, and tracks its attempts."""
        value: Resumption = None
        while True:
            try:
                action = actions.send(value)
            except StopIteration:
                return None
            value = None
            if isinstance(action, (Reject, Fail)):
                return action
            if isinstance(action, Attempt):
                if progress.attempts >= progress.attempt_limit:
                    actions.close()
                    return progress.final_answer(RejectReason.ATTEMPTS_EXHAUSTED)
                value = yield action
                assert isinstance(value, int)
                self._register_attempt(progress, name, value, action.host, gateway)
            elif isinstance(action, Wait):
                value = yield from self._wait_and_check_overdue(progress, action)
            else:
                yield action

    def _register_attempt(
        self, progress: RequestProgress, name: str, number: int, host: str, gateway: Gateway | None
    ) -> None:
        progress.register_attempt(number, name, host, self._overdue_time(progress))
        request = progress.request
        from_own_client = progress.hops == 0
        attempt = CellAttempt(name, gateway, request.function, progress.now, from_own_client)
        self.recorder.register_attempt(request.id, number, attempt)

    def _wait_and_check_overdue(self, progress: RequestProgress, action: Wait) -> Actions[Wakeup]:
        """Waits, and checks attempts that become overdue."""
        resumed = yield Wait(min(action.until, progress.next_overdue_check()))
        wakeup = wakeup_of(resumed)
        progress.now = wakeup.now
        if wakeup.outcome is not None:
            progress.record_outcome(wakeup.outcome)
        for attempt in progress.newly_overdue():
            self.recorder.record_overdue(progress.now, attempt)
        return wakeup

    def _overdue_time(self, progress: RequestProgress) -> int:
        """When an attempt that is sent now becomes overdue, ns."""
        load_time = progress.request.load_time or DEFAULT_LOAD_TIME
        mean = self.demand.mean_duration(progress.request.function)
        return progress.now + int(OVERDUE_MEAN_DURATIONS * mean) + OVERDUE_LOAD_TIMES * load_time
