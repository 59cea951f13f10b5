"""The core of a running gateway: tasks from any front, wishes to the hosts, exactly one final answer for
each.

What a front gives is a `Call`; what it gets, once, is a `Final`. What the hosts give for each relay, once, is
a `Heard`. Neither side knows of the other.
"""

from functools import partial

from gaproute import interface as face
from gaproute.core.final import MILLI, Ends
from gaproute.core.held import Heard, Held
from gaproute.interface.call import Ending

__all__ = ["Core", "Heard"]


class Core(Ends):
    """`hosts` gives `send(worker, call, effect, task, limit, until, done)`, `order(worker, function, copies,
    done)` and `probe(worker, done)`; the first returns what has `started`, where it has, whether it is
    `cancellable` once nobody waits for it, and `cancel()`."""

    def __init__(self, loop, gateway, terms, hosts, record, name):
        super().__init__(gateway)
        self.loop, self.hosts, self.record, self.name = loop, hosts, record, name
        self.tracks = terms.request_classes
        self.held = {}  # task id: Held
        self.timers = {}  # key: timer of its wait
        self.count = 0
        self.tell = lambda words: None  # tells all other gateways, where there is a way
        self.arrived = None  # call(now, function, track) of each task, where demand is told
        self.emptied = None  # call() when the last task held is accounted for

    # From the fronts

    def take(self, call, track, tenant, lanes, load_time, taken, time_left, finish):
        """A task; `finish(final)` once, never from within. `taken` is when its first byte came.

        Returns the gateway's id for it.
        """
        self.count += 1
        now = self.loop.now()
        key = f"{self.name}-{self.count:x}"
        held = self.held[key] = Held(key, call, track, finish, taken)
        left = max(0, taken + time_left - now)
        held.limit = now + left
        held.end = self.loop.at(held.limit, self._time_up, key)
        self.record.taken(track)
        if self.arrived is not None:
            self.arrived(now, call.function, track)
        if self.record.follows(call.request_id):
            held.step = partial(self.record.step, call.request_id)
            held.step(
                "taken", task=key, track=call.request_class, function=call.function, left_ms=left // MILLI
            )
        try:
            super().take(now, face.Request(key, tenant, left, call.function, lanes, load_time, track))
        except Exception as error:
            self._broken(key, error)
        return key

    def client_left(self, key):
        """Nobody waits for the answer any more; nothing further is sent for the task."""
        held = self.held.get(key)
        if held is not None and held.finish is not None:
            held.finish = None
            self.record.left(held.track)
            if held.step is not None:
                held.step("client left", relays=len(held.out))
            self._guarded(key, self.departed, self.loop.now(), key)
            self._over(held)
            self._settle(held)

    def end_by(self, when):
        """The process is about to be ended: what is held then has its final answer by then, as its class
        allows."""
        self.gateway.end_by = when
        self.loop.at(when, self._end_all)

    def _end_all(self):
        for held in list(self.held.values()):
            self._guarded(held.id, self.late, held.id, self.loop.now())
            for number in held.out:
                self._take_back(held, number, face.Result.CANCELLED)

    # From the hosts

    def _came(self, key, number, heard):
        held, now = self.held[key], self.loop.now()
        worker, sent, _ = held.out.pop(number)
        if heard.result not in face.NEVER_RAN:
            held.ran = True
        if heard.result is face.Result.OK and held.finish is not None:
            held.found = heard.found
            self._final(held, Ending.DELIVERED, heard.answer, 0, "")
        self.record.outcome(worker, held.track, heard.result, now - sent)
        if held.step is not None:
            held.step(
                "outcome",
                relay=number,
                worker=worker,
                result=heard.result.value,
                took_ms=(now - sent) // MILLI,
                found=heard.found.name,
                alike=heard.same_function_requests,
            )
        outcome = face.Outcome(
            key,
            number,
            worker,
            heard.result,
            now - sent,
            held.finish is None,
            heard.found,
            heard.same_function_requests,
            heard.report,
        )
        self._guarded(key, self.outcome, now, outcome)
        self._settle(held)

    def _stood(self, begun, worker, function, copies, result, stand):
        now = self.loop.now()
        if self.record.follows(function):
            self.record.step(
                function,
                "order",
                worker=worker,
                copies=copies,
                result=result.value,
                stand=stand,
                took_ms=(now - begun) // MILLI,
            )
        self.gateway.stood(now, worker, function, result, stand)

    def told(self, words):
        """From another gateway; what it cannot use is passed over."""
        self.gateway.told(self.loop.now(), words)

    # From the host list

    def listed(self, rows, complete):
        now = self.loop.now()
        self.gateway.listed(now, rows, complete)
        self.begin_housekeeping(now)

    # Wishes

    def wait(self, key, until, now):
        self.unwait(key)
        self.timers[key] = self.loop.at(until, self._woken, key)

    def unwait(self, key):
        timer = self.timers.pop(key, None)
        if timer is not None:
            timer.cancel()

    def _woken(self, key):
        self.timers.pop(key, None)
        self._guarded(key, self.late, key, self.loop.now())

    def relay(self, key, number, worker, until, now):
        self.begin(self.hosts, key, number, worker, until, now)

    def begin(self, hosts, key, number, worker, until, now):
        """A relay by way of these hosts."""
        held = self.held[key]
        held.relays += 1
        if held.step is not None:
            held.step("relay", relay=number, worker=worker)
        hold = hosts.send(
            worker,
            held.call,
            self.tracks[held.track].idempotency,
            key,
            held.limit,
            min(until, held.limit),
            lambda heard: self._came(key, number, heard),
        )
        held.out[number] = (worker, now, hold)

    def cancel(self, key, number):
        held = self.held.get(key)
        if held is not None and number in held.out:
            self._take_back(held, number, face.Result.CANCELLED)

    def order(self, worker, function, copies):
        self.record.ordered(worker, function, copies)
        self.hosts.order(
            worker, function, copies, partial(self._stood, self.loop.now(), worker, function, copies)
        )

    def probe(self, worker):
        self.hosts.probe(worker, lambda good, report: self.probed(self.loop.now(), worker, good, report))

    def listen(self):
        """The host list of a running gateway comes unasked."""

    def decline(self, key, retry_after, why):
        self._final(
            self.held[key], Ending.REJECTED, None, retry_after, "declined: it is safe to try again", why
        )

    def scrap(self, key):
        self._final(self.held[key], Ending.FAILED, None, 0, "scrapped: it may have run, or may yet")
