"""One task, from acceptance to its one final answer."""

from gaproute.decisions.route.beliefs import MILLI, SECOND, Trail
from gaproute.decisions.route.booked import Booked
from gaproute.interface import Cancel, Decline, Effect, Order, Relay, Result, Scrap, Wait

PAUSE = 100 * MILLI  # between looks while a task waits for a worker: half an answer time, spares the CPU
ANSWER_BY = 4 * MILLI  # before the time is up: the final answer leaves a tick early


class Serving(Booked):
    def serve(self, now, task):
        """One task, from acceptance to its one final answer."""
        track, trail, came, why = self.tracks[task.track], Trail(), now, "nobody"
        end = now + task.time_left - ANSWER_BY
        function = self.function(task.function, task.lanes)
        function.lanes, function.used = task.lanes, now
        if function.told:
            self.consider(now, task.function, function)
        self.mix.append(task.function)
        self.tenants.append(task.tenant)
        if now < self.all_warm_at and all([now < worker.warm_at for worker in self.fleet]):
            self.spread_credit(now)
        if self.crowded(now, task, track):
            yield Decline(self.advice(track), "crowded")
            return
        give_up, look = now + track.contract_time, now  # and when to look for a worker again
        while now < min(end, self.end_by):
            if now >= look:
                worker = self.choose(now, task, trail)
                if worker is not None and not trail.relays and self.shed(now, task, track, worker):
                    why = "queue"
                    break
                if worker is not None:
                    relay = yield Relay(worker.id, self.begin_by(track, trail, end))
                    look = self.sent(now, task, relay, worker, trail)
                elif trail.out:
                    look = now + self.usual(function)
                elif (
                    now >= give_up
                    or trail.relays >= self.terms.relay_limit
                    or not any(self.allowed(worker, track, trail, now) for worker in self.fleet)
                ):
                    break
                else:
                    look = now + PAUSE
            now, outcome = yield Wait(min(look, end, give_up if now < give_up else end))
            if outcome is None:
                # Late work holds up the rest of a crowded fleet and earns little: it makes room where it may.
                if (
                    trail.out
                    and now >= give_up
                    and track.effect is Effect.PURE
                    and self.crowded(now, task, track)
                ):
                    why = "late"
                    break
                if trail.out and look <= now < end:
                    look = self.overdue(now, task, trail, function)
                continue
            if outcome.result is Result.BEGUN:
                while not outcome.ended:  # a begun stream has no deadline; nothing else may be started
                    now, outcome = yield Wait(now + SECOND)
                return
            if outcome.relay in trail.out:
                held, _ = trail.out[outcome.relay]
                trail.settle(outcome.relay, outcome.result)
                if outcome.result is Result.OK:
                    self.ration.delivered(now, came)
                    self.sharing.task()
                    yield from self.more_copies(now, task, function, held, outcome)
            if outcome.ended:
                for relay in trail.out if self.terms.cancel_allowed else ():
                    yield Cancel(relay)
                return
            look = now
            if outcome.result is Result.FULL and not trail.out and self.crowded(now, task, track):
                why = "full"
                break  # one refusal in a full fleet is proof enough; the client is told at once
            if outcome.result is Result.MISS and held.active and self.may_order(now, function):
                self.ordered(now, function)
                yield Order(held.id, task.function, 1)
                function.seen[held.id] = now
                look = now + outcome.took  # the order is there once a round trip has passed
        for relay in trail.out if self.terms.cancel_allowed else ():
            yield Cancel(relay)
        if trail.first is None or track.effect is Effect.PURE:
            yield Decline(self.advice(track), why)
        else:
            yield Scrap()

    def more_copies(self, now, task, function, worker, outcome):
        """Order one more copy where tasks of the function outnumber the lanes of those that stand: serves hot
        functions where only orders add copies; elsewhere it finds them standing (see `Ration.worth`)."""
        if outcome.alike is None or outcome.alike < task.lanes or not worker.active:
            return
        copies = min(16, outcome.alike // task.lanes + 1)
        if self.ration.worth(self.chance) and self.may_order(now, function):
            self.ordered(now, function)
            yield Order(worker.id, task.function, copies)
