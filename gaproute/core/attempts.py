"""The attempts of requests: sent to hosts, cancelled, withdrawn, and accounted for when they end."""

from collections.abc import Callable
from functools import partial

from gaproute import interface
from gaproute.core.completion import RequestCompletion
from gaproute.core.in_flight import AttemptInFlight, AttemptResult, RequestInFlight
from gaproute.core.ports import DecisionModule, Hosts, RequestSender
from gaproute.interface.call import Ending
from gaproute.loop import Loop
from gaproute.telemetry.record import Record
from gaproute.units import MILLI


class AttemptRunner(RequestCompletion):
    """Carries out attempts through the hosts."""

    def __init__(
        self,
        gateway: DecisionModule,
        loop: Loop,
        record: Record,
        hosts: Hosts,
        request_classes: tuple[interface.RequestClass, ...],
    ) -> None:
        super().__init__(gateway, loop, record)
        self.hosts, self.request_classes = hosts, request_classes

    # Start

    def start_attempt(self, key: str, number: int, attempt: interface.Attempt, now: int) -> None:
        """Sends a request to a host."""
        self._send(self.hosts, key, number, attempt, now)

    def _send(
        self, hosts: RequestSender, key: str, number: int, attempt: interface.Attempt, now: int
    ) -> None:
        """Sends a request through `hosts` and registers the attempt."""
        request = self.in_flight[key]
        request.attempt_count += 1
        host, deadline = attempt.host, request.deadline
        if request.log_step is not None:
            request.log_step("attempt_started", attempt=number, host=host)
        handle = hosts.send(
            host,
            request.call,
            self.request_classes[request.request_class].idempotency,
            key,
            deadline,
            min(attempt.until, deadline),
            partial(self._attempt_ended, key, number),
        )
        request.attempts[number] = AttemptInFlight(host, now, handle)

    def cancel(self, key: str, number: int) -> None:
        """Cancels an attempt, unless it has ended."""
        request = self.in_flight.get(key)
        if request is not None and number in request.attempts:
            self._withdraw(request, number)

    # The end

    def _attempt_ended(self, key: str, number: int, attempt_result: AttemptResult) -> None:
        """Accounts for an attempt in flight that has ended; an answer ends its request."""
        request, now = self.in_flight[key], self.loop.now()
        host, sent_at, _ = request.attempts.pop(number)
        result, took = attempt_result.result, now - sent_at
        if result not in interface.NEVER_RAN:
            request.may_have_run = True
        if result is interface.Result.OK and request.on_final is not None:
            request.found = attempt_result.found
            self._finish(request, Ending.DELIVERED, "", answer=attempt_result.answer)
        self.record.attempt_ended(host, request.request_class, result)
        outcome = interface.Outcome(
            key,
            number,
            host,
            result,
            took,
            request.on_final is None,
            attempt_result.found,
            attempt_result.same_function_requests,
            attempt_result.report,
        )
        if request.log_step is not None:
            _log_outcome(request.log_step, outcome)
        self._guard(key, self.handle_outcome, now, outcome)
        self._release_if_complete(request)

    def _time_out_attempts(self, request: RequestInFlight) -> None:
        """Ends all attempts of a request whose deadline has passed."""
        for number, (_, _, handle) in list(request.attempts.items()):
            result = interface.Result.TIMEOUT if handle.started else interface.Result.NOT_SENT
            handle.cancel()
            self._attempt_withdrawn(request.id, number, result)

    def _withdraw_attempts(self, request: RequestInFlight) -> None:
        """Withdraws what must not begin once the request has its final answer or its client has left.

        These are the attempts that still wait for a connection, those of which the host has received only a
        part, and those that were forwarded to another gateway, which may not have started them yet. Settings
        that forbid cancelling do not apply: they are about requests that a host has received completely.
        """
        for number, (_, _, handle) in request.attempts.items():
            if not handle.started or handle.cancellable:
                self._withdraw(request, number)

    def _withdraw(self, request: RequestInFlight, number: int) -> None:
        """Cancels an attempt at once and accounts for it in a later callback of the loop."""
        handle = request.attempts[number].handle
        result = interface.Result.CANCELLED if handle.started else interface.Result.NOT_SENT
        handle.cancel()
        self.loop.call_soon(self._attempt_withdrawn, request.id, number, result)

    def _attempt_withdrawn(self, key: str, number: int, result: interface.Result) -> None:
        request = self.in_flight.get(key)
        if request is not None and number in request.attempts:
            self._attempt_ended(key, number, AttemptResult(result, None))


def _log_outcome(log_step: Callable[..., None], outcome: interface.Outcome) -> None:
    """Logs the outcome of an attempt of a traced request."""
    log_step(
        "attempt_ended",
        attempt=outcome.attempt,
        host=outcome.host,
        result=outcome.result.value,
        took_ms=outcome.took // MILLI,
        found=outcome.found.name,
        same_function_requests=outcome.same_function_requests,
    )
