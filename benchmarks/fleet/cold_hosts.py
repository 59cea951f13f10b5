"""Stand-in hosts that fall when they get too much while they are cold, and gateways that send to them."""

from collections import deque
from math import sqrt

from benchmarks.fleet.clock import MILLI, SECOND
from benchmarks.fleet.gateways import One
from benchmarks.fleet.hosts import WAY, Host
from gaproute import interface as face

ZONES = 3
PACE = 12.0  # requests of mean work a second that a warm host does
WORK = 80 * MILLI  # of a request on an idle host, beside its turn
LOAD = 500 * MILLI  # of a copy
FULL = 1500 * MILLI  # of work waiting, at which a host turns requests away
LIGHT, HEAVY, SELDOM = 0.6, 2.6, 5  # work of requests; one in so many is heavy: the mean is 1
COLD, TIP, MULTIPLE = 9 * SECOND, 1500 * MILLI, 2.5  # as the settings tell them, but a shorter cold time


class ColdHost(Host):
    """Does its work in turn, slower while it is cold."""

    def __init__(self, number, told, started=None):
        super().__init__(number % ZONES, 1.0, started)
        self.day, self.free, self.got = told, 0, []  # (when, work, whether by one told of its start)

    def power(self, now):
        if self.started is None or now - self.started >= COLD:
            return 1.0
        gained = (now - self.started) / COLD if self.day.gain == "even" else 0
        return self.day.share + (1 - self.day.share) * gained

    def full(self, now):
        return self.free - now > FULL

    def take(self, now, function, work):
        self.busy += 1
        stands = self.copies.get(function)
        warm = stands is not None and stands <= now
        if stands is None:
            stands = self.copies[function] = now + LOAD
        self.free = max(now, self.free) + int(work * SECOND / PACE / self.power(now))
        return max(self.free, stands) - now + WAY + WORK, warm

    def worst(self):
        """(Most of the budget that a window used up, whether the told sent two thirds of the first fall)."""
        window, work, by_told, worst, broken = deque(), 0.0, 0.0, 0.0, False
        for at, one, told in self.got:
            if at >= self.started + COLD:
                break
            window.append((at, one, told))
            work, by_told = work + one, by_told + one * told
            while window[0][0] <= at - TIP:
                _, old, old_told = window.popleft()
                work, by_told = work - old, by_told - old * old_told
            bears = MULTIPLE * PACE * self.power(max(self.started, at - TIP)) * TIP / SECOND
            used = work / (bears + 2 * sqrt(bears) + 2)
            if worst <= 1 < used:  # it falls
                broken = by_told > 2 / 3 * work
            worst = max(worst, used)
        return worst, broken


class Gate(One):
    def relay(self, key, number, worker, until, now):
        world, host = self.world, self.world.hosts[worker]
        work = HEAVY if world.dice.random() * SELDOM < 1 else LIGHT
        if host.started is not None and not host.lost:
            host.got.append((now, work, self.gateway.workers[worker].started == host.started))
        if host.lost or host.full(now):
            found = face.Result.CONNECT_FAILED if host.lost else face.Result.FULL
            world.clock.at(now + WAY, self.back, key, number, worker, found, WAY, face.Found.UNTOLD)
            return
        took, warm = host.take(now, self.asked[key].function, work)
        found = face.Found.WARM if warm else face.Found.BEGAN_LOAD
        world.clock.at(now + took, self.back, key, number, worker, face.Result.OK, took, found, host.life)

    def back(self, key, number, worker, result, took, found, life=None):
        now, host = self.world.clock.now, self.world.hosts[worker]
        if life is not None and life != host.life:
            result, found = face.Result.RESET, face.Found.UNTOLD
        elif life is not None:
            host.busy -= 1
        if self.gone:
            return
        good = result is face.Result.OK
        if good and key in self.tasks:
            self.world.counts["delivered"] += 1
            self.world.answer(self.asked.pop(key))
        report = face.Report(in_hand=host.busy) if good else None
        self.outcome(now, face.Outcome(key, number, worker, result, took, good, found, None, report))
