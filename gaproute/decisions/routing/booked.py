"""What is booked: of relays sent, outcomes, silence, reports and orders."""

from collections import Counter
from statistics import median

from gaproute.decisions.routing.beliefs import ERRED, RECENT, ROOM
from gaproute.decisions.routing.wait import Waits
from gaproute.interface import Found, Idempotency, Result

ZONE_SILENT = 2  # workers of a zone with overdue relays, none heard since: one alone may have slow work
PATIENCE = 4  # usual answer times before a relay counts as overdue
LOAD_PATIENCE = 2  # usual load times more where a load is expected
FAILURES = (Result.ERROR, Result.TIMEOUT, Result.CONNECT_FAILED, Result.RESET)


class Booked(Waits):
    def probed(self, now, worker_id, good, report):
        """Returns what all other gateways are to be told of it, or None."""
        if (worker := self.workers.get(worker_id)) is not None:
            self.note(worker, now, report)
            if not good:
                self.book(worker, now, None, 1.0)
        return self.sharing.tell(worker_id, report) if good else None

    def told(self, now, words):
        """Another gateway told of a worker's load."""
        if (heard := self.sharing.words.decode(words)) is not None:
            self.note(self.workers[heard[0]], now, heard[1])

    def stood(self, now, worker_id, name, result, copies):
        function = self.functions.get(name)
        if function is not None and function.ordered:
            function.ordered = False
            self.ration.ended(now, result is Result.OK, (now - function.since) / self.load_usual(None))
            if result is Result.OK and worker_id in self.workers:
                function.seen[worker_id] = now

    def sent(self, now, task, relay, worker, trail):
        function = self.function(task.function, task.lanes)
        warm = self.warmth(function, worker, now) > 0 and function.stands.get(worker.id, -1) >= worker.wiped
        usual = self.usual(function)
        due = now + min(
            PATIENCE * usual, max(2 * usual, self.tracks[task.request_class].latency_objective - 2 * usual)
        )
        if not warm:
            due += LOAD_PATIENCE * self.load_usual(task.load_time)
        worker.out[task.id, relay] = now
        self.hands[task.id, relay] = (worker.id, task.function, task.request_class, now, warm)
        trail.out[relay] = (worker, now)
        trail.relays += 1
        trail.first = trail.first or (worker, now)
        if worker.zone in self.silent:
            self.silent[worker.zone] = now + RECENT  # on trial: one relay at a time until it is heard
        function.seen[worker.id] = now
        worker.credit = max(0.0, worker.credit - 1)
        return due

    def heard(self, now, outcome):
        """Book one relay's outcome, whether or not its task is still held."""
        hand = self.hands.pop((outcome.request, outcome.attempt), None)
        worker = self.workers.get(outcome.host)
        if hand is None or worker is None:
            return
        _, name, track, sent, warm = hand
        worker.out.pop((outcome.request, outcome.attempt), None)
        booked = worker.late.pop((outcome.request, outcome.attempt), False)
        function = self.function(name, 1)
        self.note(worker, now, outcome.report)
        if outcome.result in (Result.OK, Result.ERROR, Result.FULL, Result.NOT_LOADED):
            worker.heard[track] = self.zone_heard[worker.zone] = now
            self.silent.pop(worker.zone, None)
        self.refusals.append((now, outcome.result is Result.FULL))
        if outcome.result is Result.OK:
            self.book(worker, now, track, 0.0)
            worker.full_until = -1
            if warm:
                self.answers.append(now)
            # After a stall all that waited comes at one moment: it does not say what warm ones do now.
            if now < self.all_warm_at and (now < worker.warm_at or self.prompt(function, warm, outcome.took)):
                self.spread_credit(now, worker)
            if sent >= worker.wiped:
                function.seen[worker.id] = function.stands[worker.id] = function.answered = now
            self.verify(name, worker.id, outcome.found)
            if outcome.found is Found.WARM or outcome.found is Found.UNKNOWN and warm:
                if function.times:
                    worker.paces.append((now, outcome.took / max(1, median(function.times))))
                    worker.slow, worker.slow_until = self.pace(worker, now), now + RECENT
                function.times.append(outcome.took)
                queued = self.queued(worker, 1, now)
                if queued >= ROOM and worker.slow <= 1:
                    self.drains.append((now, outcome.took * worker.capacity / queued))
            else:
                self.loads.append(outcome.took)
        elif outcome.result in FAILURES and not booked:
            again = (
                outcome.result is Result.ERROR and self.tracks[track].idempotency is Idempotency.IDEMPOTENT
            )
            self.book(worker, now, track, ERRED if again else 1.0)
        if outcome.result is Result.FULL:
            worker.full_until = now + self.usual(function)  # a lane frees about then
        if outcome.result is Result.NOT_LOADED or outcome.found is Found.LOAD_FAILED:
            self.verify(name, worker.id, Found.LOAD_FAILED)
            function.seen.pop(worker.id, None)
            function.stands.pop(worker.id, None)
        if outcome.result is Result.RESET and not worker.out:
            worker.wiped = now  # a process that broke off, with all its relays, comes back empty

    def prompt(self, function, warm, took):
        """Whether an answer took no longer than one may that is not overdue."""
        load = 0 if warm else LOAD_PATIENCE * self.load_usual(None)
        return took <= PATIENCE * self.usual(function) + load

    def note(self, worker, now, report):
        if report is not None:
            worker.report, worker.reported, worker.memory = report, now, report.memory_busy
            told = report.waiting if report.in_hand is None else report.in_hand
            if told is not None:
                self.busy.append((now, told / worker.capacity))

    def overdue(self, now, task, trail, function):
        """Hold overdue relays in silence against their workers at once; when to look again.

        Silence, nothing of the track heard since, shows workers that hang, vanish or are cut off, and one
        track unanswered alone. It needs two such relays or one for twice the patience, as one slow task
        proves little. The task keeps its place: what goes out again is late and twice the work.
        """
        for relay, (worker, sent) in trail.out.items():
            key = task.id, relay
            if worker.heard.get(task.request_class, -1) < sent and not worker.late.get(key, False):
                worker.late[key] = bool(worker.late)  # another is late there, or this one was before
                if worker.late[key]:
                    self.book(worker, now, task.request_class, 1.0)
        self.hear_zones(now)
        return now + PATIENCE * self.usual(function)

    def hear_zones(self, now):
        """Zones of which nothing is heard though relays to several of their workers are overdue.

        Guards against a whole zone cut off: found out worker by worker, each gateway would lose a task at
        every one. Harms a zone of few workers that all have long work; it is tried again in a while."""
        late = [(worker.zone, max(map(worker.out.get, worker.late))) for worker in self.fleet if worker.late]
        unheard = Counter([zone for zone, sent in late if sent > self.zone_heard.get(zone, -1)])
        self.silent.update({zone: now + RECENT for zone, count in unheard.items() if count >= ZONE_SILENT})
