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
SOON = 5  # times as fast as evenly
FEW = 30  # calls that the settings allow in a window, below which the slack for chance is wider
PROBE_WORK = 0.006  # of a request of mean work: half a millisecond of 85
ORDER_WORK = 1.0  # counted at the host for an order to load: the page does not say, so as a whole request


def budget(allowed):
    """Requests of mean work in a window past which a cold host falls, by those that the settings allow."""
    return allowed + 3 * sqrt(allowed) + 3 if allowed < FEW else narrow_budget(allowed)


def narrow_budget(allowed):
    return allowed + 2 * sqrt(allowed) + 2


class ColdHost(Host):
    """Does its work in turn, slower while it is cold."""

    def __init__(self, number, told, started=None):
        super().__init__(number % ZONES, told.sizes[number % len(told.sizes)], started)
        self.pace = told.pace * self.size
        self.gain = told.gain if told.gain != "unlike" else ("step", "soon", "soon", "soon")[number % 4]
        self.day, self.free, self.got = told, 0, []  # (when, work, whether by one told of its start)
        self.before, self.before_narrow = [], []  # what `worst` came to in each earlier slow start

    def lose(self):
        super().lose()
        if self.started is not None:
            self.before.append(self.worst())
            self.before_narrow.append(self.worst(narrow_budget))
        self.started, self.got, self.free = None, [], 0

    def reached(self, now, work, told):
        """Work that reached it: what it turns away and what is cancelled later counts too."""
        if self.started is not None and not self.lost:
            self.got.append((now, work, told))

    def power(self, now):
        if self.started is None or now - self.started >= COLD:
            return 1.0
        gained = {"even": 1, "soon": SOON, "step": 0}[self.gain] * (now - self.started) / COLD
        gained = min(1, gained)
        return self.day.share + (1 - self.day.share) * gained

    def full(self, now):
        return self.free - now > FULL

    def take(self, now, function, work):
        self.busy += 1
        stands = self.copies.get(function)
        warm = stands is not None and stands <= now
        if stands is None:
            stands = self.copies[function] = now + LOAD
        self.free = max(now, self.free) + int(work * SECOND / self.pace / self.power(now))
        return max(self.free, stands) - now + WAY + WORK, warm

    def worst(self, budget_of=budget):
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
            allowed = MULTIPLE * self.pace * self.power(max(self.started, at - TIP)) * TIP / SECOND
            used = work / budget_of(allowed)
            if worst <= 1 < used:  # it falls
                broken = by_told > 2 / 3 * work
            worst = max(worst, used)
        return worst, broken


class Gate(One):
    def __init__(self, world, place, decisions, rows):
        self.tries = {}  # task: how often its client has asked
        super().__init__(world, place, decisions, rows)

    def ask(self, function, track, tried=1):
        self.tries[str(self.world.counts["tasks"] + 1)] = tried
        super().ask(function, track)

    def knows(self, worker):
        return self.gateway.hosts_by_id[worker].started == self.world.hosts[worker].started

    def work(self, function):
        """Of a request: by chance, or all of one function alike where the day says so."""
        if self.world.day.heavy_functions:
            return HEAVY if int(function[1:]) % SELDOM == 0 else LIGHT
        return HEAVY if self.world.dice.random() * SELDOM < 1 else LIGHT

    def order(self, worker, function, copies):
        super().order(worker, function, copies)
        self.world.hosts[worker].reached(self.world.clock.now, ORDER_WORK, self.knows(worker))

    def probe(self, worker):
        super().probe(worker)
        self.world.hosts[worker].reached(self.world.clock.now, PROBE_WORK, self.knows(worker))

    def reject(self, key, rejection):
        function = self.asked[key].function
        super().reject(key, rejection)
        self.world.again(function, self.tries[key])

    def start_attempt(self, key, number, attempt, now):
        worker = attempt.host
        world, host = self.world, self.world.hosts[worker]
        work = self.work(self.asked[key].function)
        host.reached(now, work, self.knows(worker))
        if host.lost or host.full(now):
            found = face.Result.CONNECT_FAILED if host.lost else face.Result.FULL
            world.clock.at(now + WAY, self.back, key, number, worker, found, WAY, face.Found.UNKNOWN)
            return
        took, warm = host.take(now, self.asked[key].function, work)
        found = face.Found.WARM if warm else face.Found.BEGAN_LOAD
        world.clock.at(now + took, self.back, key, number, worker, face.Result.OK, took, found, host.life)

    def back(self, key, number, worker, result, took, found, life=None):
        now, host = self.world.clock.now, self.world.hosts[worker]
        if now < (through := self.world.held_until(now)):
            held = through - now
            self.world.clock.at(through, self.back, key, number, worker, result, took + held, found, life)
            return
        if life is not None and life != host.life:
            result, found = face.Result.RESET, face.Found.UNKNOWN
        elif life is not None:
            host.busy -= 1
        if self.gone:
            return
        good = result is face.Result.OK
        if good and key in self.generators:
            self.world.counts["delivered"] += 1
            self.world.answer(self.asked.pop(key))
        report = face.Report(in_hand=host.busy) if good else None
        self.handle_outcome(now, face.Outcome(key, number, worker, result, took, good, found, None, report))
