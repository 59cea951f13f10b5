"""What all rounds did to the truth at the hosts, judged by one who sees all.

Defined before anything was measured. At each change, for each row of the floor (by the true demand; of a
round as long as it runs), W is what hosts truly give that take new tasks; `taken` is what the hosts that a
round has in hand (told to drain, away, or back without all that they had) gave before and do not give now.
- W >= floor: kept.
- W < floor and W + taken < floor: `own`: broken without any round too. Counted, no breach.
- W < floor <= W + taken: a breach: without the round it would be kept. It is `promised` where what failed
  unasked is no more than was to be looked ahead for (one host, rack or zone, by `survive`; nothing by "") and
  demand has not risen since the round took its last host; else `beyond`, by what failed.
A host that failed unasked counts as failed until it has again what it had; one that gave nothing just then
does not.
"""

from gaproute.maintenance import capacity_floor


class FloorJudge:
    def __init__(self, play):
        self.play = play
        self.had = {}  # host in a round's hands: the copies it had
        self.failed = {}  # host: (what befell it, the copies it had)
        self.risen = False  # demand rose since a round last took a host
        self.last = {}  # host: what it gave when last looked at
        self.bad = {}  # (round, row): the class of the breach that stands
        self.breaches, self.own = [], 0  # [(time, row, floor, W, class, what, step)]
        self.broken, self.events, self.ends = [], [], {}  # texts; [(time, scheduler, log line)]
        self.there = []
        self.seen, self.dirty, self.touch = {}, True, ""
        self.outs, self.lost = 0, 0

    # What hosts tell of themselves

    def takes(self, host):
        self.had.setdefault(host.host.name, tuple(host.copies))
        self.dirty, self.risen, self.touch = True, False, f"drain {host.host.name}"

    def serves(self, host):
        self.dirty = True
        if set(host.copies) >= set(self.had.get(host.host.name, ())):
            self.had.pop(host.host.name, None)

    def restarts(self, host, now, tasks):
        self.outs, self.dirty = self.outs + 1, True
        self.touch = f"out {host.host.name}"
        if tasks:
            self.lost += tasks
            self.broken.append(f"tasks in hand end before out: {tasks} at {host.host.name}")

    def pulled(self, host):
        self.fails(host.host.name, "pulled")

    def fails(self, name, what):
        if self.last.get(name):  # one that gave nothing took nothing with it
            self.failed.setdefault(name, (what, tuple(self.last[name])))
        self.dirty, self.touch = True, f"{what} {name}"

    def rises(self):
        self.risen, self.dirty, self.touch = True, True, "demand"

    def logs(self, name, running):
        for line in running.log:
            self.events.append((self.play.world.now, name, *line))
        running.log = []
        stage = running.stage
        if stage in ("ended", "refused") and running.asked.name not in self.ends:
            self.ends[running.asked.name] = self.play.world.now, stage, running.why
            self.dirty = True

    # Looking

    def at(self, world, name):
        """Rounds of this scheduler that hold the turn at this true moment."""
        seat = world.seats[name]
        own = seat.clock.own(world.now)
        rounds = seat.actor.rounds if seat.actor is not None else []
        return [running for running in rounds if running.holds(own)]

    def places(self):
        return [self.play.world.seats[name] for name in self.play.fleet]

    def warm(self):
        came = {}
        for name in self.play.fleet:
            seat = self.play.world.seats[name]
            came[name] = seat.actor.warm() if seat.actor is not None and not seat.paused else {}
        return came

    def __call__(self, world, seat):
        """For `InvariantChecks.touched`."""
        if seat.name in self.play.fleet:
            actor = seat.actor
            sign = (
                None
                if actor is None
                else (actor.start, actor.down, actor.draining, actor.warms, tuple(actor.copies))
            )
            if self.seen.get(seat.name) != sign:
                self.seen[seat.name], self.dirty = sign, True
        elif seat.name in self.play.schedulers:
            broken, seat.actor.breaches = seat.actor.breaches, []
            yield from broken
            turns = [running.asked.name for name in self.play.schedulers for running in self.at(world, name)]
            if len(turns) > 1:
                yield f"one round has the turn: {turns} at once"
        there = [place.actor is not None and not place.paused for place in self.places()]
        if there != self.there:  # a crash comes between the steps of actors
            self.there, self.dirty = there, True
        if self.dirty:
            self.look(world.now)
        while self.broken:
            yield self.broken.pop()

    def look(self, now):
        play, warm = self.play, self.warm()
        if len(play.started) < len(play.fleet):
            return  # the run has not begun
        for name, seat in ((name, play.world.seats[name]) for name in play.fleet):
            if seat.actor is None or seat.paused:
                self.fails(name, "died")
        for name in [
            name
            for name, copies in self.had.items()
            if set(warm[name]) >= set(copies) and not play.world.seats[name].actor.warms
        ]:
            del self.had[name]
        for name in [name for name, (_, copies) in self.failed.items() if set(warm[name]) >= set(copies)]:
            del self.failed[name]
        whole = {
            name: dict.fromkeys(self.had[name], play.fleet[name].lanes) if name in self.had else functions
            for name, functions in warm.items()
        }
        self.last, self.dirty = warm, False
        have, might = capacity_floor.standing(play.fleet, warm), capacity_floor.standing(play.fleet, whole)
        for asked in play.rounds:
            if asked.name in self.ends:
                continue
            for row, least in capacity_floor.need(asked, play.demand, play.zones).items():
                key, there = (asked.name, row), have.get(row, 0)
                if there >= least:
                    self.bad.pop(key, None)
                elif key not in self.bad:
                    self._breach(now, asked, key, row, least, there, might.get(row, 0))

    def _breach(self, now, asked, key, row, least, there, might):
        if might < least:
            self.own += 1
            self.bad[key] = "own"
            return
        level, names = asked.survive, list(self.failed)
        things = (
            {name if level == "host" else getattr(self.play.fleet[name], level) for name in names}
            if level
            else names
        )
        promised = not self.risen and len(things) <= (1 if level else 0)
        what = sorted({self.failed[name][0] for name in names} | ({"demand"} if self.risen else set()))
        kind = "promised" if promised else "beyond"
        self.bad[key] = kind
        self.breaches.append((now, asked.name, row, least, there, kind, tuple(what), len(things), self.touch))
