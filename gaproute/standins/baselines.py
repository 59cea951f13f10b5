"""Choices to measure beside the module's own: the same rules, tasks and guards, another way to pick a
host."""

from gaproute.decisions.routing import Gateway


class Plain(Gateway):
    """Keeps the rules as the module does and leaves out what its choice adds."""

    def choose(self, now, task, trail):
        track = self.tracks[task.request_class]
        able = [
            worker
            for worker in self.fleet
            if self.allowed(worker, track, trail, now)
            and (now >= worker.warm_at or worker.credit > 0)
            and worker not in trail.failed
            and all(worker is not held for held, _ in trail.out.values())
        ]
        return self.pick(able) if able else None


class RandomChoice(Plain):
    def pick(self, able):
        return able[self.chance.below(len(able))]


class LeastQueue(Plain):
    """Fewest own tasks in flight for its capacity; ties by chance."""

    def pick(self, able):
        least = min(len(worker.out) / worker.capacity for worker in able)
        return RandomChoice.pick(
            self, [worker for worker in able if len(worker.out) / worker.capacity == least]
        )
