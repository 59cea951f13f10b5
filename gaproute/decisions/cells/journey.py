"""One task on its way through cells: what is out, what may have run, and what may still be done.

Invariants: the task has relays out in one cell at a time; a cell is left only when nothing is out; a task
that must not run twice leaves a cell only when every relay of it provably did not run.
"""

from gaproute.decisions.routing.beliefs import LONG, MILLI
from gaproute.interface import NEVER_RAN, Fail, Idempotency, Reject, Result

LOOK = 500 * MILLI  # between looks at a task with an overdue relay


class Journey:
    """State of one task. `now` is the time of the last thing that happened to it."""

    def __init__(self, now, task, terms, forwarded=None):
        self.task, self.now = task, now
        self.hops = forwarded.hops if forwarded is not None else 0
        self.track = terms.request_classes[task.request_class]
        self.end = now + task.time_left
        self.attempt_limit = terms.attempt_limit
        self.advice = min(terms.retry_after_limit, self.track.latency_objective)
        self.relays, self.first_sent = 0, None
        self.out = {}  # relay: (cell, worker, sent, due)
        self.late = set()  # relays that were found overdue
        self.may_have_run = False

    def rest(self):
        """The task as the next cell takes it."""
        return self.task._replace(time_left=max(0, self.end - self.now))

    def sent(self, relay, cell, worker, due):
        """A relay has gone out."""
        self.relays += 1
        if self.first_sent is None:
            self.first_sent = self.now
        self.out[relay] = cell, worker, self.now, due

    def settle(self, outcome):
        """An outcome of one of the relays, or of the whole task."""
        if outcome.result is not Result.STREAM_STARTED and self.out.pop(outcome.attempt, None) is not None:
            self.late.discard(outcome.attempt)
            self.may_have_run |= outcome.result not in NEVER_RAN

    def next_look(self):
        """When to look again at the relays that are out: when one is overdue, and then now and then."""
        if self.late:
            return self.now + LOOK
        return min((due for *_, due in self.out.values()), default=LONG)

    def overdue(self):
        """Relays that have just become overdue, as (cell, worker, sent)."""
        for relay, (cell, worker, sent, due) in self.out.items():
            if due <= self.now and relay not in self.late:
                self.late.add(relay)
                yield cell, worker, sent

    def may_leave(self):
        """Whether the task may go on in another cell."""
        harmless = not self.may_have_run or self.track.idempotency is Idempotency.IDEMPOTENT
        return harmless and not self.out and self.relays < self.attempt_limit and self.now < self.end

    def ending(self, why):
        """The final answer where nothing more can be done."""
        if self.track.idempotency is Idempotency.IDEMPOTENT or not (self.may_have_run or self.out):
            return Reject(self.advice, why)
        return Fail()
