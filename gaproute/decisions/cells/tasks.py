"""Tasks on their way through the cells of a fleet, and what is booked of them.

Invariants: a task is in one cell at a time and enters each at most once; no task is forwarded more than
`MAX_HOPS` times.
"""

from typing import NamedTuple

from gaproute.decisions.cells.choice import CellChoice
from gaproute.decisions.cells.entries import CellUnknown
from gaproute.decisions.cells.faults import CircuitState
from gaproute.decisions.cells.remote import serve_remote
from gaproute.decisions.routing import Gateway
from gaproute.interface import Attempt, Fail, Found, Idempotency, Reject, Result, Wait

MILLI, SECOND = 1_000_000, 1_000_000_000

MAX_CELLS_TRIED = 3  # for one task: what three cells refused, a fourth would refuse as well
OVERDUE_FACTOR = 4  # usual answer times before a call is overdue,
MIN_MEAN_DURATION = (
    25 * MILLI
)  # usual answer time by which paces are taken: stalls of a gateway are no slow cell
OVERDUE_LOADS = 2  # and usual load times
DEFAULT_LOAD_TIME = SECOND  # load time where none is told
UNABLE_REASONS = ("nobody", "unreachable", "no host")  # why a cell declined other than for its load


class CellAttempt(NamedTuple):
    """A relay that is out."""

    cell: str
    gateway: Gateway | None  # that sent it to a host; None: it went to an entry
    function: str
    sent: int
    own: bool  # the call came from a client of this gateway


class CellTasks:
    """The part of `CellularGateway` that carries tasks; it makes all that is used here."""

    def travel(self, journey, forwarded):
        """One task, from acceptance to its one final answer."""
        ending = self._no_choice(journey, forwarded)
        for choice in self._choices(journey, forwarded):
            ending = yield from self._in_cell(journey, choice)
            if ending is None or isinstance(ending, Fail):
                break
            if not journey.may_leave() or not self._worth_leaving(journey.now, ending):
                break
        if ending is not None:
            yield ending

    def reject_unknown(self, journey):
        """A task that was forwarded here for a cell which this gateway does not know."""
        yield CellUnknown(journey.advice, "cell not known")

    def _no_choice(self, journey, forwarded):
        """The ending where there is no cell that the task may go to."""
        if forwarded is not None and forwarded.cell not in self.table.by_name:
            return CellUnknown(journey.advice, "cell not known")
        return Reject(journey.advice, "no cell")

    def _choices(self, journey, forwarded):
        """The cells for a task, in turn. A forwarded one has no choice: its first gateway made it."""
        function = journey.task.function
        if forwarded is not None:
            yield from self._forwarded_choice(journey, forwarded.cell)
            return
        self.demand.record_arrival(journey.now, function)
        self.spill.record_arrival()
        choices = self.selector.cells(
            journey.now, function, may_repeat=journey.track.idempotency is Idempotency.IDEMPOTENT
        )
        for _, choice in zip(range(MAX_CELLS_TRIED), choices, strict=False):
            if choice.cell in self.table.by_name:  # a newer table may have come meanwhile
                self.view.record_use(journey.now, choice.cell)
                yield choice

    def _forwarded_choice(self, journey, name):
        """The cell that a forwarded task names, unless this gateway knows it and found it ill."""
        if name not in self.local.gateways:
            if name in self.table.by_name:
                yield CellChoice(name)
            return
        permit = self.health.circuit_state(journey.now, name, journey.task.function)
        pure = journey.track.idempotency is Idempotency.IDEMPOTENT
        if permit is CircuitState.CLOSED:
            yield CellChoice(name)
        elif permit is CircuitState.HALF_OPEN and (pure or self.health.accepts_any_trial(journey.now, name)):
            yield CellChoice(name, True)

    def _worth_leaving(self, now, ending):
        """What was refused for load goes elsewhere within a bounded share of calls: no wave."""
        return ending.reason in UNABLE_REASONS or self.spill.try_spend()

    def _in_cell(self, journey, choice):
        """The task in one cell; returns its final wish there, or None where the task is over."""
        name = choice.cell
        if choice.trial:
            self.health.trial_sent(journey.now, name)
        gateway = self.local.gateways.get(name)
        if gateway is None:
            cell = self.table.by_name[name]
            inner = serve_remote(
                journey, cell, self.entries, self.health, self.terms.cancel_allowed, lambda: self.end_by
            )
        elif gateway.fleet:
            inner = gateway.serve(journey.now, journey.rest() if journey.relays else journey.task)
        else:
            self.health.record_unreachable(journey.now, name)
            return CellUnknown(journey.advice, "no host")
        ending = yield from self._drive(journey, name, inner, gateway)
        if gateway is not None and isinstance(ending, Reject) and ending.reason in ("nobody", "full"):
            self.health.record_outcome(journey.now, name, Result.FULL)
        return ending

    def _drive(self, journey, name, inner, gateway):
        """Pass on what a cell wishes for the task, and keep account of it."""
        task, value = journey.task, None
        while True:
            try:
                wish = inner.send(value)
            except StopIteration:
                return None
            value = None
            if isinstance(wish, (Reject, Fail)):
                return wish
            if isinstance(wish, Attempt):
                if journey.relays >= journey.attempt_limit:
                    inner.close()
                    return journey.ending("relays")
                value = yield wish
                journey.sent(value, name, wish.host, self._due(journey))
                hand = CellAttempt(name, gateway, task.function, journey.now, journey.hops == 0)
                self.attempts[task.id, value] = hand
            elif isinstance(wish, Wait):
                value = yield from self._wait(journey, wish)
            else:
                yield wish

    def _wait(self, journey, wish):
        """Wait, but look at relays that become overdue."""
        journey.now, outcome = yield Wait(min(wish.until, journey.next_look()))
        if outcome is not None:
            journey.settle(outcome)
        for cell, worker, sent in journey.overdue():
            way = worker
            if cell not in self.local.gateways:
                self.entries.record_overdue(journey.now, worker, sent)
                if (
                    self.entries.last_answered.get(worker, -1) >= sent
                ):  # it answers for others: the cell is silent
                    way = f"{worker} at {sent}"
            self.health.record_overdue(journey.now, cell, sent, way)
        return journey.now, outcome

    def _due(self, journey):
        load = journey.task.load_time or DEFAULT_LOAD_TIME
        usual = self.demand.mean_duration(journey.task.function)
        return journey.now + int(OVERDUE_FACTOR * usual) + OVERDUE_LOADS * load

    def heard_in_cell(self, now, outcome, hand):
        """Book one relay's outcome, whether or not its task is still held."""
        if outcome.result is Result.STREAM_STARTED:
            self.attempts[outcome.request, outcome.attempt] = hand
        if hand.gateway is not None:
            hand.gateway.heard(now, outcome)
        self._book(now, outcome, hand)

    def _book(self, now, outcome, hand):
        standing = outcome.result is Result.OK and outcome.found is Found.WARM
        pace = (
            outcome.took / max(MIN_MEAN_DURATION, self.demand.mean_duration(hand.function))
            if standing
            else None
        )
        if hand.gateway is None:
            self._book_entry(now, outcome, hand)
        if _tells_of_cell(outcome.result, hand):
            self.health.record_outcome(now, hand.cell, outcome.result, pace)
        if hand.own and outcome.result is Result.OK and outcome.found in (Found.WARM, Found.UNKNOWN):
            self.demand.record_duration(hand.function, outcome.took)
        self._book_load(now, outcome, hand.cell)

    def _book_entry(self, now, outcome, hand):
        if outcome.result in (Result.CONNECT_FAILED, Result.RESET):
            self.entries.record_failure(now, outcome.host)
        elif outcome.result is Result.TIMEOUT:
            self.entries.record_overdue(now, outcome.host, hand.sent)
        elif outcome.result is Result.NOT_LOADED:
            self.entries.record_cell_unknown(now, outcome.host, hand.cell)
        elif outcome.result not in (Result.NOT_SENT, Result.CANCELLED):
            self.entries.record_answer(now, outcome.host, hand.cell)

    def _book_load(self, now, outcome, name):
        cell = self.table.by_name.get(name)
        if cell is None:
            return
        if name in self.local.gateways:
            self.loads.record(now, name, self.local.load(now, name) / cell.capacity)
        elif outcome.report is not None and outcome.report.in_hand is not None:
            self.loads.record(now, name, outcome.report.in_hand / cell.capacity)


def _tells_of_cell(result, hand):
    """Whether a relay's result says something of its cell: a full host is no full cell, and an entry that
    does not know the cell says nothing of it."""
    return result is not (Result.NOT_LOADED if hand.gateway is None else Result.FULL)
