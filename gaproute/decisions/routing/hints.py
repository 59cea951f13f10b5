"""What other gateways or a past life tell, as the module takes it and tells of its own: decisions only.

Evidence that fades alike and gives way to any of one's own. It gives no credit, orders nothing and lifts no
limit. Only a gateway that is told of others' copies (`reports/shared_observations.py`) comes here; elsewhere
nothing is on trial.
"""

from statistics import median

from gaproute.decisions.routing.beliefs import ERRED, MIX, RECENT, WIDE
from gaproute.decisions.routing.measures import Measures
from gaproute.interface import Found

MISLED = 2  # wrong hints after which none is followed: one may be a copy that has just gone
TRIALS = 2  # hints on trial at a time: an answer takes a tenth of a second, a wrong one a load
PROVEN = 8  # right hints, and none wrong, before the mix told is taken


class Hints(Measures):
    """The part of the gateway that hears and tells."""

    def __init__(self, seed, terms, now):
        super().__init__(seed, terms, now)
        self.trials = {}  # (function, worker): when a hint was first followed; not yet known if right
        self.right, self.wrong, self.told_mix = 0, 0, None  # hints that proved so; see `hint_mix`

    def hint(self, worker_id, name, lanes, seen):
        """A copy was seen to stand there. It is considered when a task of the function comes."""
        worker = self.workers.get(worker_id)
        if worker is None or not worker.active or seen <= worker.wiped:
            return False
        function = self.function(name, lanes)
        function.used = max(function.used, seen)
        if function.stands or function.told.get(worker_id, -1) >= seen:
            return False
        function.told[worker_id] = seen
        return True

    def consider(self, now, name, function):
        """Follow what was told of a function's copies, where nothing was seen oneself.

        A wrong hint costs a load that the stable hash would have spared, so hints go on trial, two functions
        at a time, until two proved wrong. Right ones do not make up for them: a hot function's copies stand
        nearly everywhere, so that any hint of it proves right. The hash's first choice is tried where it was
        told, else one of its next.
        """
        told, function.told = function.told, {}
        held = [self.workers[worker] for worker in told if worker in self.workers]
        order = [worker for _, worker in sorted(self.keys(name, [each for each in held if each.active]))]
        if function.stands or not order or self.wrong >= MISLED:
            return
        self.trials = {key: at for key, at in self.trials.items() if now - at < RECENT}
        if len(self.trials) >= TRIALS:
            function.told = told  # its turn comes with a later task
            return
        some = 1 if self.ranks(name, function).get(order[0]) == 0 else max(2, int(WIDE * self.breadth(name)))
        worker = order[self.chance.below(min(some, len(order)))]  # not all gateways try the same
        self.trials[name, worker] = now
        function.seen.setdefault(worker, told[worker])

    def hint_doubt(self, worker_id, track, harm, seen):
        """Relays of the track failed there: as one quick failure, where nothing is known."""
        worker = self.workers.get(worker_id)
        told = worker is not None and worker.active and not worker.results and seen > worker.wiped
        if told:
            self.book(worker, seen, track, ERRED * harm)
        return told

    def hint_pace(self, worker_id, slow, seen):
        """It answered so many times slower than usual."""
        worker = self.workers.get(worker_id)
        told = worker is not None and worker.active and not worker.paces and seen > worker.wiped
        if told:
            worker.slow, worker.slow_until = slow, seen + RECENT
        return told

    def hint_usual(self, name, took):
        """A function's usual answer time; of loads where `name` is None."""
        times = self.loads if name is None else self.functions[name].times if name in self.functions else None
        if times is None or times:
            return False
        times.append(took)
        return True

    def hint_mix(self, names):
        """Functions of tasks that others served last. Taken once hints have proved right: a mix spreads the
        hot functions over hosts of which only hints can tell whether copies stand there."""
        self.told_mix = names[: MIX // 2]

    def verify(self, name, worker_id, found):
        """An outcome shows whether a hint on trial was right."""
        if self.trials.pop((name, worker_id), None) is None or found is Found.UNKNOWN:
            return
        if found is Found.WARM:
            self.right += 1
            if self.told_mix and self.right >= PROVEN and not self.wrong and len(self.mix) < MIX // 2:
                self.mix.extendleft(self.told_mix)  # own tasks push them out
                self.told_mix = None
        else:
            self.wrong += 1

    def known(self, now, since=-1):
        """What this gateway itself saw since then, one by one: (kind, names, value, when).

        Of workers first, then of functions, the latest used first. It may be read over many turns, with
        lists and tasks coming in between.
        """
        for worker in list(self.workers.values()):
            bad = {
                track: (at, harm)
                for at, track, harm in worker.results
                if harm > 0 and track is not None and now - at < RECENT
            }
            for track, (at, harm) in bad.items() if worker.active else ():
                if at > since:
                    yield "doubt", (worker.id, track), (harm,), at
            if worker.active and worker.slow > 1 and now < worker.slow_until > since + RECENT:
                yield "pace", (worker.id,), (worker.slow,), worker.slow_until - RECENT
        if self.loads and since < 0:
            yield "load", (), (int(median(self.loads)),), now
        for name in sorted(self.functions, key=lambda name: -self.functions[name].used):
            function = self.functions.get(name)
            if function is None or function.answered <= since:
                continue
            for worker, seen in list(function.stands.items()):
                held = self.workers.get(worker)  # gone meanwhile: this is read over many turns
                if seen > since and held is not None and held.active and seen >= held.wiped:
                    yield "warm", (worker, name), (function.lanes,), seen
            if function.times:
                yield "usual", (name,), (int(median(function.times)),), function.answered
            if since < 0 and name in self.mix:
                yield "share", (name,), (self.mix.count(name) / max(len(self.mix), MIX // 4),), now
