"""The model of a host, without a protocol: tasks share its cores, copies run lanes, troubles strike.

Cores are shared by the tasks at work; a model's copy runs `lanes` tasks at a time and takes memory; an idle
copy goes after `keep`, or sooner when a load needs the room. A host that has just started can do a part of
its work; sent far more than that for `tip` it falls over and stays down.

Troubles are commands: {"trouble": NAME, "share": 0..1, "factor": x, "track": T, "on": true or false}. Names:
hang (takes work, answers nothing), lost (does the work, its answer never comes), fail (quick errors), slow
(`factor` times), refuse (says it is full), cut (ends in the middle of the answer), reset (closes connections
as tasks come), heavy (a share of tasks costs `factor` times the work). Others are the servers' own.
"""

import random
from collections import Counter

from gaproute.standins.model_server import invariants
from gaproute.standins.model_server.instances import InstancePool
from gaproute.standins.model_server.profiles import AWAITED_LOAD, BEGAN_LOAD, FAILED, MILLI, WARM, HostRequest

# How a task ends: `HostRequest.answer(work, end)`
FULL, ERROR, RESET, DONE, CUT, NO_LOAD = "full", "error", "reset", "done", "cut", "the load failed"
FATES = ("hang", "refuse", "fail", "reset", "lost", "cut")  # troubles of a single task, in order
TOLD = ("cores", "speed", "cold_share", "cold_time", "fall_multiple", "tip")  # at its start, to the judge
SHAPE = 4  # of the gamma distribution of work: a spread of half the mean
ROUNDING = 10_000  # ns: work that is done but for this is done, so that timers never spin
TICK = 50 * MILLI  # between looks at idle copies and writes of the tap
ORDER_LOOK = 20 * MILLI  # between looks whether what was ordered stands


class ModelServer:
    """`fetch(model)`: a promise of whether the store gave it; `fell()` is called when it falls over."""

    def __init__(self, loop, make, models, fetch, seed, tap, warm=False):
        self.loop, self.make, self.models, self.tap, self.warm = loop, make, models, tap, warm
        self.random = random.Random(seed)
        self.began = loop.now() - (make.cold_time if warm else 0)
        self.pool = InstancePool(loop, make, self.random, fetch, tap, self.came, self.load_failed)
        self.work = []  # tasks at work
        self.at, self.timer = loop.now(), None
        self.faults = {}  # name: its command
        self.down = False
        self.fell = lambda: None
        self.arrived = []  # (time, work) of the last `tip`, while cold
        self.counts = Counter()
        self.routines, self.stopped = [], False
        self.pool.spawn = self.spawn
        if warm:
            self.pool.warm_up(sorted(models))

    def start(self):
        told = {name: getattr(self.make, name) for name in TOLD}
        self.tap.note("up", host=self.make.name, warm=self.warm, **told)
        self.tick()

    def stop(self):
        """Dead: nothing of it goes on, and its tap ends here."""
        self.stopped = self.down = True
        if self.timer is not None:
            self.timer.cancel()
        routines, self.routines, self.work = self.routines, [], []
        for routine in routines:
            routine.cancel()
        self.tap.flush()

    def spawn(self, generator):
        self.routines = [routine for routine in self.routines if not routine.done.ready]
        self.routines.append(self.loop.spawn(generator))
        return self.routines[-1]

    # Capacity

    def power(self, now):
        if now >= self.began + self.make.cold_time:
            return 1.0
        return self.make.cold_share + (1 - self.make.cold_share) * (now - self.began) / self.make.cold_time

    def rate(self, now):
        """Core time that each task at work gets in one ns."""
        slow = self.faults.get("slow", {}).get("factor", 1.0)
        full = self.make.cores * self.make.speed * self.power(now) / slow
        return min(full / len(self.work), self.make.speed / slow)

    def figures(self):
        """The load as it is: tasks waiting, tasks in hand, shares of the cores and of the memory in use."""
        waiting = self.pool.waiting()
        cores = min(1.0, len(self.work) / (self.make.cores * self.power(self.loop.now())))
        return waiting, len(self.work) + waiting, cores, self.pool.held() / self.make.copies

    # Tasks

    def take(self, name, mark, model, link, answer, limit=None):
        """A task came over the connection `link`: its `HostRequest`, or None where it has ended or
        never will. `limit`: the deadline that came with it, ns from its arrival; None where the form has
        none."""
        now = self.loop.now()
        amount = self.random.gammavariate(SHAPE, model.work / SHAPE)
        copies = self.pool.of(model.name)
        heavy = self.faults.get("heavy")
        if (
            heavy
            and heavy.get("track", model.track) == model.track
            and self.random.random() < heavy.get("share", 0.02)
        ):
            amount *= heavy.get("factor", 10)
        work = HostRequest(name, mark, model, amount, copies.busy + len(copies.waiting), answer)
        self.tap.note("task", id=name, mark=mark, track=model.track, work=model.work, link=link, limit=limit)
        self.counts["tasks"] += 1
        self.weigh(now, model.work)
        if self.down:
            return None
        work.fate = self.fate(model.track)
        if work.fate == "refuse" or len(copies.waiting) >= self.make.queue:
            answer(work, FULL)
        elif work.fate == "fail":
            answer(work, ERROR)
        elif work.fate == "reset":
            self.tap.note("cut", id=name)
            answer(work, RESET)
        elif work.fate != "hang":
            self.admit(work, copies)
            self.plan()
            return work
        return None

    def fate(self, track):
        for name in FATES:
            trouble = self.faults.get(name)
            if (
                trouble
                and trouble.get("track", track) == track
                and self.random.random() < trouble.get("share", 1)
            ):
                return name
        return None

    def weigh(self, now, amount):
        """Falls over when more than so many times what it can do comes within `tip`, while it is cold."""
        if now >= self.began + self.make.cold_time:
            return
        self.arrived = [(at, each) for at, each in self.arrived if at > now - self.make.tip] + [(now, amount)]
        able = self.make.cores * self.make.speed * self.power(now) * self.make.tip
        if sum(each for _, each in self.arrived) > self.make.fall_multiple * able:
            self.tap.note("fell over")
            self.down = True
            self.fell()

    def admit(self, work, copies):
        self.advance()
        if copies.busy < copies.stand * work.model.lanes:
            copies.busy += 1
            self.work.append(work)
            return
        work.found = AWAITED_LOAD if copies.loading else WARM if copies.stand else BEGAN_LOAD
        copies.waiting.append(work)
        wanted = -(-(copies.busy + len(copies.waiting)) // work.model.lanes)
        if (
            copies.stand + copies.loading == 0
            or self.make.adds_copies
            and copies.stand + copies.loading < wanted
            and not copies.loading
        ):
            self.pool.load(work.model)

    def left(self, work):
        """The gateway took the relay back: what waits is dropped, what is at work runs on."""
        copies = self.pool.instances[work.model.name]
        if work in copies.waiting:
            copies.waiting.remove(work)

    # Loads

    def came(self, model, copies):
        self.advance()
        self.fill(model, copies)
        self.plan()

    def load_failed(self, copies):
        """The store turned the fetch away again and again: what waits for this load alone fails."""
        if not copies.stand + copies.loading:
            waiting, copies.waiting = copies.waiting, []
            for work in waiting:
                work.found = FAILED
                work.answer(work, NO_LOAD)

    def fill(self, model, copies):
        while copies.waiting and copies.busy < copies.stand * model.lanes:
            copies.busy += 1
            self.work.append(copies.waiting.pop(0))

    def order(self, name, count, gateway, link):
        """A load order. A promise of the copies that stand at its end; None where there is no room."""
        self.tap.note("order", model=name, count=count, gateway=gateway, link=link)
        if not self.pool.order(self.models[name], count):
            return None
        return self.spawn(self.ordered(self.pool.instances[name], count)).done

    def ordered(self, copies, count):
        while copies.stand < count and copies.loading:
            yield self.loop.sleep(ORDER_LOOK)
        return copies.stand

    # HostRequest done

    def advance(self):
        now = self.loop.now()
        if self.work:
            done = self.rate(now) * (now - self.at)
            for work in self.work:
                work.left -= done
        self.at = now

    def plan(self):
        if self.timer is not None:
            self.timer.cancel()
        if self.work:
            left = max(0.0, min(work.left for work in self.work))
            self.timer = self.loop.after(round(left / self.rate(self.loop.now())) + ROUNDING, self.serve)

    def serve(self):
        self.advance()
        for work in [work for work in self.work if work.left <= ROUNDING]:
            self.work.remove(work)
            self.finish(work)
        self.plan()

    def finish(self, work):
        copies = self.pool.instances[work.model.name]
        copies.busy -= 1
        copies.idle_since = self.loop.now()
        self.fill(work.model, copies)
        self.counts["done"] += 1
        self.tap.note("ran", id=work.id, found=work.found, mark=work.mark)
        if work.fate == "cut":
            self.tap.note("cut", id=work.id)
        if work.fate != "lost":
            work.answer(work, CUT if work.fate == "cut" else DONE)

    def tick(self):
        if not self.stopped:
            self.pool.let_go(self.loop.now())
            for check, text in invariants.breaches(self):
                self.tap.note("breach", check=check, text=text)
            self.tap.flush()
            self.loop.after(TICK, self.tick)

    # Commands

    def command(self, told):
        name = told.get("trouble")
        self.tap.note("trouble", **{"name": name, "on": told.get("on", True)})
        self.tap.flush()
        self.advance()
        if told.get("on", True):
            self.faults[name] = told
        else:
            self.faults.pop(name, None)
        self.plan()
