"""The state of one request that is routed through cells: its attempts, and whether it may have run.

Invariants: the request has attempts in flight in one cell at a time; it is sent to another cell only when no
attempt is in flight; a request that must not run twice is sent to another cell only if all its attempts
provably did not run.
"""

from collections.abc import Iterator
from typing import NamedTuple

from gaproute.decisions.cells.actions import FinalAction
from gaproute.decisions.cells.entries import Forwarded
from gaproute.decisions.routing.parameters import NEVER
from gaproute.interface import (
    NEVER_RAN,
    Fail,
    Idempotency,
    Outcome,
    Reject,
    RejectReason,
    Request,
    Result,
    RoutingSettings,
)
from gaproute.units import MILLI

OVERDUE_CHECK_INTERVAL = 500 * MILLI  # between checks of a request that has an overdue attempt


class AttemptInFlight(NamedTuple):
    """An attempt that has no outcome yet; times are in ns."""

    cell: str
    host: str  # the name of the host, or of the entry gateway
    sent_at: int
    overdue_at: int  # time at which the attempt becomes overdue


class RequestProgress:
    """The state of one request. `now` is the time of the last event of the request, ns."""

    def __init__(
        self,
        now: int,
        request: Request,
        routing_settings: RoutingSettings,
        forwarded: Forwarded | None = None,
    ) -> None:
        self.request, self.now = request, now
        self.hops = forwarded.hops if forwarded is not None else 0
        self.request_class = routing_settings.request_classes[request.request_class]
        self.deadline: int = now + request.time_left
        self.attempt_limit = routing_settings.attempt_limit
        self.retry_after = min(routing_settings.retry_after_limit, self.request_class.latency_objective)
        self.attempts = 0
        self.first_sent_at: int | None = None
        self.in_flight: dict[int, AttemptInFlight] = {}  # by number
        self.overdue: set[int] = set()  # numbers of the attempts in flight that are overdue
        self.may_have_run = False

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run any number of times, at any hosts."""
        return self.request_class.idempotency is Idempotency.IDEMPOTENT

    def remaining_request(self) -> Request:
        """The request to send to the next cell, with the time left until the deadline."""
        if not self.attempts:
            return self.request
        return self.request._replace(time_left=max(0, self.deadline - self.now))

    def register_attempt(self, number: int, cell: str, host: str, overdue_at: int) -> None:
        """Adds an attempt that was sent to those in flight."""
        self.attempts += 1
        if self.first_sent_at is None:
            self.first_sent_at = self.now
        self.in_flight[number] = AttemptInFlight(cell, host, self.now, overdue_at)

    def record_outcome(self, outcome: Outcome) -> None:
        """Records the outcome of an attempt.

        The start of a stream is no outcome yet. The outcome of the whole request, when its client has left,
        belongs to no attempt and changes nothing here.
        """
        if outcome.result is Result.STREAM_STARTED:
            return
        if self.in_flight.pop(outcome.attempt, None) is not None:
            self.overdue.discard(outcome.attempt)
            self.may_have_run |= outcome.result not in NEVER_RAN

    def next_overdue_check(self) -> int:
        """The time of the next check: when an attempt becomes overdue, and at intervals after that."""
        if self.overdue:
            return self.now + OVERDUE_CHECK_INTERVAL
        return min((attempt.overdue_at for attempt in self.in_flight.values()), default=NEVER)

    def newly_overdue(self) -> Iterator[AttemptInFlight]:
        """Yields the attempts that have become overdue since the last call."""
        for number, attempt in self.in_flight.items():
            if attempt.overdue_at <= self.now and number not in self.overdue:
                self.overdue.add(number)
                yield attempt

    def may_leave_cell(self) -> bool:
        """Whether the request may be sent to another cell."""
        if self.in_flight or self.may_have_run and not self.is_idempotent:
            return False
        return self.attempts < self.attempt_limit and self.now < self.deadline

    def final_answer(self, reason: RejectReason) -> FinalAction:
        """The final answer if nothing more can be tried; a rejection only if the request may run again."""
        if self.is_idempotent or not (self.may_have_run or self.in_flight):
            return Reject(self.retry_after, reason)
        return Fail()
