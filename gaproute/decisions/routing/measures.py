"""Measures of workers and functions, by which the rooms above judge."""

from hashlib import blake2b
from heapq import nsmallest
from statistics import median

from gaproute.decisions.routing.beliefs import LOAD_LIFE, LOOK, MIX, RECENT
from gaproute.decisions.routing.known import Known

FADE = 4  # power of age over keep-alive: warmth stays above two thirds for three quarters of it
SUSPECT = 0.4  # share of bad results below which none is doubted: chance and lost answers strike all
BELIEF = 1.0  # good samples granted to each worker: one failure alone halves its worth, no more
FIRST_GUESS = 0.25  # of the contract time: usual answer time before any was seen
RANKED, PART = 32, 16  # workers ranked at first, or one in so many: deeper ones are seldom asked for
SLOW = 1.5  # times slower than usual before it counts: kinds of machine and work differ by as much


class Measures(Known):
    def usual(self, function):
        return median(function.times) if function.times else self.shortest * FIRST_GUESS

    def breadth(self, name):
        """How many workers a function could fill: its share of this gateway's last tasks, times the fleet.

        Needs no number of own calls, so it is right at gateways that see few tasks. From one worker on the
        function is hot: it spills early, and WIDE times as many first choices of the hash count alike, so
        that gateways spread it; a rare one waits for its copy, as loads for it jam the store.
        """
        return self.mix.count(name) / max(len(self.mix), MIX // 4) * len(self.fleet)

    def load_usual(self, told):
        return told or (median(self.loads) if self.loads else self.shortest)

    def warmth(self, function, worker, now):
        last = function.seen.get(worker.id)
        if last is None or last < worker.wiped or not worker.active:
            return 0.0
        return max(0.0, 1.0 - ((now - last) / self.keep_alive) ** FADE)

    def power(self, worker, now):
        """Share of its capacity that a worker has at least, by the told cold share."""
        left = max(0, worker.warm_at - now) / max(1, self.terms.warm_up_time)
        return 1.0 - (1.0 - self.terms.warm_up_share) * left

    def pace(self, worker, now):
        """Times slower than usual a worker answers, beyond what machines and work explain; 1 if none.

        It divides what a copy there is worth and the lanes: a crawling worker looks warm and idle. It harms
        where one worker holds a function's heaviest work; samples age, so it is retried."""
        recent = [pace for at, pace in worker.paces if now - at < RECENT]
        return max(1.0, median(recent) / SLOW) if len(recent) > 2 else 1.0

    def queued(self, worker, lanes, now):
        """Tasks at the worker: its report and what was sent since, else own tasks in flight."""
        report, own = worker.report, len(worker.out)
        if report is None or now > worker.reported + LOAD_LIFE:
            return own
        since = sum([sent > worker.reported for sent in worker.out.values()])
        if report.in_hand is not None:
            return max(report.in_hand + since, 0)
        if report.waiting is not None:  # tells nothing of tasks at work: own ones stand for them
            return max(report.waiting, 0) + own
        return max(since + (report.cpu_busy or 0.0) * lanes, own)

    def usual_load(self, now):
        """Median load over capacity by the last reports: it stands for a worker that told nothing lately."""
        if now - self.busied >= LOOK:
            recent = [load for at, load in self.busy if now - at < LOAD_LIFE]
            self.usual_busy, self.busied = median(recent) if recent else 0.0, now
        return self.usual_busy

    def doubt(self, worker, track, now):
        """0 to 1: how likely the worker fails the track, by its last results of that track, else of any.

        Guards against workers that hang, fall silent or fail fast, perhaps one track only: they look idle."""
        if not worker.bad:
            return 0.0
        if now - self.looked >= LOOK:  # judgements are kept for LOOK, to spare CPU
            self.looked, self.doubts = now, {}
        doubt = self.doubts.get((worker.id, track))
        if doubt is None:
            recent = [(of, harm) for at, of, harm in worker.results if now - at < RECENT]
            recent = [harm for of, harm in recent if of == track] or [harm for _, harm in recent]
            known = len(recent) + BELIEF
            doubt = sum(recent) / known if sum([harm > 0 for harm in recent]) > SUSPECT * known else 0.0
            last = [harm for _, _, harm in worker.results][-2:]
            if worker.out and len(last) == 2 and min(last) > 0:
                doubt = max(doubt, 0.5)  # on trial: one relay out at a time until one is answered
            self.doubts[worker.id, track] = doubt
        return doubt

    def keys(self, name, workers):
        """(key, id) of each by rendezvous hashing: their order is the same at every gateway and restart."""
        hasher, keys = blake2b(f"{name} ".encode(), digest_size=8), []
        for worker in workers:
            key = hasher.copy()
            key.update(worker.id.encode())
            keys.append((key.digest(), worker.id))
        return keys

    def ranks(self, name, function, depth=RANKED):
        """Ranks of a function's first workers, `depth` of them or more: few are needed in a large fleet."""
        if function.ranked_for != self.list_version or len(function.order) < min(depth, len(self.fleet)):
            depth = max(depth, len(self.fleet) // PART, len(function.order))
            first = nsmallest(depth, self.keys(name, self.fleet))
            function.order = [self.workers[worker] for _, worker in first]
            function.ranks = {worker: rank for rank, (_, worker) in enumerate(first)}
            function.ranked_for = self.list_version
        return function.ranks
