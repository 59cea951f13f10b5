"""The core of a running gateway: tasks from any front, wishes to the hosts, exactly one final answer for
each.

What a front gives is a `Call`; what it gets, once, is a `Final`. What the hosts give for each relay, once, is
an `AttemptResult`. Neither side knows of the other.
"""

from functools import partial

from gaproute import interface as face
from gaproute.core.completion import MILLI, RequestCompletion
from gaproute.core.in_flight import AttemptResult, RequestInFlight
from gaproute.interface.call import Ending

__all__ = ["Core", "AttemptResult"]


class Core(RequestCompletion):
    """`hosts` gives `relay(worker, call, effect, task, limit, until, done)`, `order(worker, function, copies,
    done)` and `probe(worker, done)`; the first returns what has `begun`, where it has, whether it is
    `withdrawable` once nobody waits for it, and `give_up()`."""

    def __init__(self, loop, gateway, terms, hosts, record, name):
        super().__init__(gateway)
        self.loop, self.hosts, self.record, self.name = loop, hosts, record, name
        self.tracks = terms.tracks
        self.in_flight = {}  # task id: RequestInFlight
        self.wait_timers = {}  # key: timer of its wait
        self.submitted = 0
        self.broadcast = lambda payload: None  # tells all other gateways, where there is a way
        self.on_arrival = None  # call(now, function, track) of each task, where demand is told
        self.on_idle = None  # call() when the last request in flight is accounted for

    # From the fronts

    def submit(self, call, track, tenant, lanes, load_time, taken, time_left, finish):
        """A task; `finish(final)` once, never from within. `taken` is when its first byte came.

        Returns the gateway's id for it.
        """
        self.submitted += 1
        now = self.loop.now()
        key = f"{self.name}-{self.submitted:x}"
        request = self.in_flight[key] = RequestInFlight(key, call, track, finish, taken)
        left = max(0, taken + time_left - now)
        request.deadline = now + left
        request.deadline_timer = self.loop.at(request.deadline, self._deadline_passed, key)
        self.record.taken(track)
        if self.on_arrival is not None:
            self.on_arrival(now, call.function, track)
        if self.record.follows(call.mark):
            request.log_step = partial(self.record.step, call.mark)
            request.log_step(
                "taken", task=key, track=call.track, function=call.function, left_ms=left // MILLI
            )
        try:
            super().start_request(now, face.Task(key, tenant, left, call.function, lanes, load_time, track))
        except Exception as error:
            self._decision_failed(key, error)
        return key

    def client_left(self, key):
        """Nobody waits for the answer any more; nothing further is sent for the task."""
        request = self.in_flight.get(key)
        if request is not None and request.on_final is not None:
            request.on_final = None
            self.record.left(request.request_class)
            if request.log_step is not None:
                request.log_step("client left", relays=len(request.attempts))
            self._guard(key, self.abandon, self.loop.now(), key)
            self._withdraw_attempts(request)
            self._release_if_complete(request)

    def end_by(self, when):
        """The process is about to be ended: what is in flight then has its final answer by then, as its class
        allows."""
        self.gateway.end_by = when
        self.loop.at(when, self._end_all)

    def _end_all(self):
        for request in list(self.in_flight.values()):
            self._guard(request.id, self.wait_elapsed, request.id, self.loop.now())
            for number in request.attempts:
                self._withdraw(request, number, face.Result.CANCELLED)

    # From the hosts

    def _attempt_ended(self, key, number, heard):
        request, now = self.in_flight[key], self.loop.now()
        worker, sent, _ = request.attempts.pop(number)
        if heard.result not in face.NEVER_RAN:
            request.may_have_run = True
        if heard.result is face.Result.OK and request.on_final is not None:
            request.found = heard.found
            self._finish(request, Ending.DELIVERED, heard.answer, 0, "")
        self.record.attemptscome(worker, request.request_class, heard.result, now - sent)
        if request.log_step is not None:
            request.log_step(
                "outcome",
                relay=number,
                worker=worker,
                result=heard.result.value,
                took_ms=(now - sent) // MILLI,
                found=heard.found.name,
                alike=heard.alike,
            )
        outcome = face.Outcome(
            key,
            number,
            worker,
            heard.result,
            now - sent,
            request.on_final is None,
            heard.found,
            heard.alike,
            heard.report,
        )
        self._guard(key, self.handle_outcome, now, outcome)
        self._release_if_complete(request)

    def _order_answered(self, begun, worker, function, copies, result, stand):
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

    def receive_broadcast(self, payload):
        """From another gateway; what it cannot use is passed over."""
        self.gateway.told(self.loop.now(), payload)

    # From the host list

    def update_hosts(self, rows, complete):
        now = self.loop.now()
        self.gateway.listed(now, rows, complete)
        self.start_housekeeping(now)

    # Wishes

    def wait(self, key, until, now):
        self.cancel_wait(key)
        self.wait_timers[key] = self.loop.at(until, self._wait_elapsed, key)

    def cancel_wait(self, key):
        timer = self.wait_timers.pop(key, None)
        if timer is not None:
            timer.cancel()

    def _wait_elapsed(self, key):
        self.wait_timers.pop(key, None)
        self._guard(key, self.wait_elapsed, key, self.loop.now())

    def relay(self, key, number, worker, until, now):
        self.begin(self.hosts, key, number, worker, until, now)

    def begin(self, hosts, key, number, worker, until, now):
        """A relay by way of these hosts."""
        request = self.in_flight[key]
        request.attempt_count += 1
        if request.log_step is not None:
            request.log_step("relay", relay=number, worker=worker)
        hold = hosts.relay(
            worker,
            request.call,
            self.tracks[request.request_class].effect,
            key,
            request.deadline,
            min(until, request.deadline),
            lambda heard: self._attempt_ended(key, number, heard),
        )
        request.attempts[number] = (worker, now, hold)

    def cancel(self, key, number):
        request = self.in_flight.get(key)
        if request is not None and number in request.attempts:
            self._withdraw(request, number, face.Result.CANCELLED)

    def order(self, worker, function, copies):
        self.record.ordered(worker, function, copies)
        self.hosts.order(
            worker, function, copies, partial(self._order_answered, self.loop.now(), worker, function, copies)
        )

    def probe(self, worker):
        self.hosts.probe(
            worker, lambda good, report: self.probe_answered(self.loop.now(), worker, good, report)
        )

    def listen(self):
        """The host list of a running gateway comes unasked."""

    def decline(self, key, stay_away, why):
        self._finish(
            self.in_flight[key], Ending.REJECTED, None, stay_away, "declined: it is safe to try again", why
        )

    def fail(self, key):
        self._finish(self.in_flight[key], Ending.FAILED, None, 0, "scrapped: it may have run, or may yet")
