"""The core with scripted decisions and scripted hosts, on a clock that stands still."""

import pytest
from helpers import TERMS

from gaproute import interface as face
from gaproute.core.core import Core
from gaproute.core.in_flight import AttemptResult
from gaproute.interface.call import Answer, Call, Ending
from gaproute.loop import Loop, Stepped
from gaproute.telemetry.record import Record

MILLI, SECOND = 1_000_000, 1_000_000_000
DONE = AttemptResult(face.Result.OK, Answer(200, (), b"done"))


class Scripted:
    """A decision module whose `serve` is the test's."""

    def __init__(self, serve):
        self.serve, self.told = serve, []

    def heard(self, now, outcome):
        self.told.append(outcome)

    def housekeep(self, now):
        yield face.Wait(now + SECOND)

    def listed(self, now, rows, complete):
        pass


class Hold:
    """What the hosts give for a relay."""

    cancellable = False  # its host has it whole

    def __init__(self, cancel, started):
        self.cancel, self.started = cancel, started


class Hosts:
    started = True

    def __init__(self):
        self.sent, self.taken_back = [], []

    def send(self, worker, call, effect, task, limit, until, done):
        self.sent.append(done)
        return Hold(lambda: self.taken_back.append(worker), self.started)


class Log:
    def __getattr__(self, level):
        return lambda *_, **__: None


def core(serve):
    loop = Loop(Stepped())
    loop.on_error = lambda error: None
    made = Core(loop, Scripted(serve), TERMS, Hosts(), Record(Log(), ["a", "b", "c"]), "g")
    made.finals = []
    return made


def take(made, left=SECOND):
    return made.submit(Call("m", "", (), b""), 0, 0, 1, None, made.loop.now(), left, made.finals.append)


def turns(made, span=0):
    made.loop.run(until=made.loop.sleep(span))


def relay_and_wait(now, task):
    yield face.Attempt("w")
    _, outcome = yield face.Wait(now + 10 * SECOND)


def test_a_delivered_answer_is_final_and_the_module_is_told_that_it_ended():
    made = core(relay_and_wait)
    take(made)
    made.hosts.sent[0](DONE)
    turns(made)
    assert [final.ending for final in made.finals] == [Ending.DELIVERED] and made.finals[
        0
    ].answer.body == b"done"
    assert made.gateway.told[0].ended and not made.in_flight and not made.wait_timers


def test_a_second_final_answer_reaches_nobody():
    def serve(now, task):
        yield face.Reject(5)
        yield face.Fail()

    made = core(serve)
    take(made)
    turns(made)
    assert [final.ending for final in made.finals] == [Ending.REJECTED] and made.finals[0].retry_after == 5


@pytest.mark.parametrize("when", ["first", "later"])
def test_an_error_in_the_module_ends_that_task_alone(when):
    def serve(now, task):
        if when == "later":
            yield face.Attempt("w")
            yield face.Wait(now + MILLI)
        raise KeyError("odd")
        yield

    made = core(serve)
    take(made)
    turns(made, 2 * MILLI)
    assert [final.ending for final in made.finals] == [Ending.FAILED]
    made.gateway.serve = relay_and_wait
    take(made)
    made.hosts.sent[-1](DONE)
    turns(made)
    assert made.finals[-1].ending is Ending.DELIVERED


def test_a_module_that_never_answers_is_answered_for_at_the_limit():
    made = core(lambda now, task: iter([face.Wait(now + 100 * SECOND)]))
    made.gateway.serve = relay_and_wait
    take(made, left=300 * MILLI)
    turns(made, 299 * MILLI)
    assert not made.finals
    turns(made, 2 * MILLI)
    assert [final.ending for final in made.finals] == [Ending.FAILED] and made.hosts.taken_back == ["w"]
    assert made.gateway.told[0].result is face.Result.TIMEOUT and not made.in_flight


def test_when_the_client_leaves_the_module_hears_of_it_and_nobody_is_answered():
    def serve(now, task):
        yield face.Attempt("w")
        _, outcome = yield face.Wait(now + SECOND)
        assert outcome.result is face.Result.CLIENT_LEFT
        yield face.Cancel(0)

    made = core(serve)
    key = take(made)
    made.client_left(key)
    turns(made)
    assert made.finals == [] and made.hosts.taken_back == ["w"] and not made.in_flight
    assert [outcome.result for outcome in made.gateway.told] == [face.Result.CANCELLED]
    made.client_left(key)  # a second time is nothing


def test_a_relay_still_out_after_the_final_answer_is_accounted_for_at_the_limit():
    def serve(now, task):
        yield face.Attempt("w")
        yield face.Fail()

    made = core(serve)
    take(made)
    turns(made)
    assert len(made.finals) == 1 and made.in_flight
    emptied = []
    made.on_idle = lambda: emptied.append(True)
    turns(made, 2 * SECOND)
    assert not made.in_flight and emptied and made.gateway.told[0].result is face.Result.TIMEOUT


def test_what_has_not_begun_when_its_task_ends_never_does_whatever_the_settings_allow():
    def serve(now, task):
        yield face.Attempt("w")
        yield face.Wait(now + MILLI)
        yield face.Reject(0)

    made = core(serve)
    made.hosts.started = False
    take(made)
    turns(made, 2 * MILLI)
    assert made.finals[0].ending is Ending.REJECTED
    assert made.hosts.taken_back == ["w"] and not made.in_flight
    assert made.gateway.told[0].result is face.Result.NOT_SENT


def test_a_wait_is_resumed_at_its_time_and_moved_by_an_outcome():
    times = []

    def serve(now, task):
        yield face.Attempt("w")
        for _ in range(3):
            now, outcome = yield face.Wait(now + 10 * MILLI)
            times.append((now, outcome and outcome.result))
        yield face.Fail()

    made = core(serve)
    take(made)
    made.loop.after(15 * MILLI, lambda: made.hosts.sent[0](AttemptResult(face.Result.FULL, None)))
    turns(made, 100 * MILLI)
    assert times == [(10 * MILLI, None), (15 * MILLI, face.Result.FULL), (25 * MILLI, None)]


def test_a_gone_workers_counts_are_forgotten():
    made = Record(None, ["check"])
    made.attempt_ended("a", 0, face.Result.RESET)
    made.attempt_ended("b", 0, face.Result.OK)
    made.forget_host("a")
    assert made.snapshot() == {"relay": {"b": {"ok": 1}}}
