"""The choice of a worker: the highest score wins."""

from bisect import bisect_left

from gaproute.decisions.routing.allowed import Allowed
from gaproute.decisions.routing.beliefs import LONG, ROOM, SECOND, WIDE

WARMTH = 6.0  # points for a fresh copy: it outweighs a free place, all memory and the prior
QUEUE = 0.5  # points lost for each ROOM of tasks queued, where a load serves one task alone
QUEUE_HOT = 1.6  # the same for a hot function: a shorter queue repays one more copy
MEMORY = 1.0  # points between an empty and a full memory: among cold ones, not against copies
PRIOR = 2.0  # points for the stable hash's first choice: a third of a copy's, which is kept
PRIOR_HOT = 3.3  # the same for a hot function, kept loaded by others: warm with a free lane still wins
PRIOR_FALL = 0.85  # of PRIOR, from each choice to the next: gateways agree on where to spill, ten deep
DEEPER = 4  # times as many workers are ranked where those ranked so far did not settle a choice
OTHERS = 0.45  # of a step of it, for first choices that count alike but are other gateways' own
SHUN = 12.0  # points lost by a worker sure to fail: twice a fresh copy, so it ranks even suspects
NIL = 1e-9  # points below which two sums of the same terms may differ by rounding alone


class Score(Allowed):
    def able(self, now, task, trail, function, resting):
        """The workers that may get the task now; all of the fleet where nothing speaks against any."""
        track, able = self.tracks[task.request_class], self.fleet
        if trail.relays or now < self.all_warm_at:
            held = [worker for worker, _ in trail.out.values()]
            able = [each for each in able if each not in held and self.allowed(each, track, trail, now)]
            # A cold worker gets no more than its credit (see `spread_credit`): it must not be pushed over.
            able = [worker for worker in able if now >= worker.warm_at or worker.credit > 0]
        if trail.failed:
            able = [worker for worker in able if worker not in trail.failed] or able
            # What a full worker turned away goes to a copy that stands: one more load would feed the jam.
            able = [worker for worker in able if self.warmth(function, worker, now) > 0] or able
        if resting:
            able = [each for each in able if now >= each.full_until and self.warmth(function, each, now) > 0]
        return able

    def choose(self, now, task, trail):
        function = self.function(task.function, task.lanes)
        resting = now < function.rests_until and not trail.failed
        able = self.able(now, task, trail, function, resting)
        if not able:
            return None
        capacity = self.capacity if able is self.fleet else sum([worker.capacity for worker in able])
        lanes = max(task.lanes, ROOM) * len(able) / capacity
        breadth = self.breadth(task.function)
        heat, width = min(1.0, breadth), max(1, int(WIDE * breadth))
        queue_weight = QUEUE + (QUEUE_HOT - QUEUE) * heat
        prior = PRIOR + (PRIOR_HOT - PRIOR) * heat
        worth = WARMTH * max(1.0, self.load_usual(None) / self.shortest)
        doubts = {worker.id: self.doubt(worker, task.request_class, now) for worker in able if worker.bad}
        for zone, until in self.silent.items():
            if now < until or trail.failed:
                doubts.update({worker.id: 1.0 for worker in able if worker.zone == zone})
        best, scored, usual_memory = -LONG, [], None
        for worker, warmth, rank, most in self.contenders(now, task.function, function, able, prior, width):
            # The order is such that none after this one can score more than `most` and an empty queue allow.
            if most + self.near - queue_weight / (lanes * self.strongest) < best - NIL:
                break
            pace = worker.slow if now < worker.slow_until else 1.0
            strength = worker.capacity / pace * (self.power(worker, now) if now < worker.warm_at else 1.0)
            if worker.memory is None and usual_memory is None:
                memories = [worker.memory for worker in self.fleet if worker.memory is not None]
                usual_memory = sum(memories) / len(memories) if memories else 0.0
            warmth /= pace
            fall = PRIOR_FALL ** (rank // width or OTHERS * (rank != self.own % width))
            score = (
                worth * warmth
                - queue_weight * (self.queued(worker, task.lanes, now) + 1) / (lanes * strength)
                - MEMORY * (usual_memory if worker.memory is None else worker.memory)
                + prior * fall * (1 - warmth)
                + (self.near if worker.zone == self.zone else 0.0)
                - SHUN * doubts.get(worker.id, 0.0)
            )
            scored.append((-score, worker.place))
            if now >= worker.warm_at:  # a cold one may yet be passed over
                best = max(best, score)
        scored.sort()
        while scored:
            ties = bisect_left(scored, (scored[0][0], LONG))
            worker = self.fleet[scored.pop(self.chance.below(ties))[1]]
            if now < worker.warm_at and self.chance.below(SECOND) >= worker.credit * SECOND:
                worker.credit = 0.0
                continue
            # One that turned a task away just now gets none for a moment: refusals come fast and look like
            # ease; what goes round full workers or loads elsewhere feeds the jam. What it refused moves on.
            if now < worker.full_until and not resting and not trail.failed:
                function.rests_until = worker.full_until
                return self.choose(now, task, trail)
            return worker if now >= worker.full_until else None
        return self.choose(now, task, trail)  # all were cold and passed over: those not asked so far

    def contenders(self, now, name, function, able, prior, width):
        """The able workers as (worker, warmth, rank, most): those believed warm, then the others by rank.

        `most` is a bound on the score of this one and all that follow, but for the cost of a queue: no warm
        one is told it, and of the others the prior is all that they can have. It spares scoring those that
        cannot win, which in a large fleet are nearly all; the choice stays as if all were scored.
        """
        ranks = self.ranks(name, function)
        done = set() if able is self.fleet else set(self.fleet).difference(able)
        for seen in function.seen:
            worker = self.workers[seen]
            if worker not in done and (warmth := self.warmth(function, worker, now)) > 0:
                if seen not in ranks:
                    ranks = self.ranks(name, function, len(self.fleet))
                done.add(worker)
                yield worker, warmth, ranks[seen], LONG
        for rank in range(len(self.fleet)):
            if rank == len(function.order):
                self.ranks(name, function, DEEPER * rank)
            if (worker := function.order[rank]) not in done:
                yield worker, 0.0, rank, prior * PRIOR_FALL ** (rank // width)
