"""How long a task would wait, and whether it is declined for it."""

from statistics import median

from gaproute.decisions.routing.beliefs import FLOWS, KEPT, LOAD_LIFE, LOOK, RECENT, ROOM, SECOND
from gaproute.decisions.routing.score import Score

REFUSAL_LIFE = 2 * SECOND  # refusals older than this say nothing of now
SHED = 2.0  # of the shortest contract time: expected wait to decline at; half for no earnings
SHED_QUEUE = 0.3  # of it, the wait in a worker's queue: answers that come have waited least
SHED_SLOPE = 3  # power of bearable over expected wait: at twice the bearable one in eight is taken
SHED_FLOOR = 8  # tasks in hand below which nothing is declined: fewer say nothing of a pace
FULL_FLEET = 1 / 2  # of the last outcomes here are refusals: the fleet is full


class Waits(Score):
    def crowded(self, now, task, track):
        """Whether to decline at once: tasks in hand over the pace of answers promise too long a wait.

        Only relays to standing copies count on both sides: waits for loads are no sign of too much work. All
        tracks share the queues, so the shortest contract time sets how long they may get, and what earns
        least goes first.
        """
        if sum([full and now - at < REFUSAL_LIFE for at, full in self.refusals]) > FULL_FLEET * KEPT:
            return True  # most refuse: to go round the rest would only spread it
        if len(self.answers) < FLOWS // 2:
            return False
        if now - self.counted >= LOOK:
            self.counted = now
            self.in_hand = sum([self.counts(now, key, hand) for key, hand in self.hands.items()])
        flow = len(self.answers) / max(now - self.answers[0], 1)
        return self.in_hand >= SHED_FLOOR and self.in_hand / flow > self.bearable(task, track)

    def counts(self, now, key, hand):
        """Whether a relay in hand waits for a standing copy, at a worker that answers as usual."""
        name, _, track, _, warm = hand
        worker = self.workers[name]
        prompt = warm and key not in worker.late and (worker.slow <= 1 or now >= worker.slow_until)
        return prompt and self.doubt(worker, track, now) < 0.5

    def bearable(self, task, track):
        """The longest expected wait for which a task is taken: half of it where it earns nothing."""
        value = track.priority_weight / self.top_earnings
        shares = self.terms.tenant_shares[task.tenant : task.tenant + 1]  # none where it is not known
        if shares and self.tenants.count(task.tenant) > shares[0] * len(self.tenants):
            value *= self.terms.over_share_value
        return SHED * self.shortest * (0.5 + 0.5 * value)

    def shed(self, now, task, track, worker):
        """Whether to decline since the queue at the best worker promises a wait: the longer the likelier, by
        chance, so that one goes on learning. The wait is its load, else the usual one, times what a unit of
        load took lately. It serves where a gateway sees too few tasks for a pace of its own; harms where one
        worker's queue is of light work."""
        load = self.queued(worker, task.lanes, now) / worker.capacity
        if worker.report is None or worker.reported < now - LOAD_LIFE:
            load = max(load, self.usual_load(now))
        drains = [drain for at, drain in self.drains if now - at < RECENT]
        wait = median(drains) * load if len(drains) >= KEPT and load * worker.capacity >= ROOM else 0
        bearable = SHED_QUEUE * self.bearable(task, track)
        return wait > bearable and self.chance.below(SECOND) > (bearable / wait) ** SHED_SLOPE * SECOND
