"""Records what the outcomes of attempts show about cells and entry gateways: health, demand and load."""

from typing import NamedTuple

from gaproute.decisions.cells.demand import Demand
from gaproute.decisions.cells.entries import EntrySelector
from gaproute.decisions.cells.health import CellHealth
from gaproute.decisions.cells.loads import CellLoads
from gaproute.decisions.cells.local_cells import LocalCells
from gaproute.decisions.cells.request_progress import AttemptInFlight
from gaproute.decisions.cells.table import CellTable
from gaproute.decisions.routing import Gateway
from gaproute.interface import InstanceStatus, Outcome, Result
from gaproute.units import MILLI

# Lower bound of the mean duration by which a duration is divided. Without it, a stall of this gateway would
# make a cell that answers within a few milliseconds look slow.
MIN_MEAN_DURATION = 25 * MILLI


class CellAttempt(NamedTuple):
    """An attempt that has no outcome yet."""

    cell: str
    gateway: Gateway | None  # chose the host, in a cell whose hosts are known; None: sent to an entry gateway
    function: str
    sent_at: int
    from_own_client: bool  # whether the request came from a client of this gateway


class AttemptRecorder:
    """Records the outcomes of attempts; `attempts` are those in flight, by (request id, attempt number)."""

    def __init__(
        self,
        local: LocalCells,
        entries: EntrySelector,
        health: CellHealth,
        demand: Demand,
        loads: CellLoads,
    ) -> None:
        self.local, self.entries, self.health = local, entries, health
        self.demand, self.loads = demand, loads
        self.table: CellTable | None = None
        self.attempts: dict[tuple[str, int], CellAttempt] = {}

    def adopt(self, table: CellTable) -> None:
        """Replaces the cell table by a newer one."""
        self.table = table

    def register_attempt(self, request: str, number: int, attempt: CellAttempt) -> None:
        """Adds an attempt that was sent to those in flight."""
        self.attempts[request, number] = attempt

    def record_outcome(self, now: int, outcome: Outcome) -> bool:
        """Records the outcome of an attempt, whether or not its request is still in flight.

        Returns whether the attempt is one of those that were registered here.
        """
        key = outcome.request_id, outcome.attempt
        attempt = self.attempts.pop(key, None)
        if attempt is None:
            return False
        if outcome.result is Result.STREAM_STARTED:
            self.attempts[key] = attempt
        if attempt.gateway is not None:
            attempt.gateway.attempt_ended(now, outcome)
        else:
            self._record_entry_outcome(now, outcome, attempt)
        self._record_health(now, outcome, attempt)
        warm_or_unknown = outcome.found in (InstanceStatus.WARM, InstanceStatus.UNKNOWN)
        if attempt.from_own_client and outcome.result is Result.OK and warm_or_unknown:
            self.demand.record_duration(attempt.function, outcome.duration)
        self._record_load(now, outcome, attempt.cell)
        return True

    def record_overdue(self, now: int, attempt: AttemptInFlight) -> None:
        """Records that an attempt is overdue; called once for each attempt."""
        via = attempt.host
        if attempt.cell not in self.local.gateways:
            self.entries.record_overdue(now, attempt.host, attempt.sent_at)
            if self.entries.has_answered_since(attempt.host, attempt.sent_at):
                # The entry has answered other requests, so it is the cell that is silent. The key is unique
                # to this attempt, so that each overdue attempt counts separately.
                via = f"{attempt.host} at {attempt.sent_at}"
        self.health.record_overdue(now, attempt.cell, attempt.sent_at, via)

    def _record_health(self, now: int, outcome: Outcome, attempt: CellAttempt) -> None:
        if not _shows_cell_state(outcome.result, attempt):
            return
        relative_duration = None
        if outcome.result is Result.OK and outcome.found is InstanceStatus.WARM:
            mean = max(MIN_MEAN_DURATION, self.demand.mean_duration(attempt.function))
            relative_duration = outcome.duration / mean
        self.health.record_outcome(now, attempt.cell, outcome.result, relative_duration)

    def _record_entry_outcome(self, now: int, outcome: Outcome, attempt: CellAttempt) -> None:
        if outcome.result in (Result.CONNECT_FAILED, Result.RESET):
            self.entries.record_failure(now, outcome.host_id)
        elif outcome.result is Result.TIMEOUT:
            self.entries.record_overdue(now, outcome.host_id, attempt.sent_at)
        elif outcome.result is Result.NOT_LOADED:
            self.entries.record_cell_unknown(now, outcome.host_id, attempt.cell)
        elif outcome.result not in (Result.NOT_SENT, Result.CANCELLED):
            self.entries.record_answer(now, outcome.host_id, attempt.cell)

    def _record_load(self, now: int, outcome: Outcome, name: str) -> None:
        cell = self.table.by_name.get(name) if self.table is not None else None
        if cell is None:
            return
        if name in self.local.gateways:
            self.loads.record(now, name, self.local.load(now, name) / cell.capacity)
        elif outcome.report is not None and outcome.report.in_hand is not None:
            self.loads.record(now, name, outcome.report.in_hand / cell.capacity)


def _shows_cell_state(result: Result, attempt: CellAttempt) -> bool:
    """Whether the result of an attempt shows something about the state of its cell.

    A full host does not mean that its cell is full, and an entry that does not know the cell shows nothing
    about it.
    """
    return result is not (Result.NOT_LOADED if attempt.gateway is None else Result.FULL)
