"""How requests end: one final answer each, no attempt that begins after it, no state left behind."""

from abc import abstractmethod
from collections.abc import Callable

from gaproute import interface
from gaproute.core.driver import HOUSEKEEPING, Driver
from gaproute.core.in_flight import RequestInFlight
from gaproute.core.ports import DecisionModule
from gaproute.interface.call import Answer, Ending, Final
from gaproute.loop import Loop
from gaproute.telemetry.record import Record
from gaproute.units import MILLI

# The texts of final answers, as clients read them.
REJECTED = "declined: it is safe to try again"
MAY_HAVE_RUN = "scrapped: it may have run, or may yet"
DEADLINE_PASSED = "scrapped: the time was up"
GATEWAY_ERROR = "scrapped: an error in the gateway"


class RequestCompletion(Driver):
    """The requests in flight, and how each of them ends."""

    def __init__(self, gateway: DecisionModule, loop: Loop, record: Record) -> None:
        super().__init__(gateway)
        self.loop, self.record = loop, record
        self.in_flight: dict[str, RequestInFlight] = {}  # by id
        self.on_idle: Callable[[], None] | None = None  # called when the last request is released

    @abstractmethod
    def _withdraw_attempts(self, request: RequestInFlight) -> None:
        """Withdraws what must not begin once the request has its final answer or its client has left."""

    @abstractmethod
    def _time_out_attempts(self, request: RequestInFlight) -> None:
        """Ends all attempts of a request whose deadline has passed."""

    # The final answer

    def reject(self, key: str, rejection: interface.Reject) -> None:
        """Gives the final answer that the request did not run, or may run again, so that a retry is safe."""
        request = self.in_flight[key]
        self._finish(
            request, Ending.REJECTED, REJECTED, retry_after=rejection.retry_after, cause=rejection.reason
        )

    def fail(self, key: str) -> None:
        """Gives the final answer that the request has failed: it may have run."""
        self._finish(self.in_flight[key], Ending.FAILED, MAY_HAVE_RUN)

    def _finish(
        self,
        request: RequestInFlight,
        ending: Ending,
        reason: str,
        *,
        answer: Answer | None = None,
        retry_after: int = 0,
        cause: interface.RejectReason | None = None,
    ) -> None:
        """Gives the one final answer; a second one is a fault of the decision module and reaches nobody."""
        on_final, request.on_final = request.on_final, None
        if on_final is None:
            self.record.internal_error("the decisions gave a second final answer", request.id)
            return
        self._record_end(request, ending, cause)
        never_ran = not request.may_have_run and not any(
            attempt.handle.started for attempt in request.attempts.values()
        )
        final = Final(
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
        self, request: RequestInFlight, ending: Ending, cause: interface.RejectReason | None
    ) -> None:
        now = self.loop.now()
        took = now - request.first_byte_at
        self.record.request_ended(request.request_class, ending)
        if request.log_step is not None:
            reason = cause.value if cause is not None else ""
            request.log_step(
                ending.value, reason=reason, took_ms=took // MILLI, attempts=request.attempt_count
            )
        if now > request.deadline:
            overdue = (now - request.deadline) // MILLI
            self.record.internal_error(f"answered {overdue} ms after the deadline", request.id)

    def _deadline_passed(self, key: str) -> None:
        """Ends a request at its deadline: its attempts have timed out, and it fails if it is unanswered.

        This guards against a decision module that answers late; one that answers in time is not affected.
        """
        request = self.in_flight[key]
        self._time_out_attempts(request)
        if request.on_final is not None:
            self.record.internal_error("no final answer by the deadline", key)
            self.forget(key)
            self._finish(request, Ending.FAILED, DEADLINE_PASSED)
        self._release_if_complete(request)

    # State

    def forget(self, key: str) -> None:
        """Drops a generator that has ended, and its request where that is complete."""
        super().forget(key)
        request = self.in_flight.get(key)
        if request is not None:
            self._release_if_complete(request)

    def _release_if_complete(self, request: RequestInFlight) -> None:
        """Releases a request that is answered, has no attempt in flight and no generator."""
        if request.on_final is not None or request.attempts or request.id in self.generators:
            return
        if self.in_flight.pop(request.id, None) is None:
            return
        request.deadline_timer.cancel()
        if not self.in_flight and self.on_idle is not None:
            self.loop.call_soon(self.on_idle)

    # Errors

    def _guard(self, key: str, step: Callable[..., object], *arguments: object) -> None:
        """Calls a step of one request's decisions; an error ends that request alone."""
        try:
            step(*arguments)
        except Exception as error:  # noqa: BLE001 - whatever it is, the other requests go on
            self._decisions_failed(key, error)

    def _decisions_failed(self, key: str, error: Exception) -> None:
        """Reports an error of the decision module and ends the generator that it came from."""
        self.loop.report_error(error)
        self.record.internal_error(f"the decision module failed: {error!r}", key)
        if key == HOUSEKEEPING:
            self.housekeeper = None  # started again with the next host list
            return
        request = self.in_flight.get(key)
        if request is not None and request.on_final is not None:
            self._finish(request, Ending.FAILED, GATEWAY_ERROR)
        self.forget(key)
