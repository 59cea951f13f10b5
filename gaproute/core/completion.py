"""The end of each task: exactly one final answer, nothing that begins after it, nothing kept."""

from gaproute import interface as face
from gaproute.core.driver import Driver
from gaproute.core.in_flight import AttemptResult
from gaproute.interface.call import Ending, Final

MILLI = 1_000_000


class RequestCompletion(Driver):
    """The part of the core by which tasks end."""

    def _finish(self, request, ending, answer, stay_away, reason, why=""):
        """Guards the one final answer: a second one of the decision module's reaches nobody."""
        finish, request.on_final = request.on_final, None
        if finish is None:
            self.record.fault("a second final answer was wished", request.id)
            return
        now = self.loop.now()
        self.record.ended(request.request_class, ending, now - request.first_byte_at)
        if request.log_step is not None:
            request.log_step(
                ending.value,
                why=why,
                after_ms=(now - request.first_byte_at) // MILLI,
                relays=request.attempt_count,
            )
        if now > request.deadline:
            self.record.fault(f"answered {(now - request.deadline) // MILLI} ms after the limit", request.id)
        never_ran = not request.may_have_run and not any(
            hold.begun for _, _, hold in request.attempts.values()
        )
        final = Final(
            ending,
            answer,
            stay_away,
            request.id,
            request.attempt_count,
            reason,
            never_ran,
            request.cell_unknown,
            request.found,
        )
        self.loop.soon(finish, final)
        self._withdraw_attempts(request)

    def _deadline_passed(self, key):
        """The client's limit: relays still out have timed out, and a task still unanswered is scrapped.

        Guards against a decision module that is late; harms none that is in time.
        """
        request = self.in_flight[key]
        for number, (_, _, hold) in list(request.attempts.items()):
            result = face.Result.TIMEOUT if hold.begun else face.Result.MOOT
            hold.give_up()
            self._attempt_withdrawn(key, number, result)
        if request.on_final is not None:
            self.record.fault("no final answer by the client's limit", key)
            self.forget(key)
            self._finish(request, Ending.FAILED, None, 0, "scrapped: the time was up")
        self._release_if_complete(request)

    def _release_if_complete(self, request):
        """Forgets a task that is answered and has no relay out."""
        if (
            request.on_final is None
            and not request.attempts
            and request.id not in self.generators
            and self.in_flight.pop(request.id, None) is not None
        ):
            request.deadline_timer.cancel()
            if not self.in_flight and self.on_idle is not None:
                self.loop.soon(self.on_idle)

    def forget(self, key):
        super().forget(key)
        request = self.in_flight.get(key)
        if request is not None:
            self._release_if_complete(request)

    def _guard(self, key, call, *args):
        """An error in one task's decisions ends that task alone."""
        try:
            call(*args)
        except Exception as error:
            self._decision_failed(key, error)

    def _decision_failed(self, key, error):
        self.loop.failed(error)
        self.record.fault(f"the decision module failed: {error!r}", key)
        if key == "":
            self.housekeeper = None  # begun anew with the next list
            return
        request = self.in_flight.get(key)
        if request is not None and request.on_final is not None:
            self._finish(request, Ending.FAILED, None, 0, "scrapped: an error in the gateway")
        self.forget(key)

    def _withdraw_attempts(self, request):
        """Nothing begins any more once a task has its final answer or its client has left. What waits for its
        connection is taken back whatever the settings say of cancelling: not to begin is none. So is what a
        host has not whole yet, and what another gateway has, which may not have begun it."""
        for number, (_, _, hold) in request.attempts.items():
            if not hold.begun or hold.withdrawable:
                self._withdraw(request, number, face.Result.CANCELLED)

    def _withdraw(self, request, number, result):
        hold = request.attempts[number][2]
        if not hold.begun:
            result = face.Result.MOOT
        hold.give_up()
        self.loop.soon(self._attempt_withdrawn, request.id, number, result)

    def _attempt_withdrawn(self, key, number, result):
        if key in self.in_flight and number in self.in_flight[key].attempts:
            self._attempt_ended(key, number, AttemptResult(result, None))
