"""One task, from acceptance to its one final answer."""

from gaproute.decisions.routing.beliefs import MILLI, SECOND, Trail
from gaproute.decisions.routing.booked import Booked
from gaproute.interface import Attempt, Cancel, Fail, Idempotency, LoadOrder, Reject, Result, Wait

MOST_COPIES = 16  # of one function that one order asks a worker for
PAUSE = 100 * MILLI  # between looks while a task waits for a worker: half an answer time, spares the CPU
STAY_AWAY = 1.0  # of the contract time: advice to a declined client
ANSWER_BY = 4 * MILLI  # before the time is up: the final answer leaves a tick early


class Serving(Booked):
    def serve(self, now, task):
        """One task, from acceptance to its one final answer."""
        track, trail = self.tracks[task.request_class], Trail()
        function = self.function(task.function, task.lanes)
        function.lanes, function.used = task.lanes, now
        if function.told:
            self.consider(now, task.function, function)
        self.mix.append(task.function)
        self.tenants.append(task.tenant)
        if now < self.all_warm_at and all([now < worker.warm_at for worker in self.fleet]):
            self.spread_first_credit(now)
        crowded = self.crowded(now, task, track)
        why = "crowded" if crowded else (yield from self.attempts(now, task, track, function, trail))
        for relay in trail.out if self.terms.cancel_allowed else ():
            yield Cancel(relay)
        if why is None:
            return
        if trail.first is None or track.idempotency is Idempotency.IDEMPOTENT:
            yield Reject(min(self.terms.retry_after_limit, int(STAY_AWAY * track.latency_objective)), why)
        else:
            yield Fail()

    def attempts(self, now, task, track, function, trail):
        """Relays until the task has ended, then None, or until another would not help, then the reason."""
        came, end, pure = now, now + task.time_left - ANSWER_BY, track.idempotency is Idempotency.IDEMPOTENT
        give_up, look = now + track.latency_objective, now  # and when to look for a worker again
        while now < min(end, self.end_by):
            if now >= look:
                worker = self.choose(now, task, trail)
                if worker is not None and not trail.relays and self.shed(now, task, track, worker):
                    return "queue"
                if worker is not None:
                    relay = yield Attempt(worker.id, self.begin_by(track, trail, end))
                    look = self.sent(now, task, relay, worker, trail)
                elif trail.out:
                    look = now + self.usual(function)
                elif now >= give_up or not any(self.allowed(each, track, trail, now) for each in self.fleet):
                    return "nobody"
                else:
                    look = now + PAUSE
            now, outcome = yield Wait(min(look, end, give_up if now < give_up else end))
            if outcome is None:
                # Late work holds up the rest of a crowded fleet and earns little: it makes room where it may.
                if trail.out and now >= give_up and pure and self.crowded(now, task, track):
                    return "late"
                if trail.out and look <= now < end:
                    look = self.overdue(now, task, trail, function)
                continue
            if outcome.result is Result.STREAM_STARTED:
                while outcome is None or not outcome.ended:  # a stream has no deadline
                    now, outcome = yield Wait(now + SECOND)
                trail.out.clear()  # it is not cancelled
                return None
            if outcome.attempt in trail.out:
                held, _ = trail.out[outcome.attempt]
                trail.settle(outcome.attempt, outcome.result)
                if outcome.result is Result.OK:
                    self.ration.delivered(now, came)
                    self.sharing.task()
                    yield from self.more_copies(now, task, function, held, outcome)
            if outcome.ended:
                return None
            look = now
            if outcome.result is Result.FULL and not trail.out and self.crowded(now, task, track):
                return "full"  # one refusal in a full fleet is proof enough; the client is told at once
            if outcome.result is Result.NOT_LOADED and held.active and self.may_order(now, function):
                self.ordered(now, function)
                yield LoadOrder(held.id, task.function, 1)
                function.seen[held.id] = now
                look = now + outcome.took  # the order is there once a round trip has passed
        return "nobody"

    def more_copies(self, now, task, function, worker, outcome):
        """Order one more copy where tasks of the function outnumber the lanes of those that stand: serves hot
        functions where only orders add copies; elsewhere it finds them standing (see `Ration.worth`)."""
        alike = outcome.same_function_requests or 0
        wanted = worker.active and alike >= task.lanes and self.ration.worth(self.chance)
        if wanted and self.may_order(now, function):
            self.ordered(now, function)
            yield LoadOrder(worker.id, task.function, min(MOST_COPIES, alike // task.lanes + 1))
