"""What production will want in the next minutes, and when a campaign will end. Both from what was told and
seen."""

SECOND = 1_000_000_000

SLOT = 30 * SECOND  # of a plan: several loads long, short beside the course of a day
SLOTS = 8  # minutes ahead that a plan looks
HALF = 0.3  # weight of a new reading of the level: some average out, a rise shows in a minute
STAY = 0.8  # of what the level is off its usual, what is left a slot later: bursts pass
LONG = 960  # readings in the usual level: the working hours of a day at one a slot
SURE = 1.0  # spreads above the mean that are kept for production; more stops rollouts
COURSE = 48  # factors of a day, half an hour each, where its course is known
FUNCTIONS = 4096
EARLY = 0.02  # of a campaign: before it an end would be a guess


class DemandForecast:
    """Production's demand for one function, in lanes. `course`: COURSE factors of a usual day, or None."""

    def __init__(self, course=None):
        self.course = course
        self.level = self.spread = self.usual = None
        self.readings = 0
        self.error = 0.0  # mean of how far the last readings were off, squared

    def _factor(self, clock):
        """`clock`: ns since midnight."""
        if not self.course:
            return 1.0
        at = clock / (86_400 * SECOND / COURSE)
        first, part = int(at) % COURSE, at % 1
        return max(0.01, self.course[first] * (1 - part) + self.course[(first + 1) % COURSE] * part)

    def read(self, clock, total, spread, seconds):
        """A reading of the weak word: arrivals a second of the fleet with their spread, and seconds that one
        runs."""
        lanes, factor = total * seconds, self._factor(clock)
        if self.level is None:
            self.level = lanes / factor
            self.usual = self.level
        self.readings = min(LONG, self.readings + 1)
        self.usual += (lanes / factor - self.usual) / self.readings
        off = lanes - self.level * factor
        self.error += HALF * (off * off - self.error)
        self.level += HALF * (lanes / factor - self.level)
        self.spread = spread * seconds

    def lanes(self, clock, sure=SURE, slots=0):
        """Wanted at `clock`, so many slots from the last reading: the mean, and `sure` spreads above it."""
        if self.level is None:
            return 0.0
        level = self.usual + (self.level - self.usual) * STAY**slots
        return level * self._factor(clock) + sure * (self.error + self.spread**2) ** 0.5


class FleetForecast:
    def __init__(self, courses=None):
        self.courses, self.functions = courses or {}, {}

    def read(self, clock, readings):
        """`readings`: {function: (total, spread, seconds)}; one that is not told any more fades."""
        for name in list(self.functions):
            if name not in readings:
                self.functions[name].read(clock, 0.0, 0.0, 0.0)
                if self.functions[name].lanes(clock) < 0.01:
                    del self.functions[name]
        for name, reading in readings.items():
            if name not in self.functions and len(self.functions) >= FUNCTIONS:
                continue
            self.functions.setdefault(name, DemandForecast(self.courses.get(name))).read(clock, *reading)

    def spare(self, clock, hosts, lendable, slots=SLOTS, sure=SURE, out=()):
        """{host: [lanes in each slot]}: what may be lent less production's demand, which is laid on the hosts
        by their lanes. `out`: {(host, slot)} in maintenance."""
        total, came = sum(host.lanes for host in hosts) or 1, {host.name: [] for host in hosts}
        for slot in range(slots):
            wanted = sum(each.lanes(clock + slot * SLOT, sure, slot) for each in self.functions.values())
            for host in hosts:
                room = min(float(lendable[host.name]), host.lanes - wanted * host.lanes / total)
                came[host.name].append(0.0 if (host.name, slot) in out else max(0.0, room))
        return came


class CompletionEstimate:
    """When a campaign will end: by what it did of late and in all, and the lanes that the plan gives it."""

    def __init__(self, work, began):
        self.work, self.began = work, began
        self.done, self.at, self.lanes = 0, began, 0.0  # lanes: lane-ns used so far

    def saw(self, now, done, lanes):
        """`done` in all, by `lanes` (mean since the last call)."""
        self.lanes += max(0, now - self.at) * lanes
        self.done, self.at = max(self.done, done), now

    def at_end(self, planned=()):
        """ns of the own clock, or None while it is too early. `planned`: lanes in each next slot; beyond them
        their mean, halfway to what it had so far, as no burst and no calm lasts."""
        if self.done < EARLY * self.work or not self.lanes:
            return None
        each = self.lanes / self.done  # lane-ns a task, exchanges and waits included
        had = self.lanes / max(1, self.at - self.began)
        left, now = (self.work - self.done) * each, self.at
        for lanes in planned:
            if lanes * SLOT >= left:
                break
            left, now = left - lanes * SLOT, now + SLOT
        else:
            lanes = (sum(planned) / len(planned) + had) / 2 if planned else had
        return int(now + max(0.0, left) / max(lanes, 1e-9))
