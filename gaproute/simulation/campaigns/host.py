"""A host of the simulated campaigns: lanes, copies, production that waits. It is the truth that is judged."""

import heapq

MILLI, SECOND = 1_000_000, 1_000_000_000

COLD = 2 * SECOND  # after a start: it says so, and bears little


class SimulatedHost:
    """`play` tells how long a load takes now and is told what runs. Messages are tuples; see `hear`."""

    def __init__(self, play, name, disk, chance, now):
        self.play, self.name = play, name
        self.spec, self.lent = play.hosts[name], play.lent[name]
        self.began, self.cold = now, play.started(name)  # the first start is a warm one
        self.ready = now + (play.loads(name) if self.cold else 0)  # production's copy stands from then
        self.copies, self.loading = set(), {}  # (campaign, version)
        self.running, self.ends, self.queue = {}, [], []  # task: (sender, campaign or "", version)
        self.rollouts = 0
        self.want_since = None
        self.due = None

    @property
    def production(self):
        return len(self.running) - self.rollouts

    def state(self):
        """After each change: production's want is dated."""
        floor = self.spec.lanes - self.lent
        want = bool(self.queue) or self.production >= self.lent and floor > 0
        if not want:
            self.want_since = None
        elif self.want_since is None:
            self.want_since = self.play.world.now
        self.due = min([self.ends[0][0]] if self.ends else [], default=None)
        return want

    def _after(self, when, what):
        heapq.heappush(self.ends, (when, self.play.number(), what))

    def tick(self, now):
        out = []
        while self.ends and self.ends[0][0] <= now:
            _, _, (kind, *told) = heapq.heappop(self.ends)
            if kind == "end":
                out += self._end(now, told[0], "done")
            elif self.loading.pop(told[0], None):
                self.copies.add(told[0])
                out.append((told[1], ("loaded", self.name, told[0])))
        self.state()
        return out

    def _end(self, now, task, how):
        if task not in self.running:
            return []
        sender, campaign, version = self.running.pop(task)
        self.rollouts -= bool(campaign)
        self.play.ran(task, campaign, version, how)
        if self.queue:
            self._run(now, *self.queue.pop(0))
        return [(sender, ("ended", self.name, task, how, version))]

    def _run(self, now, sender, task, campaign, version, lasts, limit):
        if campaign and self.play.case.liars:
            version = max(other for name, other in self.copies if name == campaign)
        self.running[task] = sender, campaign, version
        self.rollouts += bool(campaign)
        if not campaign:
            self.play.waited(task, lasts)
        self._after(now + min(lasts, limit), ("end", task))

    def hear(self, now, sender, message):
        kind, *told = message
        out = getattr(self, "_" + kind)(now, sender, *told)
        self.state()
        return out

    def _ask(self, now, sender, number):
        free = self.lent - len(self.running) if now >= self.ready else 0
        # What production waits for and what of its floor rollouts stand on, which were there before it.
        lacking = len(self.queue) + min(self.rollouts, max(0, len(self.running) - self.lent))
        cold = self.cold and now < self.began + COLD
        return [
            (
                sender,
                (
                    "room",
                    self.name,
                    number,
                    max(0, free),
                    self.state(),
                    lacking,
                    cold,
                    frozenset(self.copies),
                    frozenset(self.loading),
                    self.free_room(),
                ),
            )
        ]

    def free_room(self):
        return self.spec.room - len(self.copies) - len(self.loading)

    def _task(self, now, sender, task, campaign, version, lasts, limit, sent):
        if campaign and self.play.world.now - sent > self.play.way:
            return []  # its connection was closed before it came
        if task in self.running:
            return []  # doubled on its way: a stream has each byte once
        if campaign:
            if (campaign, version) not in self.copies:
                return [(sender, ("ended", self.name, task, "miss", None))]
            if len(self.running) >= self.spec.lanes:
                return [(sender, ("ended", self.name, task, "full", None))]
        elif self.play.came(task) or now < self.ready:
            return [(sender, ("ended", self.name, task, "miss", None))]
        elif len(self.running) >= self.spec.lanes:
            self.queue.append((sender, task, campaign, version, lasts, limit))
            return []
        self._run(now, sender, task, campaign, version, lasts, limit)
        return []

    def _cancel(self, now, sender, task):
        return self._end(now, task, "cancelled")

    def _load(self, now, sender, copy):
        if copy in self.copies or copy in self.loading:
            return [(sender, ("loaded", self.name, copy))] if copy in self.copies else []
        if self.free_room() < 1:
            return [(sender, ("loaded", self.name, None))]
        self.loading[copy] = now
        self._after(now + self.play.loads(self.name), ("load", copy, sender))
        return []

    def _drop(self, now, sender, copy):
        if not any(copy == (campaign, version) for _, campaign, version in self.running.values()):
            self.copies.discard(copy)  # else it is asked again once it is idle
        return []
