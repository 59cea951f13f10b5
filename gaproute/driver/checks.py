"""Runs what each part says must always hold, after each step of a run, and says what was broken, where."""


class Breach(Exception):
    """`name` of the check, `text`, and all that is needed to play it again: seed, step, true time in ns, plan,
    and the last events before it."""

    def __init__(self, name, text, world):
        self.name, self.text, self.seed = name, text, world.plan.seed
        self.step, self.now, self.plan = world.step, world.now, world.plan
        self.events = [world.worded(event) for event in world.last]
        super().__init__(f"{name}: {text}; seed {self.seed}, step {self.step}, {self.now / 1e9:.6f} s")

    def report(self):
        return "\n".join([str(self), *self.events, self.plan.text()])


class Checks:
    """`touched`: [(name, check(world, seat))], over the one actor that has just acted, at every step. `whole`:
    [(name, check(world))], over all, at each `every`-th step and at the end. A check returns texts of what is
    broken, none if all is well; it may keep what it saw (that something only grows)."""

    __slots__ = ("touched", "whole", "every", "left", "runs")

    def __init__(self, touched=(), whole=(), every=1):
        self.touched, self.whole, self.every = list(touched), list(whole), every
        self.left, self.runs = every, 0

    def acted(self, world, seat):
        for name, check in self.touched:
            for text in check(world, seat):
                raise Breach(name, text, world)
        self.left -= 1
        if self.left <= 0:
            self.left = self.every
            self.all(world)

    def all(self, world):
        self.runs += 1
        for name, check in self.whole:
            for text in check(world):
                raise Breach(name, text, world)


class Grows:
    """A check for `Checks.touched`: what `value(actor)` tells of one actor (None: nothing) never gets less. With
    `lives` it begins anew at each start of the process, without it at a lost disk only."""

    def __init__(self, value, lives=False):
        self.value, self.lives, self.seen = value, lives, {}

    def __call__(self, world, seat):
        value = self.value(seat.actor)
        if value is None:
            return
        key = seat.name, seat.disk.lives, seat.life if self.lives else 0
        before = self.seen.get(key)
        self.seen[key] = value
        if before is not None and value < before:
            yield f"{seat.name}: {value} after {before}"
