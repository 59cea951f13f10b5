"""Ends requests: each gets one final answer, no attempt starts after it, and no state remains."""

from abc import abstractmethod
from collections.abc import Callable

from gaproute import interface
from gaproute.core.driver import HOUSEKEEPING, Driver
from gaproute.core.in_flight import RequestInFlight
from gaproute.core.ports import DecisionModule
from gaproute.core.request_memory import RequestMemory
from gaproute.interface.call import Answer, FinalAnswer, FinalResult
from gaproute.loop import Loop
from gaproute.telemetry.record import GatewayRecord
from gaproute.units import MILLI

# Texts of final answers, which clients receive.
REJECTED_TEXT = "declined: it is safe to try again"
MAY_HAVE_RUN_TEXT = "scrapped: it may have run, or may yet"
DEADLINE_PASSED_TEXT = "scrapped: the time was up"
GATEWAY_ERROR_TEXT = "scrapped: an error in the gateway"


class RequestCompletion(Driver):
    """Keeps the requests in flight and ends each of them."""

    def __init__(self, gateway: DecisionModule, loop: Loop, record: GatewayRecord) -> None:
        super().__init__(gateway)
        self.loop, self.record = loop, record
        self.in_flight: dict[str, RequestInFlight] = {}  # by id
        self.request_memory = RequestMemory()
        self.on_idle: Callable[[], None] | None = None  # called after the last request in flight is released

    @abstractmethod
    def _withdraw_attempts(self, request: RequestInFlight) -> None:
        """Withdraws the attempts that must not run after the final answer or after the client has left."""

    @abstractmethod
    def _time_out_attempts(self, request: RequestInFlight) -> None:
        """Ends all attempts in flight of a request whose deadline has passed."""

    # Final answers

    def reject_request(self, key: str, rejection: interface.Reject) -> None:
        """Gives the final answer that a retry is safe: the request did not run, or may run again."""
        request = self.in_flight[key]
        self._give_final_answer(
            request,
            FinalResult.REJECTED,
            REJECTED_TEXT,
            retry_after=rejection.retry_after,
            cause=rejection.reason,
        )

    def fail_request(self, key: str) -> None:
        """Gives the final answer that the request has failed and may have run."""
        self._give_final_answer(self.in_flight[key], FinalResult.FAILED, MAY_HAVE_RUN_TEXT)

    def _give_final_answer(
        self,
        request: RequestInFlight,
        ending: FinalResult,
        reason: str,
        *,
        answer: Answer | None = None,
        retry_after: int = 0,
        cause: interface.RejectReason | None = None,
    ) -> None:
        """Gives the final answer of a request.

        A second final answer is a fault of the decision module: it is dropped and reported as an internal
        error.
        """
        on_final, request.on_final = request.on_final, None
        if on_final is None:
            self.record.log_internal_error("the decision module gave a second final answer", request.id)
            return
        self._record_end(request, ending, cause)
        never_ran = not request.may_have_run and not any(
            attempt.handle.started for attempt in request.attempts.values()
        )
        final = FinalAnswer(
            ending,
            answer,
            retry_after,
            request.id,
            request.attempt_count,
            reason,
            never_ran,
            request.cell_unknown,
            request.found,
        )
        self.loop.call_soon(on_final, final)
        self._withdraw_attempts(request)

    def _record_end(
        self, request: RequestInFlight, ending: FinalResult, cause: interface.RejectReason | None
    ) -> None:
        now = self.loop.now()
        took = now - request.first_byte_at
        self.record.count_final_answer(request.request_class, ending)
        if request.log_step is not None:
            reason = cause.value if cause is not None else ""
            request.log_step(
                ending.value, reason=reason, took_ms=took // MILLI, attempts=request.attempt_count
            )
        if now > request.deadline:
            overdue = (now - request.deadline) // MILLI
            self.record.log_internal_error(f"answered {overdue} ms after the deadline", request.id)

    def _deadline_passed(self, key: str) -> None:
        """Ends a request at its deadline: its attempts time out, and it fails if it has no final answer yet.

        This guards against a decision module that gives its final answers late; a module that gives them in
        time is not affected.
        """
        request = self.in_flight[key]
        self._time_out_attempts(request)
        if request.on_final is not None:
            self.record.log_internal_error("no final answer by the deadline", key)
            self.drop_generator(key)
            self._give_final_answer(request, FinalResult.FAILED, DEADLINE_PASSED_TEXT)
        self._release_if_complete(request)

    # State of requests

    def drop_generator(self, key: str) -> None:
        """Drops a generator that has ended, and releases its request if it is complete."""
        super().drop_generator(key)
        request = self.in_flight.get(key)
        if request is not None:
            self._release_if_complete(request)

    def _release_if_complete(self, request: RequestInFlight) -> None:
        """Releases a request that has its final answer, no attempt in flight and no generator."""
        if request.on_final is not None or request.attempts or request.id in self.generators:
            return
        if self.in_flight.pop(request.id, None) is None:
            return
        self.request_memory.remove(len(request.call.body))
        request.deadline_timer.cancel()
        if not self.in_flight and self.on_idle is not None:
            self.loop.call_soon(self.on_idle)

    # Errors

    def _call_guarded(self, key: str, step: Callable[..., object], *arguments: object) -> None:
        """Calls `step`, which runs decisions on one request; an error ends only that request."""
        try:
            step(*arguments)
        except Exception as error:  # noqa: BLE001 - no error may affect other requests
            self._handle_decision_error(key, error)

    def _handle_decision_error(self, key: str, error: Exception) -> None:
        """Reports an error of the decision module and drops the generator that raised it."""
        self.loop.report_error(error)
        self.record.log_internal_error(f"the decision module failed: {error!r}", key)
        if key == HOUSEKEEPING:
            self.housekeeping_generator = None  # a new one starts with the next host list
            return
        request = self.in_flight.get(key)
        if request is not None and request.on_final is not None:
            self._give_final_answer(request, FinalResult.FAILED, GATEWAY_ERROR_TEXT)
        self.drop_generator(key)
