"""Stand-in clients of the KServe form on one loop, before a gateway that the test plays."""

import json

import pytest
from helpers import ListTap, turn_until

from gaproute.http1 import Server
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.standins.kserve.clients import KServeClients, KServeLoad, KServeTraffic
from gaproute.standins.kserve.host import reset_connection
from gaproute.standins.traffic import ClientRequestClass

MILLI, SECOND = 1_000_000, 1_000_000_000
DELIVERED = ((b"Gaproute-Outcome", b"delivered"),)


class Played:
    """Clients with one task, and one gateway: `answer(gateway, request, name)` is called for each request."""

    def __init__(self, answer, where=None, **habits):
        self.loop, self.answer, self.came = Loop(), answer, []
        self.tap = ListTap(self.loop.clock)
        self.server = Server(self.loop, parse_address("127.0.0.1:0"), self.handle)
        load = KServeLoad(
            gateways=[where or self.server.address],
            classes=[ClientRequestClass("p", 1.0, SECOND, ("m",))],
            traffic=KServeTraffic(**{"rate": 1.0, "impatient": 0.0, "retries": 0} | habits),
            seed=7,
            until=self.loop.now() - 1,
        )
        self.clients = KServeClients(self.loop, load, self.tap)

    def handle(self, request):
        self.came.append(json.loads(request.body)["id"])
        self.answer(self, request, self.came[-1])

    def deliver(self, request, name):
        self.server.answer(request, 200, DELIVERED, json.dumps({"id": name}).encode())

    def ask(self):
        """One more task."""
        self.clients.start_request()

    def seen(self, what):
        return [event for event in self.tap.events if event["what"] == what]

    def until(self, what, count=1):
        turn_until(self.loop, lambda: len(self.seen(what)) >= count)

    def close(self):
        self.server.close()
        self.loop.close()


@pytest.fixture
def play():
    made = []

    def make(*args, **options):
        made.append(Played(*args, **options))
        return made[-1]

    yield make
    for each in made:
        each.close()


def read_and_closed(played, request, name):
    """No answer, but an end that the client cannot take for a reset."""
    request.connection.close_gracefully()


def test_a_body_made_for_another_request_is_unmatched(play):
    played = play(lambda played, request, name: played.deliver(request, "other"))
    played.until("answer")
    assert [name in event["text"] for name, event in zip(played.came, played.seen("stray"), strict=True)] == [
        True
    ]


def test_the_first_request_of_a_connection_is_lost_when_it_was_read_and_closed(play):
    played = play(read_and_closed)
    played.until("broken")
    assert len(played.came) == 1


def test_a_request_on_a_reused_connection_is_lost_when_it_was_read_and_closed(play):
    def second_closed(played, request, name):
        if len(played.came) == 2:
            read_and_closed(played, request, name)
        else:
            played.deliver(request, name)

    played = play(second_closed)
    played.until("answer")
    played.ask()
    played.until("broken")
    assert len(played.came) == 2


def test_a_request_whose_connection_is_reset_at_once_is_sent_once_more_and_no_more(play):
    played = play(lambda played, request, name: reset_connection(request))
    played.until("broken")
    assert len(played.came) == 2
    assert played.came[0] == played.came[1]


def test_a_request_whose_connection_is_reset_later_is_lost(play):
    played = play(lambda played, request, name: played.loop.call_later(80 * MILLI, reset_connection, request))
    played.until("broken")
    assert len(played.came) == 1


def test_a_request_that_finds_no_gateway_is_noted_with_its_class_and_time(play):
    played = play(None, where="127.0.0.1:1")
    played.until("unreachable")
    (noted,) = played.seen("unreachable")
    assert noted["first"] == noted["id"]
    assert noted["track"] == "p"
    assert noted["asked"] > 0


def answered_after(span):
    """A gateway that delivers each answer `span` ms after its request."""
    return lambda played, request, name: played.loop.call_later(span * MILLI, played.deliver, request, name)


def test_an_answer_before_its_deadline_is_in_time(play):
    played = play(answered_after(150), patience=(0.2, 0.2))
    played.until("answer")
    assert played.seen("answered late") == played.seen("overdue") == []


def test_an_answer_within_half_a_second_after_its_deadline_is_late_and_not_lost(play):
    played = play(answered_after(300), patience=(0.2, 0.2))
    played.until("answered late")
    (noted,) = played.seen("answered late")
    assert noted["due"] == noted["asked"] + 200 * MILLI < noted["at"]
    assert (noted["status"], noted["outcome"]) == (200, "delivered")
    assert played.seen("answer") == played.seen("overdue") == []


def test_a_client_gives_up_half_a_second_after_the_deadline(play):
    played = play(answered_after(900), patience=(0.2, 0.2))
    played.until("overdue")
    (noted,) = played.seen("overdue")
    assert noted["due"] == noted["asked"] + 200 * MILLI
    assert noted["at"] >= noted["due"] + 500 * MILLI
    assert played.clients.open_requests == 0


def test_a_late_rejection_is_not_retried(play):
    def reject_late(played, request, name):
        rejected = (b"Gaproute-Outcome", b"declined")
        played.loop.call_later(300 * MILLI, played.server.answer, request, 503, (rejected,), b"")

    played = play(reject_late, patience=(0.2, 0.2), retries=1)
    played.until("done")
    assert len(played.came) == len(played.seen("answered late")) == 1


def test_a_connection_that_ends_after_the_deadline_leaves_its_request_overdue(play):
    def close_late(played, request, name):
        played.loop.call_later(300 * MILLI, read_and_closed, played, request, name)

    played = play(close_late, patience=(0.2, 0.2))
    played.until("overdue")
    (noted,) = played.seen("overdue")
    assert noted["due"] == noted["asked"] + 200 * MILLI
    assert played.seen("broken") == []
