"""The core with scripted decisions and scripted hosts, on a clock that stands still."""

import pytest
from helpers import TERMS

from gaproute import interface as face
from gaproute.core.core import Core
from gaproute.core.in_flight import AttemptResult
from gaproute.interface.call import Answer, Call, Ending
from gaproute.loop import Loop, SteppedClock
from gaproute.telemetry.record import Record

MILLI, SECOND = 1_000_000, 1_000_000_000
DONE = AttemptResult(face.Result.OK, Answer(200, (), b"done"))


class Scripted:
    """Decisions whose `serve` is the test's."""

    def __init__(self, serve):
        self.serve, self.outcomes = serve, []

    def attempt_ended(self, now, outcome):
        self.outcomes.append(outcome)

    def housekeep(self, now):
        yield face.Wait(now + SECOND)

    def update_hosts(self, now, rows, *, complete):
        pass


class Handle:
    """The hosts' handle of an attempt."""

    cancellable = False  # its host has it whole

    def __init__(self, cancel, started):
        self.cancel, self.started = cancel, started


class Hosts:
    started = True

    def __init__(self):
        self.sent, self.cancelled = [], []

    def send(self, host, call, idempotency, request, limit, until, done):
        self.sent.append(done)
        return Handle(lambda: self.cancelled.append(host), self.started)


class Log:
    def __getattr__(self, level):
        return lambda *_, **__: None


def core(serve):
    loop = Loop(SteppedClock())
    loop.on_error = lambda error: None
    made = Core(loop, Scripted(serve), TERMS, Hosts(), Record(Log(), ["a", "b", "c"]), "g")
    made.finals = []
    return made


def submit(made, left=SECOND):
    return made.submit(Call("m", "", (), b""), 0, 0, 1, None, made.loop.now(), left, made.finals.append)


def run(made, span=0):
    made.loop.run(until=made.loop.sleep(span))


def attempt_and_wait(now, request):
    yield face.Attempt("w")
    _, outcome = yield face.Wait(now + 10 * SECOND)


def test_a_delivered_answer_is_final_and_the_decisions_are_notified_of_its_end():
    made = core(attempt_and_wait)
    submit(made)
    made.hosts.sent[0](DONE)
    run(made)
    assert [final.ending for final in made.finals] == [Ending.DELIVERED]
    assert made.finals[0].answer.body == b"done"
    assert made.gateway.outcomes[0].ended
    assert not made.in_flight
    assert not made.wait_timers


def test_a_second_final_answer_reaches_nobody():
    def serve(now, request):
        yield face.Reject(5)
        yield face.Fail()

    made = core(serve)
    submit(made)
    run(made)
    assert [final.ending for final in made.finals] == [Ending.REJECTED]
    assert made.finals[0].retry_after == 5


@pytest.mark.parametrize("when", ["first", "later"])
def test_an_error_of_the_decisions_ends_that_request_alone(when):
    def serve(now, request):
        if when == "later":
            yield face.Attempt("w")
            yield face.Wait(now + MILLI)
        raise KeyError("odd")
        yield

    made = core(serve)
    submit(made)
    run(made, 2 * MILLI)
    assert [final.ending for final in made.finals] == [Ending.FAILED]
    made.gateway.serve = attempt_and_wait
    submit(made)
    made.hosts.sent[-1](DONE)
    run(made)
    assert made.finals[-1].ending is Ending.DELIVERED


def test_a_request_that_the_decisions_never_end_fails_at_its_deadline():
    made = core(lambda now, request: iter([face.Wait(now + 100 * SECOND)]))
    made.gateway.serve = attempt_and_wait
    submit(made, left=300 * MILLI)
    run(made, 299 * MILLI)
    assert not made.finals
    run(made, 2 * MILLI)
    assert [final.ending for final in made.finals] == [Ending.FAILED]
    assert made.hosts.cancelled == ["w"]
    assert made.gateway.outcomes[0].result is face.Result.TIMEOUT
    assert not made.in_flight


def test_when_the_client_leaves_the_decisions_are_notified_and_nobody_is_answered():
    def serve(now, request):
        yield face.Attempt("w")
        _, outcome = yield face.Wait(now + SECOND)
        assert outcome.result is face.Result.CLIENT_LEFT
        yield face.Cancel(0)

    made = core(serve)
    key = submit(made)
    made.client_left(key)
    run(made)
    assert made.finals == []
    assert made.hosts.cancelled == ["w"]
    assert not made.in_flight
    assert [outcome.result for outcome in made.gateway.outcomes] == [face.Result.CANCELLED]
    made.client_left(key)  # a second time is nothing


def test_an_attempt_in_flight_after_the_final_answer_is_accounted_for_at_the_deadline():
    def serve(now, request):
        yield face.Attempt("w")
        yield face.Fail()

    made = core(serve)
    submit(made)
    run(made)
    assert len(made.finals) == 1
    assert made.in_flight
    emptied = []
    made.on_idle = lambda: emptied.append(True)
    run(made, 2 * SECOND)
    assert not made.in_flight
    assert emptied
    assert made.gateway.outcomes[0].result is face.Result.TIMEOUT


def test_an_attempt_not_begun_when_its_request_ends_never_begins_whatever_the_settings_allow():
    def serve(now, request):
        yield face.Attempt("w")
        yield face.Wait(now + MILLI)
        yield face.Reject(0)

    made = core(serve)
    made.hosts.started = False
    submit(made)
    run(made, 2 * MILLI)
    assert made.finals[0].ending is Ending.REJECTED
    assert made.hosts.cancelled == ["w"]
    assert not made.in_flight
    assert made.gateway.outcomes[0].result is face.Result.NOT_SENT


def test_a_wait_is_resumed_at_its_time_and_moved_by_an_outcome():
    times = []

    def serve(now, request):
        yield face.Attempt("w")
        for _ in range(3):
            now, outcome = yield face.Wait(now + 10 * MILLI)
            times.append((now, outcome and outcome.result))
        yield face.Fail()

    made = core(serve)
    submit(made)
    made.loop.call_later(15 * MILLI, lambda: made.hosts.sent[0](AttemptResult(face.Result.FULL, None)))
    run(made, 100 * MILLI)
    assert times == [(10 * MILLI, None), (15 * MILLI, face.Result.FULL), (25 * MILLI, None)]


def test_the_counts_of_a_host_that_is_gone_are_forgotten():
    made = Record(None, ["check"])
    made.attempt_ended("a", 0, face.Result.RESET)
    made.attempt_ended("b", 0, face.Result.OK)
    made.forget_host("a")
    assert made.snapshot() == {"attempts": {"b": {"ok": 1}}}


def test_the_housekeeper_starts_again_with_the_next_host_list_after_an_error():
    started = []

    def housekeep(now):
        started.append(now)
        yield face.Wait(now + MILLI)
        raise KeyError("odd")

    made = core(attempt_and_wait)
    made.gateway.housekeep = housekeep
    made.update_hosts([], complete=True)
    run(made, 2 * MILLI)
    made.update_hosts([], complete=True)
    made.update_hosts([], complete=True)
    assert len(started) == 2


def test_an_action_that_is_none_ends_its_request():
    def serve(now, request):
        yield "odd"

    made = core(serve)
    submit(made)
    run(made)
    assert [final.ending for final in made.finals] == [Ending.FAILED]
    assert not made.in_flight
