"""The end of each task: exactly one final answer, nothing that begins after it, nothing kept."""

from gaproute import interface as face
from gaproute.core.drive import Driver
from gaproute.core.held import Heard
from gaproute.interface.call import Ending, Final

MILLI = 1_000_000


class Ends(Driver):
    """The part of the core by which tasks end."""

    def _final(self, held, ending, answer, retry_after, reason, why=""):
        """Guards the one final answer: a second one of the decision module's reaches nobody."""
        finish, held.finish = held.finish, None
        if finish is None:
            self.record.fault("a second final answer was wished", held.id)
            return
        now = self.loop.now()
        self.record.ended(held.track, ending, now - held.taken)
        if held.step is not None:
            held.step(ending.value, why=why, after_ms=(now - held.taken) // MILLI, relays=held.relays)
        if now > held.limit:
            self.record.fault(f"answered {(now - held.limit) // MILLI} ms after the limit", held.id)
        never_ran = not held.ran and not any(hold.started for _, _, hold in held.out.values())
        final = Final(
            ending,
            answer,
            retry_after,
            held.id,
            held.relays,
            reason,
            never_ran,
            held.cell_unknown,
            held.found,
        )
        self.loop.soon(finish, final)
        self._over(held)

    def _time_up(self, key):
        """The client's limit: relays still out have timed out, and a task still unanswered is scrapped.

        Guards against a decision module that is late; harms none that is in time.
        """
        held = self.held[key]
        for number, (_, _, hold) in list(held.out.items()):
            result = face.Result.TIMEOUT if hold.started else face.Result.NOT_SENT
            hold.cancel()
            self._taken_back(key, number, result)
        if held.finish is not None:
            self.record.fault("no final answer by the client's limit", key)
            self.forget(key)
            self._final(held, Ending.FAILED, None, 0, "scrapped: the time was up")
        self._settle(held)

    def _settle(self, held):
        """Forgets a task that is answered and has no relay out."""
        if (
            held.finish is None
            and not held.out
            and held.id not in self.tasks
            and self.held.pop(held.id, None) is not None
        ):
            held.end.cancel()
            if not self.held and self.emptied is not None:
                self.loop.soon(self.emptied)

    def forget(self, key):
        super().forget(key)
        held = self.held.get(key)
        if held is not None:
            self._settle(held)

    def _guarded(self, key, call, *args):
        """An error in one task's decisions ends that task alone."""
        try:
            call(*args)
        except Exception as error:
            self._broken(key, error)

    def _broken(self, key, error):
        self.loop.failed(error)
        self.record.fault(f"the decision module failed: {error!r}", key)
        if key == "":
            self.keeper = None  # begun anew with the next list
            return
        held = self.held.get(key)
        if held is not None and held.finish is not None:
            self._final(held, Ending.FAILED, None, 0, "scrapped: an error in the gateway")
        self.forget(key)

    def _over(self, held):
        """Nothing begins any more once a task has its final answer or its client has left. What waits for its
        connection is taken back whatever the settings say of cancelling: not to begin is none. So is what a
        host has not whole yet, and what another gateway has, which may not have begun it."""
        for number, (_, _, hold) in held.out.items():
            if not hold.started or hold.cancellable:
                self._take_back(held, number, face.Result.CANCELLED)

    def _take_back(self, held, number, result):
        hold = held.out[number][2]
        if not hold.started:
            result = face.Result.NOT_SENT
        hold.cancel()
        self.loop.soon(self._taken_back, held.id, number, result)

    def _taken_back(self, key, number, result):
        if key in self.held and number in self.held[key].out:
            self._came(key, number, Heard(result, None))
