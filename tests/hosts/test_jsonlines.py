"""The JSON Lines client: attempts, load orders and probes, and which connections it reuses."""

from types import SimpleNamespace

import pytest
from helpers import makers, row, turn_until

from gaproute.decisions.connections.pooling import ConnectionReusePolicy
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.jsonlines.client import JsonLinesClient
from gaproute.interface import Idempotency, ListedHostState, Result
from gaproute.interface.call import Call
from gaproute.loop import Loop
from gaproute.standins.platform import ScriptedHost

MILLI, SECOND = 1_000_000, 1_000_000_000
DEPLOYMENT_SETTINGS = SimpleNamespace(
    idle_time=15 * SECOND,
    connect_time=250 * MILLI,
    order_time=SECOND,
    requests_per_connection=100,
    same_function_counted=True,
    cancel_allowed=True,
)
CALL = Call("7f3a9c21e0b4d655", "", (), b"Ym9keQ==", "9b1f03aa5c7e2d41", "fault-check")


class ClientSetup:
    """A JSON Lines client with one scripted host."""

    def __init__(self, answer=None, max_connections=8):
        self.loop = Loop()
        self.host = ScriptedHost(self.loop, answer)
        self.client = JsonLinesClient(
            self.loop, ConnectionReusePolicy(), DEPLOYMENT_SETTINGS, max_connections
        )
        self.list_host(ListedHostState.ACTIVE)
        self.attempt_results = []

    def list_host(self, state):
        self.client.update([Endpoint(row("h", state=state), self.host.address)], complete=True)

    def send(self, idempotency=Idempotency.IDEMPOTENT, request_id=CALL.request_id, time_left=SECOND):
        return self.client.send(
            "h",
            CALL._replace(request_id=request_id),
            idempotency,
            "t",
            self.loop.now() + time_left,
            self.loop.now() + time_left,
            self.attempt_results.append,
        ).cancel

    def run_until(self, condition):
        turn_until(self.loop, condition)

    def wait_for_results(self, count):
        self.run_until(lambda: len(self.attempt_results) >= count)
        return [attempt_result.result for attempt_result in self.attempt_results]

    def close(self):
        self.client.close()
        self.host.close()
        self.loop.close()


@pytest.fixture
def make_setup():
    yield from makers(ClientSetup)


def test_attempt_sends_id_class_function_and_body_unchanged(make_setup):
    setup = make_setup()
    setup.send()
    assert setup.wait_for_results(1) == [Result.OK]
    assert setup.attempt_results[0].answer.body == CALL.body
    sent = setup.host.came[0]
    assert (sent["req"], sent["data"]) == (CALL.request_id, "Ym9keQ==")
    assert sent["meta"]["cls"] == "fault-check"
    assert sent["meta"]["item"] == CALL.model
    assert 900 <= sent["meta"]["limit"] <= 1000


def test_attempts_share_connections_only_at_the_connection_limit(make_setup):
    setup = make_setup(answer=lambda stream, command: None, max_connections=2)
    for number in range(4):
        setup.send(request_id=f"{number:016x}")
    setup.run_until(lambda: len(setup.host.came) == 4)
    assert len(setup.host.streams) == 2
    assert setup.client.requests_multiplexed == 2


def test_second_attempt_of_a_request_never_shares_a_connection_with_the_first(make_setup):
    setup = make_setup(answer=lambda stream, command: None, max_connections=1)
    setup.send()
    setup.send()
    assert setup.wait_for_results(1) == [Result.NOT_SENT]
    assert setup.client.requests_multiplexed == 0
    setup.client.max_connections = 2
    setup.send()
    setup.run_until(lambda: len(setup.host.came) == 2)
    assert len(setup.host.streams) == 2


def test_late_reply_to_a_cancelled_attempt_is_ignored(make_setup):
    setup, received = make_setup(answer=lambda stream, command: received.append((stream, command))), []
    cancel = setup.send()
    setup.run_until(lambda: received)
    cancel()
    setup.run_until(lambda: len(received) == 2)
    assert received[1][1] == {"type": "halt", "req": CALL.request_id}
    setup.send()  # has the same id, so goes on another connection
    setup.run_until(lambda: len(received) == 3)
    assert received[2][0] is not received[0][0]
    setup.host.reply(received[0][0], received[0][1], "served", data="b2xk")
    setup.host.reply(received[2][0], received[2][1], "served", data="bmV3")
    assert setup.wait_for_results(1) == [Result.OK]
    assert setup.attempt_results[0].answer.body == b"bmV3"
    setup.run_until(lambda: setup.client.unmatched_replies == 1)


def test_duplicate_replies_and_replies_to_unknown_ids_are_ignored(make_setup):
    def answer(stream, command):
        setup.host.reply(stream, {"req": "ffffffffffffffff"}, "served", data="eA==")
        setup.host.serve(stream, command)
        setup.host.serve(stream, command)

    setup = make_setup(answer=answer)
    setup.send()
    assert setup.wait_for_results(1) == [Result.OK]
    assert setup.attempt_results[0].answer.body == CALL.body
    setup.run_until(lambda: setup.client.unmatched_replies == 2)
    setup.send(request_id="1" * 16)
    assert setup.wait_for_results(2) == [Result.OK, Result.OK]
    assert len(setup.host.streams) == 1


def test_malformed_line_or_reset_may_have_run_and_refused_connection_never_ran(make_setup):
    setup = make_setup(answer=lambda stream, command: stream.write(b"noise\n"))
    setup.send()
    assert setup.wait_for_results(1) == [Result.ERROR]
    setup.host.answer = lambda stream, command: stream.abort()
    setup.send()
    assert setup.wait_for_results(2)[1] is Result.RESET
    setup.host.close()
    setup.send()
    assert setup.wait_for_results(3)[2] is Result.CONNECT_FAILED


def test_draining_host_gets_no_further_request_and_completes_those_in_flight(make_setup):
    held = []
    setup = make_setup(answer=lambda stream, command: held.append((stream, command)))
    setup.send()
    setup.run_until(lambda: held)
    setup.send(request_id="1" * 16)  # its connection is still being opened
    setup.list_host(ListedHostState.DRAINING)
    setup.send(request_id="2" * 16)
    setup.wait_for_results(2)
    setup.host.serve(*held[0])
    assert sorted(result.value for result in setup.wait_for_results(3)) == [
        "connect_failed",
        "connect_failed",
        "ok",
    ]
    assert [command["req"] for _, command in held] == [CALL.request_id]


def test_removed_host_is_forgotten_and_another_host_may_take_its_address(make_setup):
    setup = make_setup()
    setup.send()
    setup.wait_for_results(1)
    setup.client.update([Endpoint(row("h2"), setup.host.address)], complete=True)
    setup.run_until(lambda: "h" not in setup.client.hosts)
    setup.client.send(
        "h2",
        CALL,
        Idempotency.IDEMPOTENT,
        "t",
        setup.loop.now() + SECOND,
        1 << 62,
        setup.attempt_results.append,
    )
    assert setup.wait_for_results(2) == [Result.OK, Result.OK]


def test_silent_connection_of_a_cancelled_attempt_is_closed(make_setup):
    setup = make_setup(answer=lambda stream, command: None)
    setup.client.pooling.is_silent = lambda now, since: True
    cancel = setup.send()
    setup.run_until(lambda: setup.host.came)
    cancel()
    assert not setup.client.connection_count()


def test_non_idempotent_attempt_avoids_an_idle_connection_with_unexpected_bytes(make_setup):
    setup = make_setup()
    setup.send()
    setup.wait_for_results(1)
    setup.host.streams[0].sock.send(b"x")  # still unread, as the loop has not run since
    setup.send(Idempotency.NON_IDEMPOTENT, "1" * 16)
    assert setup.wait_for_results(2) == [Result.OK, Result.OK]
    assert len(setup.host.streams) == 2


def test_load_orders_and_probes_have_ids_of_their_own(make_setup):
    setup, callback_results = make_setup(), []
    setup.client.order("h", CALL.model, 2, lambda *result: callback_results.append(result))
    setup.client.probe("h", lambda report, *, good: callback_results.append((good, report)))
    setup.run_until(lambda: len(callback_results) == 2)
    assert (Result.OK, 2) in callback_results
    assert any(good is True and report.cpu_busy == 0.25 for good, report in callback_results if good is True)
    assert len({command["req"] for command in setup.host.came}) == 2


def test_load_order_without_a_reply_ends_once_as_timed_out(make_setup):
    setup, callback_results = make_setup(answer=lambda stream, command: None), []
    setup.client.order_timeout = 20 * MILLI
    setup.client.order("h", CALL.model, 2, lambda *result: callback_results.append(result))
    setup.run_until(lambda: callback_results)
    assert callback_results == [(Result.TIMEOUT, 0)]


def test_connections_closed_while_idle_do_not_prevent_reuse_of_later_ones(make_setup):
    setup = make_setup()
    for number in range(3):
        setup.send(request_id=f"{number:016x}")
        setup.wait_for_results(number + 1)
        setup.host.streams[-1].close()
        setup.run_until(lambda: not setup.client.connection_count())
    setup.send(request_id="a" * 16)
    setup.wait_for_results(4)
    setup.send(request_id="b" * 16)
    setup.wait_for_results(5)
    assert setup.client.connections_opened == 4
    assert setup.client.connections_reused == 1


def test_host_that_resets_reused_connections_gets_new_ones_for_a_while(make_setup):
    def answer(stream, command):
        if stream in used_streams:
            stream.abort()
        else:
            used_streams.append(stream)
            setup.host.serve(stream, command)

    used_streams, setup = [], make_setup(answer=answer)
    for number in range(4):  # the host serves the first and resets the reused connection at the next
        setup.send(request_id=f"{number:016x}")
        setup.wait_for_results(number + 1)
    setup.send(Idempotency.NON_IDEMPOTENT, "e" * 16)
    results = setup.wait_for_results(5)
    assert results.count(Result.RESET) == 2
    assert results[4] is Result.OK
    setup.send(request_id="f" * 16)
    assert setup.wait_for_results(6)[5] is Result.OK


def test_stale_ends_prevent_reuse_for_a_while_and_one_suffices_for_non_idempotent_requests():
    pooling = ConnectionReusePolicy()
    pooling.record_stale_end(0, "h", 100 * MILLI, MILLI)
    assert pooling.allows_reuse(SECOND, "h", Idempotency.IDEMPOTENT)
    assert not pooling.allows_reuse(SECOND, "h", Idempotency.NON_IDEMPOTENT)
    pooling.record_stale_end(0, "h", 100 * MILLI, MILLI)
    assert not pooling.allows_reuse(SECOND, "h", Idempotency.IDEMPOTENT)
    assert pooling.allows_reuse(SECOND, "other", Idempotency.IDEMPOTENT)
    assert pooling.allows_reuse(11 * SECOND, "h", Idempotency.NON_IDEMPOTENT)
    assert not pooling.allows_reuse(
        SECOND, "other", Idempotency.NON_IDEMPOTENT
    )  # a proxy before all hosts may end them
    pooling = ConnectionReusePolicy()
    pooling.record_stale_end(
        0, "i", 100 * MILLI, SECOND
    )  # ended long after the request was sent, so it was not stale
    assert pooling.allows_reuse(SECOND, "i", Idempotency.NON_IDEMPOTENT)


@pytest.mark.parametrize(
    ("idempotency", "max_idle_seconds"), [(Idempotency.IDEMPOTENT, 13.5), (Idempotency.NON_IDEMPOTENT, 3.75)]
)
def test_max_idle_time_follows_the_announced_one_and_is_shorter_for_non_idempotent_requests(
    idempotency, max_idle_seconds
):
    assert (
        ConnectionReusePolicy().max_idle_time(0, "h", idempotency, 15 * SECOND) == max_idle_seconds * SECOND
    )
    assert ConnectionReusePolicy().max_idle_time(0, "h", idempotency, 0) == 0


def test_load_order_timeout_closes_a_silent_connection(make_setup):
    """The load order limiter depends on this: a load order arrives within a bounded time or never."""
    setup, order_results = make_setup(lambda stream, command: None), []
    setup.client.order_timeout = 20 * MILLI
    setup.client.order("h", "f", 1, lambda result, instance_count: order_results.append(result))
    setup.run_until(lambda: order_results)
    assert order_results == [Result.TIMEOUT]
    assert setup.client.connection_count() == 0


def test_load_order_timeout_keeps_a_connection_on_which_the_host_replies(make_setup):
    def answer(stream, command):
        if command["type"] == "go":
            setup.host.serve(stream, command)

    setup, order_results = make_setup(answer, max_connections=1), []
    setup.client.order_timeout = 100 * MILLI
    setup.client.order("h", "f", 1, lambda result, instance_count: order_results.append(result))
    setup.run_until(lambda: setup.host.seen("stage"))
    setup.send()
    assert setup.wait_for_results(1) == [Result.OK]
    setup.run_until(lambda: order_results)
    assert setup.client.connection_count() == 1
