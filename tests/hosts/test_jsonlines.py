"""Attempts, load orders and probes as lines on the connections to hosts, and when these are used again."""

from types import SimpleNamespace

import pytest
from helpers import makers, row, turn_until

from gaproute.decisions.connections.pooling import Pooling
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.jsonlines.client import JsonLinesClient
from gaproute.interface import Idempotency, ListedHostState, Result
from gaproute.interface.call import Call
from gaproute.loop import Loop
from gaproute.standins.platform import ScriptedHost

MILLI, SECOND = 1_000_000, 1_000_000_000
SITE = SimpleNamespace(
    idle_time=15 * SECOND,
    connect_time=250 * MILLI,
    order_time=SECOND,
    requests_per_connection=100,
    same_function_counted=True,
    cancel_allowed=True,
)
CALL = Call("7f3a9c21e0b4d655", "", (), b"Ym9keQ==", "9b1f03aa5c7e2d41", "fault-check")


class Bench:
    def __init__(self, answer=None, room=8):
        self.loop = Loop()
        self.host = ScriptedHost(self.loop, answer)
        self.hosts = JsonLinesClient(self.loop, Pooling(), SITE, room)
        self.list(ListedHostState.ACTIVE)
        self.heard = []

    def list(self, state):
        self.hosts.update([Endpoint(row("h", state=state), self.host.address)], complete=True)

    def send(self, idempotency=Idempotency.IDEMPOTENT, request_id=CALL.request_id, left=SECOND):
        return self.hosts.send(
            "h",
            CALL._replace(request_id=request_id),
            idempotency,
            "t",
            self.loop.now() + left,
            self.loop.now() + left,
            self.heard.append,
        ).cancel

    def until(self, condition):
        turn_until(self.loop, condition)

    def results(self, count):
        self.until(lambda: len(self.heard) >= count)
        return [heard.result for heard in self.heard]

    def close(self):
        self.hosts.close()
        self.host.close()
        self.loop.close()


@pytest.fixture
def bench():
    yield from makers(Bench)


def test_an_attempt_passes_id_class_function_and_body_unchanged(bench):
    made = bench()
    made.send()
    assert made.results(1) == [Result.OK]
    assert made.heard[0].answer.body == CALL.body
    sent = made.host.came[0]
    assert (sent["req"], sent["data"]) == (CALL.request_id, "Ym9keQ==")
    assert sent["meta"]["cls"] == "fault-check"
    assert sent["meta"]["item"] == CALL.model
    assert 900 <= sent["meta"]["limit"] <= 1000


def test_each_attempt_has_a_connection_of_its_own_while_there_is_room_then_they_share(bench):
    made = bench(answer=lambda stream, command: None, room=2)
    for number in range(4):
        made.send(request_id=f"{number:016x}")
    made.until(lambda: len(made.host.came) == 4)
    assert len(made.host.streams) == 2
    assert made.hosts.multiplexed == 2


def test_a_second_attempt_of_a_request_never_shares_a_connection_with_the_first(bench):
    made = bench(answer=lambda stream, command: None, room=1)
    made.send()
    made.send()
    assert made.results(1) == [Result.NOT_SENT]
    assert made.hosts.multiplexed == 0
    made.hosts.max_connections = 2
    made.send()
    made.until(lambda: len(made.host.came) == 2)
    assert len(made.host.streams) == 2


def test_a_late_answer_to_a_cancelled_attempt_is_ignored(bench):
    made, late = bench(answer=lambda stream, command: late.append((stream, command))), []
    cancel = made.send()
    made.until(lambda: late)
    cancel()
    made.until(lambda: len(late) == 2)
    assert late[1][1] == {"type": "halt", "req": CALL.request_id}
    made.send()  # the same id: on another connection
    made.until(lambda: len(late) == 3)
    assert late[2][0] is not late[0][0]
    made.host.reply(late[0][0], late[0][1], "served", data="b2xk")
    made.host.reply(late[2][0], late[2][1], "served", data="bmV3")
    assert made.results(1) == [Result.OK]
    assert made.heard[0].answer.body == b"bmV3"
    made.until(lambda: made.hosts.unmatched == 1)


def test_a_copy_or_a_stranger_before_an_answer_harms_nothing(bench):
    def answer(stream, command):
        made.host.reply(stream, {"req": "ffffffffffffffff"}, "served", data="eA==")
        made.host.serve(stream, command)
        made.host.serve(stream, command)

    made = bench(answer=answer)
    made.send()
    assert made.results(1) == [Result.OK]
    assert made.heard[0].answer.body == CALL.body
    made.until(lambda: made.hosts.unmatched == 2)
    made.send(request_id="1" * 16)
    assert made.results(2) == [Result.OK, Result.OK]
    assert len(made.host.streams) == 1


def test_spoilt_lines_and_resets_may_have_run_and_a_refused_connection_never_ran(bench):
    made = bench(answer=lambda stream, command: stream.write(b"noise\n"))
    made.send()
    assert made.results(1) == [Result.ERROR]
    made.host.answer = lambda stream, command: stream.abort()
    made.send()
    assert made.results(2)[1] is Result.RESET
    made.host.close()
    made.send()
    assert made.results(3)[2] is Result.CONNECT_FAILED


def test_nothing_more_goes_to_a_host_that_drains_and_what_it_holds_runs_on(bench):
    held = []
    made = bench(answer=lambda stream, command: held.append((stream, command)))
    made.send()
    made.until(lambda: held)
    made.send(request_id="1" * 16)  # its connection is still being opened
    made.list(ListedHostState.DRAINING)
    made.send(request_id="2" * 16)
    made.results(2)
    made.host.serve(*held[0])
    assert sorted(result.value for result in made.results(3)) == ["connect_failed", "connect_failed", "ok"]
    assert [command["req"] for _, command in held] == [CALL.request_id]


def test_a_gone_host_is_forgotten_with_its_connections_and_another_may_have_its_address(bench):
    made = bench()
    made.send()
    made.results(1)
    made.hosts.update([Endpoint(row("h2"), made.host.address)], complete=True)
    made.until(lambda: "h" not in made.hosts.hosts)
    made.hosts.send(
        "h2", CALL, Idempotency.IDEMPOTENT, "t", made.loop.now() + SECOND, 1 << 62, made.heard.append
    )
    assert made.results(2) == [Result.OK, Result.OK]


def test_a_connection_that_was_silent_when_an_attempt_was_given_up_is_not_used_again(bench):
    made = bench(answer=lambda stream, command: None)
    made.hosts.pooling.is_silent = lambda now, since: True
    cancel = made.send()
    made.until(lambda: made.host.came)
    cancel()
    assert not made.hosts.connection_count()


def test_a_non_idempotent_attempt_avoids_an_idle_connection_that_has_unrequested_bytes(bench):
    made = bench()
    made.send()
    made.results(1)
    made.host.streams[0].sock.send(b"x")  # unread: this loop has had no turn
    made.send(Idempotency.NON_IDEMPOTENT, "1" * 16)
    assert made.results(2) == [Result.OK, Result.OK]
    assert len(made.host.streams) == 2


def test_orders_and_probes_under_tags_of_their_own(bench):
    made, said = bench(), []
    made.hosts.order("h", CALL.model, 2, lambda *result: said.append(result))
    made.hosts.probe("h", lambda report, *, good: said.append((good, report)))
    made.until(lambda: len(said) == 2)
    assert (Result.OK, 2) in said
    assert any(good is True and report.cpu_busy == 0.25 for good, report in said if good is True)
    assert len({command["req"] for command in made.host.came}) == 2


def test_a_lost_order_ends_once_as_timed_out(bench):
    made, said = bench(answer=lambda stream, command: None), []
    made.hosts.order_timeout = 20 * MILLI
    made.hosts.order("h", CALL.model, 2, lambda *result: said.append(result))
    made.until(lambda: said)
    assert said == [(Result.TIMEOUT, 0)]


def test_connections_that_end_at_rest_do_not_make_the_next_ones_distrusted(bench):
    made = bench()
    for number in range(3):
        made.send(request_id=f"{number:016x}")
        made.results(number + 1)
        made.host.streams[-1].close()
        made.until(lambda: not made.hosts.connection_count())
    made.send(request_id="a" * 16)
    made.results(4)
    made.send(request_id="b" * 16)
    made.results(5)
    assert made.hosts.opened == 4
    assert made.hosts.reused == 1


def test_hosts_that_end_idle_connections_at_their_next_use_get_new_ones_for_a_while(bench):
    def answer(stream, command):
        if stream in used:
            stream.abort()
        else:
            used.append(stream)
            made.host.serve(stream, command)

    used, made = [], bench(answer=answer)
    for number in range(4):  # the first is served, the next ends an idle connection
        made.send(request_id=f"{number:016x}")
        made.results(number + 1)
    made.send(Idempotency.NON_IDEMPOTENT, "e" * 16)
    results = made.results(5)
    assert results.count(Result.RESET) == 2
    assert results[4] is Result.OK
    made.send(request_id="f" * 16)
    assert made.results(6)[5] is Result.OK


def test_idle_connections_are_used_again_after_a_while_and_one_end_matters_to_non_idempotent_requests():
    pooling = Pooling()
    pooling.record_stale_end(0, "h", 100 * MILLI, MILLI)
    assert pooling.allows_reuse(SECOND, "h", Idempotency.IDEMPOTENT)
    assert not pooling.allows_reuse(SECOND, "h", Idempotency.NON_IDEMPOTENT)
    pooling.record_stale_end(0, "h", 100 * MILLI, MILLI)
    assert not pooling.allows_reuse(SECOND, "h", Idempotency.IDEMPOTENT)
    assert pooling.allows_reuse(SECOND, "other", Idempotency.IDEMPOTENT)
    assert pooling.allows_reuse(11 * SECOND, "h", Idempotency.NON_IDEMPOTENT)
    assert not pooling.allows_reuse(
        SECOND, "other", Idempotency.NON_IDEMPOTENT
    )  # what ends them stands before all hosts
    pooling = Pooling()
    pooling.record_stale_end(0, "i", 100 * MILLI, SECOND)  # at work for a while: not for its rest
    assert pooling.allows_reuse(SECOND, "i", Idempotency.NON_IDEMPOTENT)


@pytest.mark.parametrize(
    ("idempotency", "rest"), [(Idempotency.IDEMPOTENT, 13.5), (Idempotency.NON_IDEMPOTENT, 3.75)]
)
def test_a_connection_rests_as_long_as_the_host_says_it_keeps_one_and_far_less_where_nothing_may_go_twice(
    idempotency, rest
):
    assert Pooling().max_idle(0, "h", idempotency, 15 * SECOND) == rest * SECOND
    assert Pooling().max_idle(0, "h", idempotency, 0) == 0


def test_an_order_that_a_silent_host_may_still_get_never_arrives(bench):
    """The limit on load orders counts on it: an order comes within a bound or not at all."""
    made, ends = bench(lambda stream, command: None), []
    made.hosts.order_timeout = 20 * MILLI
    made.hosts.order("h", "f", 1, lambda result, copies: ends.append(result))
    made.until(lambda: ends)
    assert ends == [Result.TIMEOUT]
    assert made.hosts.connection_count() == 0


def test_an_order_under_way_at_a_host_that_talks_leaves_its_connection(bench):
    def answer(stream, command):
        if command["type"] == "go":
            made.host.serve(stream, command)

    made, ends = bench(answer, room=1), []
    made.hosts.order_timeout = 100 * MILLI
    made.hosts.order("h", "f", 1, lambda result, copies: ends.append(result))
    made.until(lambda: made.host.seen("stage"))
    made.send()
    assert made.results(1) == [Result.OK]
    made.until(lambda: ends)
    assert made.hosts.connection_count() == 1
