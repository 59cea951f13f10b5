"""The core with scripted decisions and scripted hosts, on a clock that only the waits of the loop advance."""

import pytest
from helpers import ROUTING_SETTINGS

from gaproute import interface
from gaproute.core.core import Core
from gaproute.core.in_flight import AttemptResult
from gaproute.interface.call import Answer, Call, FinalResult
from gaproute.loop import Loop, SteppedClock
from gaproute.telemetry.record import GatewayRecord

MILLI, SECOND = 1_000_000, 1_000_000_000
DELIVERED_RESULT = AttemptResult(interface.Result.OK, Answer(200, (), b"done"))


class ScriptedDecisions:
    """Decisions whose `serve` the test defines."""

    def __init__(self, serve):
        self.serve, self.outcomes = serve, []

    def attempt_ended(self, now, outcome):
        self.outcomes.append(outcome)

    def housekeep(self, now):
        yield interface.Wait(now + SECOND)

    def update_hosts(self, now, rows, *, complete):
        pass


class ScriptedHandle:
    """The handle of an attempt at the scripted hosts."""

    cancellable = False  # the host has received the request completely

    def __init__(self, cancel, started):
        self.cancel, self.started = cancel, started


class ScriptedHosts:
    started = True  # whether the host of an attempt has received any byte of the request

    def __init__(self):
        self.sent, self.cancelled = [], []

    def send(self, host, call, idempotency, request, limit, until, done):
        self.sent.append(done)
        return ScriptedHandle(lambda: self.cancelled.append(host), self.started)


class IgnoringLog:
    def __getattr__(self, level):
        return lambda *_, **__: None


def make_core(serve):
    loop = Loop(SteppedClock())
    loop.on_error = lambda error: None
    core = Core(
        loop,
        ScriptedDecisions(serve),
        ROUTING_SETTINGS,
        ScriptedHosts(),
        GatewayRecord(IgnoringLog(), ["a", "b", "c"]),
        "g",
    )
    core.finals = []
    return core


def submit(core, time_left=SECOND):
    return core.submit(Call("m", "", (), b""), 0, 0, 1, None, core.loop.now(), time_left, core.finals.append)


def run_loop(core, duration=0):
    core.loop.run(until=core.loop.sleep(duration))


def attempt_and_wait(now, request):
    yield interface.Attempt("w")
    _, outcome = yield interface.Wait(now + 10 * SECOND)


def test_an_answer_is_delivered_as_the_final_answer_and_the_decisions_learn_the_outcome():
    core = make_core(attempt_and_wait)
    submit(core)
    core.hosts.sent[0](DELIVERED_RESULT)
    run_loop(core)
    assert [final.result for final in core.finals] == [FinalResult.DELIVERED]
    assert core.finals[0].answer.body == b"done"
    assert core.gateway.outcomes[0].request_ended
    assert not core.in_flight
    assert not core.wait_timers


def test_a_second_final_answer_is_dropped():
    def serve(now, request):
        yield interface.Reject(5)
        yield interface.Fail()

    core = make_core(serve)
    submit(core)
    run_loop(core)
    assert [final.result for final in core.finals] == [FinalResult.REJECTED]
    assert core.finals[0].retry_after == 5


@pytest.mark.parametrize("when", ["first", "later"])
def test_an_error_of_the_decisions_ends_only_its_request(when):
    def serve(now, request):
        if when == "later":
            yield interface.Attempt("w")
            yield interface.Wait(now + MILLI)
        raise KeyError("odd")
        yield

    core = make_core(serve)
    submit(core)
    run_loop(core, 2 * MILLI)
    assert [final.result for final in core.finals] == [FinalResult.FAILED]
    core.gateway.serve = attempt_and_wait
    submit(core)
    core.hosts.sent[-1](DELIVERED_RESULT)
    run_loop(core)
    assert core.finals[-1].result is FinalResult.DELIVERED


def test_a_request_without_a_final_answer_of_the_decisions_fails_at_its_deadline():
    core = make_core(lambda now, request: iter([interface.Wait(now + 100 * SECOND)]))
    core.gateway.serve = attempt_and_wait
    submit(core, time_left=300 * MILLI)
    run_loop(core, 299 * MILLI)
    assert not core.finals
    run_loop(core, 2 * MILLI)
    assert [final.result for final in core.finals] == [FinalResult.FAILED]
    assert core.hosts.cancelled == ["w"]
    assert core.gateway.outcomes[0].result is interface.Result.TIMEOUT
    assert not core.in_flight


def test_when_the_client_leaves_the_decisions_are_notified_and_no_final_answer_is_given():
    def serve(now, request):
        yield interface.Attempt("w")
        _, outcome = yield interface.Wait(now + SECOND)
        assert outcome.result is interface.Result.CLIENT_LEFT
        yield interface.Cancel(0)

    core = make_core(serve)
    key = submit(core)
    core.client_left(key)
    run_loop(core)
    assert core.finals == []
    assert core.hosts.cancelled == ["w"]
    assert not core.in_flight
    assert [outcome.result for outcome in core.gateway.outcomes] == [interface.Result.CANCELLED]
    core.client_left(key)  # a second call has no effect


def test_an_attempt_in_flight_after_the_final_answer_times_out_at_the_deadline():
    def serve(now, request):
        yield interface.Attempt("w")
        yield interface.Fail()

    core = make_core(serve)
    submit(core)
    run_loop(core)
    assert len(core.finals) == 1
    assert core.in_flight
    idle_calls = []
    core.on_idle = lambda: idle_calls.append(True)
    run_loop(core, 2 * SECOND)
    assert not core.in_flight
    assert idle_calls
    assert core.gateway.outcomes[0].result is interface.Result.TIMEOUT


def test_an_attempt_that_has_not_started_is_withdrawn_when_its_request_ends_whatever_the_settings():
    def serve(now, request):
        yield interface.Attempt("w")
        yield interface.Wait(now + MILLI)
        yield interface.Reject(0)

    core = make_core(serve)
    core.hosts.started = False
    submit(core)
    run_loop(core, 2 * MILLI)
    assert core.finals[0].result is FinalResult.REJECTED
    assert core.hosts.cancelled == ["w"]
    assert not core.in_flight
    assert core.gateway.outcomes[0].result is interface.Result.NOT_SENT


def test_a_wait_ends_at_its_time_or_with_an_outcome():
    times = []

    def serve(now, request):
        yield interface.Attempt("w")
        for _ in range(3):
            now, outcome = yield interface.Wait(now + 10 * MILLI)
            times.append((now, outcome and outcome.result))
        yield interface.Fail()

    core = make_core(serve)
    submit(core)
    core.loop.call_later(15 * MILLI, lambda: core.hosts.sent[0](AttemptResult(interface.Result.FULL, None)))
    run_loop(core, 100 * MILLI)
    assert times == [(10 * MILLI, None), (15 * MILLI, interface.Result.FULL), (25 * MILLI, None)]


def test_the_counts_of_a_host_that_is_gone_are_dropped():
    record = GatewayRecord(None, ["check"])
    record.count_attempt_result("a", 0, interface.Result.RESET)
    record.count_attempt_result("b", 0, interface.Result.OK)
    record.forget_host("a")
    assert record.snapshot() == {"attempts": {"b": {"ok": 1}}}


def test_housekeeping_restarts_with_the_next_host_list_after_an_error():
    started = []

    def housekeep(now):
        started.append(now)
        yield interface.Wait(now + MILLI)
        raise KeyError("odd")

    core = make_core(attempt_and_wait)
    core.gateway.housekeep = housekeep
    core.update_hosts([], complete=True)
    run_loop(core, 2 * MILLI)
    core.update_hosts([], complete=True)
    core.update_hosts([], complete=True)
    assert len(started) == 2


def test_an_unknown_action_of_the_decisions_fails_its_request():
    def serve(now, request):
        yield "odd"

    core = make_core(serve)
    submit(core)
    run_loop(core)
    assert [final.result for final in core.finals] == [FinalResult.FAILED]
    assert not core.in_flight
