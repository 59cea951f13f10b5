"""Routes a request through the cells of a fleet, from its acceptance to its one final answer.

Invariants: a request has attempts in one cell at a time, and is sent to each cell at most once; no request is
forwarded more than `MAX_HOPS` times.
"""

from collections.abc import Iterator
from itertools import islice

from gaproute.decisions.cells.actions import Actions, FinalAction, Resumption, Wakeup, wakeup_of
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

MAX_CELLS_TRIED = 3  # for one request: a fourth cell would probably reject what three cells rejected
# An attempt is overdue after this many mean durations of its function, plus this many load times
OVERDUE_MEAN_DURATIONS = 4
OVERDUE_LOAD_TIMES = 2
DEFAULT_LOAD_TIME = SECOND  # of a request that does not state its load time

# Reasons other than load for which a cell rejects a request
UNAVAILABLE_REASONS = (
    RejectReason.NO_HOST_AVAILABLE,
    RejectReason.CELL_UNREACHABLE,
    RejectReason.NO_ACTIVE_HOST,
)
# Reasons of the gateway of a known cell that count as a rejection by the whole cell
FULL_REASONS = (RejectReason.NO_HOST_AVAILABLE, RejectReason.HOST_FULL)


class CellRouter:
    """Routes requests. Each step of a request uses the table that is current at that time.

    `selector` chooses the cells for requests from clients of this gateway.
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
        """Yields the actions for one request, from its acceptance to its one final answer."""
        answer: FinalAction | None = self._answer_without_cell(progress, forwarded)
        for choice in self._cell_choices(progress, forwarded):
            answer = yield from self._serve_in_cell(progress, choice)
            if answer is None or isinstance(answer, Fail):
                break
            if not progress.may_leave_cell() or not self._permits_next_cell(answer):
                break
        if answer is not None:
            yield answer

    def _answer_without_cell(self, progress: RequestProgress, forwarded: Forwarded | None) -> Reject:
        """The final answer if there is no cell to which the request may be sent."""
        if forwarded is not None and forwarded.cell not in self.table.by_name:
            return CellUnknown(progress.retry_after, RejectReason.CELL_UNKNOWN)
        return Reject(progress.retry_after, RejectReason.NO_CELL_AVAILABLE)

    def _cell_choices(self, progress: RequestProgress, forwarded: Forwarded | None) -> Iterator[CellChoice]:
        """Yields the cells to try for a request; the first gateway chose the cell of a forwarded request."""
        function = progress.request.function
        if forwarded is not None:
            yield from self._forwarded_choice(progress, forwarded.cell)
            return
        self.demand.record_arrival(progress.now, function)
        self.spill.record_arrival()
        choices = self.selector.choices(progress.now, function, may_repeat=progress.is_idempotent)
        for choice in islice(choices, MAX_CELLS_TRIED):
            if choice.cell in self.table.by_name:  # a newer table may have arrived since the cell was chosen
                self.view.record_request(progress.now, choice.cell)
                yield choice

    def _forwarded_choice(self, progress: RequestProgress, name: str) -> Iterator[CellChoice]:
        """Yields the cell that a forwarded request names, unless it is a known cell with a fault."""
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
        """Whether a rejected request may go to another cell.

        After a rejection for load, this takes a token of the spill budget, which bounds the share of such
        moves.
        """
        return answer.reason in UNAVAILABLE_REASONS or self.spill.try_spend()

    def _serve_in_cell(self, progress: RequestProgress, choice: CellChoice) -> Actions[FinalAction | None]:
        """Serves the request in one cell; returns its final answer, or None if that was yielded already."""
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
    ) -> Actions[FinalAction | None]:
        """Yields the actions that serve the request in a cell, and tracks its attempts."""
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
        """Waits, and records the attempts that became overdue meanwhile."""
        resumed = yield Wait(min(action.until, progress.next_overdue_check()))
        wakeup = wakeup_of(resumed)
        progress.now = wakeup.now
        if wakeup.outcome is not None:
            progress.record_outcome(wakeup.outcome)
        for attempt in progress.newly_overdue():
            self.recorder.record_overdue(progress.now, attempt)
        return wakeup

    def _overdue_time(self, progress: RequestProgress) -> int:
        """The time at which an attempt that is sent now becomes overdue, ns."""
        load_time = progress.request.load_time or DEFAULT_LOAD_TIME
        mean = self.demand.mean_duration(progress.request.function)
        return progress.now + int(OVERDUE_MEAN_DURATIONS * mean) + OVERDUE_LOAD_TIMES * load_time
