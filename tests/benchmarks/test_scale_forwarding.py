"""The measured fleet of two gateways that forward calls to each other."""

import random

import pytest

from benchmarks.scale import forwarding_clients
from benchmarks.scale.forwarding import ForwardingFleet
from benchmarks.scale.forwarding_clients import CONNECTIONS, SECOND, ClientGroup, arrivals, max_calls
from gaproute.http1 import Server
from gaproute.loop.addresses import parse_address


@pytest.fixture
def fleet():
    """Gateways with few functions, so that they start at once."""
    made = ForwardingFleet(1, models=600)
    yield made
    made.close()


def test_forwarded_calls_are_answered_and_cost_both_gateways_where_others_cost_one(fleet):
    forwarded = fleet.play({"a1": "b1"}, 100, 1, 1)
    assert forwarded.failed == 0, forwarded.failures
    assert 60 <= forwarded.calls == forwarded.forwarded <= 140
    own = fleet.play({"a1": "a1"}, 100, 1, 1)
    assert own.failed == own.forwarded == 0, own.failures
    assert forwarded.cpu["b1"] > 3 * own.cpu["b1"]
    assert 0 < own.p50 <= own.p99
    assert 0 < forwarded.p50 <= forwarded.p99


@pytest.mark.parametrize(("rate", "seconds"), [(24, 4), (60, 1), (100, 1), (194, 4)])
def test_functions_are_set_aside_for_all_calls_that_come_by_chance(rate, seconds):
    """With 1.2 times the mean, one play of 45 at 100 a second asked for a function that was not there."""
    counts = [
        sum(1 for _ in arrivals(random.Random(seed), rate, 0, seconds * SECOND)) for seed in range(2000)
    ]
    assert max(counts) <= max_calls(rate, seconds)
    assert abs(sum(counts) / len(counts) - rate * seconds) < 0.01 * rate * seconds


class Answering:
    """A server that gives each call the answer of its turn, the last one to all that follow."""

    def __init__(self, group, *statuses, after=0):
        self.loop, self.statuses, self.after = group.loop, list(statuses), after
        self.targets_by_status = {}  # status: targets of the requests that got it
        self.server = Server(group.loop, parse_address("127.0.0.1:0"), self.handle)

    def handle(self, request):
        status = self.statuses.pop(0) if len(self.statuses) > 1 else self.statuses[0]
        self.targets_by_status.setdefault(status, []).append(bytes(request.target).decode())
        self.loop.call_later(
            self.after, self.server.answer, request, status, ((b"Why", b"busy"),), b"details"
        )


@pytest.fixture
def group_at():
    """`group_at(statuses, functions, rate)`: clients of a server of their own, who ask for 0.1 s."""
    made = []

    def make(statuses, functions, rate, after=0):
        group = ClientGroup({"127.0.0.1:1": functions}, rate, 0.1, 1)
        made.append(Answering(group, *statuses, after=after))
        group.server = made[-1]
        group.clients[0].where = made[-1].server.address
        return group

    yield make
    for each in made:
        each.server.close()
        each.loop.close()


def test_what_a_failed_call_was_answered_is_reported(group_at):
    """Calls go out on connections of their own: the kernel decides which is read first."""
    group = group_at([503, 200], [f"m{number}" for number in range(100)], 200)
    figures = group.play()
    assert figures["failed"] == 1
    assert figures["calls"] > 2
    (failure,) = figures["failures"]
    (refused,) = group.server.targets_by_status[503]
    function = refused.split("/")[3]
    assert failure.startswith(f"{function}: 503")
    assert "busy" in failure
    assert "details" in failure


def test_a_call_that_is_answered_after_the_play_is_waited_for(group_at):
    figures = group_at([200], [f"m{number}" for number in range(100)], 200, after=SECOND // 2).play()
    assert figures["failed"] == 0
    assert figures["calls"] > 2
    assert figures["p50_ms"] >= 500


def test_a_call_that_begins_as_the_play_ends_is_waited_for(group_at, monkeypatch):
    """Its timer fires just behind that of the end, when no other call is open."""
    monkeypatch.setattr(forwarding_clients, "arrivals", lambda chance, rate, begin, end: [end - 1])
    group = group_at([200], ["m0"], 200)
    figures = group.play()
    assert figures["failed"] == 0
    assert figures["calls"] == 1
    assert group.open == {}


def test_clients_that_run_out_of_functions_are_an_error_and_no_failed_call(group_at):
    with pytest.raises(RuntimeError, match="no function is left"):
        group_at([200], ["m0", "m1"], 400).play()
    assert CONNECTIONS > 2  # else it were the connections that ran out


def test_a_play_that_would_call_functions_too_often_is_refused(fleet):
    with pytest.raises(ValueError, match="too many for one fleet"):
        fleet.play({"a1": "b1"}, 1_000, 2, 1)
