"""The policy's choice taken apart, so that each part of a score can be followed and changed alone.

`Parted` chooses as `routing.Gateway` does (`tests/benchmarks/test_benchmark_fleet.py` holds it to that) and
keeps the scores of its last choice. What a candidate changes is one of the methods under "Parts".
"""

from typing import NamedTuple

from gaproute.decisions.routing import Gateway
from gaproute.decisions.routing import score as policy
from gaproute.decisions.routing.beliefs import SECOND, WIDE, Worker


class Scored(NamedTuple):
    """Points of one host; `queue`, `memory` and `doubt` are taken off."""

    host: Worker
    warmth: float
    copy: float
    queue: float
    memory: float
    prior: float
    near: float
    doubt: float

    @property
    def score(self):
        return self.copy - self.queue - self.memory + self.prior + self.near - self.doubt


class Parted(Gateway):
    slack = 0.0  # points below the best up to which a worker is still scored

    def __init__(self, world, place, terms, now):
        super().__init__(place, terms, now)
        self.world, self.number, self.latest = world, place, []

    # Parts

    def queue(self, worker, task, now):
        """Tasks taken to be at the worker."""
        return self.queued(worker, task.lanes, now)

    def queue_weight(self, heat):
        return policy.QUEUE + (policy.QUEUE_HOT - policy.QUEUE) * heat

    def prior(self, name, worker, rank, width, prior):
        """At most prior * PRIOR_FALL ** (rank // width)."""
        return prior * policy.PRIOR_FALL ** (rank // width or policy.OTHERS * (rank != self.own % width))

    def copy(self, name, worker, rank, width, warmth):
        """Warmth of the worker's copy, by what this gateway believes."""
        return warmth

    def pick(self, scored):
        best = max(each.score for each in scored)
        ties = [each.host for each in scored if each.score == best]
        if len(ties) > 1:
            ties.sort(key=lambda worker: worker.place)
        return ties[self.chance.below(len(ties))]

    # The whole

    def scores(self, now, task, trail, function, able):
        capacity = self.capacity if able is self.fleet else sum([worker.capacity for worker in able])
        usual_memory = None
        lanes = max(task.lanes, policy.ROOM) * len(able) / capacity
        breadth = self.breadth(task.function)
        heat, width = min(1.0, breadth), max(1, int(WIDE * breadth))
        weight = self.queue_weight(heat)
        prior = policy.PRIOR + (policy.PRIOR_HOT - policy.PRIOR) * heat
        worth = policy.WARMTH * max(1.0, self.load_usual(None) / self.shortest)
        doubts = {worker.id: self.doubt(worker, task.request_class, now) for worker in able if worker.bad}
        for zone, until in self.silent.items():
            if now < until or trail.failed:
                doubts.update({worker.id: 1.0 for worker in able if worker.zone == zone})
        best, scored = None, []
        least = self.near - policy.QUEUE / (lanes * self.strongest) + self.slack
        for worker, warmth, rank, most in self.contenders(now, task.function, function, able, prior, width):
            if best is not None and most + least < best - policy.NIL:
                break
            pace = worker.slow if now < worker.slow_until else 1.0
            strength = worker.capacity / pace
            if now < worker.warm_at:
                strength *= self.power(worker, now)
            if worker.memory is None and usual_memory is None:
                memories = [worker.memory for worker in self.fleet if worker.memory is not None]
                usual_memory = sum(memories) / len(memories) if memories else 0.0
            warmth = self.copy(task.function, worker, rank, width, warmth) / pace
            scored.append(
                Scored(
                    worker,
                    warmth,
                    worth * warmth,
                    weight * (self.queue(worker, task, now) + 1) / (lanes * strength),
                    policy.MEMORY * (usual_memory if worker.memory is None else worker.memory),
                    self.prior(task.function, worker, rank, width, prior) * (1 - warmth),
                    self.near if worker.zone == self.zone else 0.0,
                    policy.SHUN * doubts.get(worker.id, 0.0),
                )
            )
            best = scored[-1].score if best is None else max(best, scored[-1].score)
        return scored

    def choose(self, now, task, trail):
        function = self.function(task.function, task.lanes)
        resting = now < function.rests_until and not trail.failed
        able = self.able(now, task, trail, function, resting)
        if not able:
            return None
        self.latest = self.scores(now, task, trail, function, able)
        worker = self.pick(self.latest)
        if now < worker.warm_at and self.chance.below(SECOND) >= worker.credit * SECOND:
            worker.credit = 0.0
            return self.choose(now, task, trail)
        if now < worker.full_until and not resting and not trail.failed:
            function.rests_until = worker.full_until
            return self.choose(now, task, trail)
        return worker if now >= worker.full_until else None


class Alike(Parted):
    """As it was when the candidates were measured: first choices that count alike have all of the prior."""

    def prior(self, name, worker, rank, width, prior):
        return prior * policy.PRIOR_FALL ** (rank // width)
