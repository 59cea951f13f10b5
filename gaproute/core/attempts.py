"""Sends the attempts of requests to hosts, cancels and withdraws them, and accounts for their outcomes."""

from collections.abc import Callable
from functools import partial

from gaproute import interface
from gaproute.core.completion import RequestCompletion
from gaproute.core.in_flight import AttemptInFlight, AttemptResult, RequestInFlight
from gaproute.core.ports import DecisionModule, Hosts, RequestSender
from gaproute.interface.call import FinalResult
from gaproute.loop import Loop
from gaproute.telemetry.record import GatewayRecord
from gaproute.units import MILLI


class AttemptRunner(RequestCompletion):
    """Runs the attempts of requests at the hosts."""

    def __init__(
        self,
        gateway: DecisionModule,
        loop: Loop,
        record: GatewayRecord,
        hosts: Hosts,
        request_classes: tuple[interface.RequestClass, ...],
    ) -> None:
        super().__init__(gateway, loop, record)
        self.hosts, self.request_classes = hosts, request_classes

    # Starting attempts

    def start_attempt(self, key: str, number: int, attempt: interface.Attempt, now: int) -> None:
        """Sends a request to a host."""
        self._send_attempt(self.hosts, key, number, attempt, now)

    def _send_attempt(
        self, hosts: RequestSender, key: str, number: int, attempt: interface.Attempt, now: int
    ) -> None:
        """Sends an attempt of a request through `hosts` and registers it as in flight."""
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
            min(attempt.start_by, deadline),
            partial(self._attempt_ended, key, number),
        )
        request.attempts[number] = AttemptInFlight(host, now, handle)

    def cancel_attempt(self, key: str, number: int) -> None:
        """Cancels an attempt, unless it has ended."""
        request = self.in_flight.get(key)
        if request is not None and number in request.attempts:
            self._withdraw_attempt(request, number)

    # Ending attempts

    def _attempt_ended(self, key: str, number: int, attempt_result: AttemptResult) -> None:
        """Accounts for the end of an attempt; its answer becomes the final answer of the request."""
        request, now = self.in_flight[key], self.loop.now()
        host, sent_at, _ = request.attempts.pop(number)
        result, took = attempt_result.result, now - sent_at
        if result not in interface.NEVER_RAN:
            request.may_have_run = True
        if result is interface.Result.OK and request.on_final is not None:
            request.found = attempt_result.found
            self._give_final_answer(request, FinalResult.DELIVERED, "", answer=attempt_result.answer)
        self.record.count_attempt_result(host, request.request_class, result)
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
        self._call_guarded(key, self.handle_outcome, now, outcome)
        self._release_if_complete(request)

    def _time_out_attempts(self, request: RequestInFlight) -> None:
        """Ends all attempts in flight of a request whose deadline has passed."""
        for number, (_, _, handle) in list(request.attempts.items()):
            result = interface.Result.TIMEOUT if handle.started else interface.Result.NOT_SENT
            handle.cancel()
            self._end_withdrawn_attempt(request.id, number, result)

    def _withdraw_attempts(self, request: RequestInFlight) -> None:
        """Withdraws the attempts that must not run after the final answer or after the client has left.

        These are attempts that still wait for a connection, attempts of which the host has received only a
        part, and attempts that were forwarded to another gateway, which may not have started them yet.
        Settings that forbid cancels do not apply, as they concern requests that a host has received
        completely.
        """
        for number, (_, _, handle) in request.attempts.items():
            if not handle.started or handle.cancellable:
                self._withdraw_attempt(request, number)

    def _withdraw_attempt(self, request: RequestInFlight, number: int) -> None:
        """Cancels an attempt now and accounts for its outcome in a later callback of the loop."""
        handle = request.attempts[number].handle
        result = interface.Result.CANCELLED if handle.started else interface.Result.NOT_SENT
        handle.cancel()
        self.loop.call_soon(self._end_withdrawn_attempt, request.id, number, result)

    def _end_withdrawn_attempt(self, key: str, number: int, result: interface.Result) -> None:
        request = self.in_flight.get(key)
        if request is not None and number in request.attempts:
            self._attempt_ended(key, number, AttemptResult(result, None))


def _log_outcome(log_step: Callable[..., None], outcome: interface.Outcome) -> None:
    """Logs the outcome of an attempt of a traced request."""
    log_step(
        "attempt_ended",
        attempt=outcome.attempt,
        host=outcome.host_id,
        result=outcome.result.value,
        took_ms=outcome.duration // MILLI,
        found=outcome.found.name,
        same_function_requests=outcome.same_function_requests,
    )
