"""Runs what each part says must always hold, after each step of a run, and says what was broken, where."""


class InvariantViolationError(Exception):
    """`name` of the check, `text`, and all that is needed to play it again: seed, step, true time in ns,
    plan, and the last events before it."""

    def __init__(self, text, world):
        self.name = text.partition(":")[0]
        self.text, self.seed = text, world.plan.seed
        self.step, self.now, self.plan = world.step, world.now, world.plan
        self.events = [world.worded(event) for event in world.last]
        super().__init__(f"{text}; seed {self.seed}, step {self.step}, {self.now / 1e9:.6f} s")

    def report(self):
        return "\n".join([*self.events, str(self), self.plan.text()])


class InvariantChecks:
    """Each check returns texts of what is broken, "name: what"; none if all is well. It may keep what it saw.

    `touched`: check(world, seat), over the one actor that has just acted, at every step. `sent`: check(world,
    seat, to, message), of each message before it goes out. `whole`: check(world), over all, at each
    `every`-th step and at the end. `last`: check(world), at the end alone: that all came right again.
    """

    __slots__ = ("touched", "sent", "whole", "last", "every", "left", "runs")

    def __init__(self, touched=(), sent=(), whole=(), last=(), every=1):
        self.touched, self.sent, self.whole, self.last = touched, sent, whole, last
        self.every, self.left, self.runs = every, every, 0

    def acted(self, world, seat):
        for check in self.touched:
            for text in check(world, seat):
                raise InvariantViolationError(text, world)
        self.left -= 1
        if self.left <= 0:
            self.left = self.every
            self.all(world)

    def sends(self, world, seat, to, message):
        for check in self.sent:
            for text in check(world, seat, to, message):
                raise InvariantViolationError(text, world)

    def all(self, world, last=False):
        self.runs += 1
        for check in (*self.whole, *self.last) if last else self.whole:
            for text in check(world):
                raise InvariantViolationError(text, world)


class NeverDecreases:
    """For `touched`: what `value(actor)` tells (None: nothing) never gets less while the actor has the same
    disk."""

    def __init__(self, name, value):
        self.name, self.value, self.seen = name, value, {}

    def __call__(self, world, seat):
        value = self.value(seat.actor)
        if value is None:
            return
        key = seat.name, seat.disk.lives
        before = self.seen.get(key)
        self.seen[key] = value
        if before is not None and value < before:
            yield f"{self.name}: {value} after {before} at {seat.name}"
