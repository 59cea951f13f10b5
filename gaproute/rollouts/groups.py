"""Groups: the rollouts of one prompt are of one version, or all of them are scrapped."""

from collections import Counter

GROUPS = 4096  # at work at once; beyond it a new one is declined by name
ENDED = 4096  # that ended and are remembered: their late tasks get the same answer


class RolloutGroup:
    __slots__ = ("campaign", "version", "size", "tasks", "good")

    def __init__(self, campaign, version, size):
        self.campaign, self.version, self.size = campaign, version, size
        self.tasks, self.good = {}, 0  # tasks taken in: whether delivered


class RolloutGroups:
    def __init__(self, weights):
        self.weights = weights
        self.open, self.ended = {}, {}  # name: RolloutGroup; name: how it ended
        self.counts = Counter()  # how groups ended: "delivered", or why they were scrapped

    def take(self, group, task, campaign, version, size):
        """Why the task is declined, or ''. The group's first task says its version for all."""
        if group in self.ended:
            return f"group {self.ended[group]}"
        why = self.weights.why_not(campaign, version)
        held = self.open.get(group)
        if held is None:
            if why or len(self.open) >= GROUPS:
                return why or "too many groups"
            held = self.open[group] = RolloutGroup(campaign, version, size)
        elif why or (held.campaign, held.version, held.size) != (campaign, version, size):
            self.scrap(group, why or "of two versions")
            return why or "group of two versions"
        if task not in held.tasks and len(held.tasks) >= held.size:
            return "group is full"
        held.tasks.setdefault(task, False)
        return ""

    def answered(self, group, task, told):
        """An answer by the version `told`. "delivered" once, for the whole group; "" while it waits for
        others; else why all of it is scrapped."""
        held = self.open.get(group)
        if held is None or task not in held.tasks:
            return self.ended.get(group, "unknown")
        if self.weights.served(held.version, told) == "scrapped":
            return self.scrap(group, "answered by another version")
        held.good += not held.tasks[task]
        held.tasks[task] = True
        return self._end(group, "delivered") if held.good == held.size else ""

    def scrap(self, group, why):
        """Whole: what of it was answered counts nothing, what runs may be cancelled."""
        return self._end(group, why) if group in self.open else self.ended.get(group, "unknown")

    def aged(self):
        """Groups that became too old: [(group, its tasks)], scrapped by this."""
        came = [
            (name, list(held.tasks))
            for name, held in self.open.items()
            if self.weights.why_not(held.campaign, held.version)
        ]
        for name, _ in came:
            self.scrap(name, "too old")
        return came

    def _end(self, group, how):
        del self.open[group]
        self.ended[group] = how
        if len(self.ended) > ENDED:
            del self.ended[next(iter(self.ended))]
        self.counts[how] += 1
        return how
