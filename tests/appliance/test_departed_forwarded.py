"""A forwarded call ends with its client, also where the settings allow no cancelling: the gateway that has it
may not have begun it at any host."""

import socket

import pytest
from request_scenarios import end
from scripted import MILLI, SECOND

from gaproute.decisions.cells.entries import ForwardAttempt, Forwarded
from gaproute.decisions.cells.table import EntryGateway
from gaproute.hosts.entry_gateways import EntryGateways
from gaproute.hosts.kserve.settings import DEFAULT_SETTINGS
from gaproute.http1 import Limits, Server
from gaproute.interface import Idempotency
from gaproute.interface.call import Call
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from tests.core.test_core import attempt_and_wait, make_core, run_loop, submit

CALL = Call("lamp", "", (), b"{}")


class Way:
    """The way to one entry gateway, which `came` shows what it was sent."""

    def __init__(self):
        self.loop, self.came, self.heard = Loop(), [], []
        self.server = Server(self.loop, parse_address("127.0.0.1:0"), self.came.append, Limits())
        self.entries = EntryGateways(self.loop, DEFAULT_SETTINGS, "ga")

    def forward(self, call=CALL, within=SECOND):
        action = ForwardAttempt(EntryGateway("gb", self.server.address), 0, Forwarded("b1", 1))
        now = self.loop.now()
        return self.entries.client_for(action).send(
            "gb", call, Idempotency.IDEMPOTENT, "t", now + within, now + within, self.heard.append
        )

    def until(self, condition):
        end = self.loop.now() + 5 * SECOND
        while not condition():
            assert self.loop.now() < end, "waited too long"
            self.loop.call_later(MILLI, lambda: None)
            self.loop.turn()

    def close(self):
        self.entries.close()
        self.server.close()
        self.loop.close()


@pytest.fixture
def way():
    made = Way()
    yield made
    made.close()


def test_a_call_that_was_forwarded_is_taken_back_and_its_entry_gateway_sees_the_end(way):
    hold = way.forward()
    way.until(lambda: way.came)
    left = []
    way.came[0].on_client_left = lambda: left.append(True)
    assert hold.started
    assert hold.cancellable
    hold.cancel()
    way.until(lambda: left)
    assert not way.heard


@pytest.mark.parametrize("cancellable", [True, False])
def test_what_may_not_have_begun_is_taken_back_with_its_client_and_what_runs_is_not(cancellable):
    """The decisions here cancel nothing, as where the settings allow none."""
    made = make_core(attempt_and_wait)
    key = submit(made)
    made.in_flight[key].attempts[0].handle.cancellable = cancellable
    made.client_left(key)
    run_loop(made)
    assert made.hosts.cancelled == ["w"] * cancellable
    assert bool(made.in_flight) is not cancellable


@pytest.mark.parametrize("way", ["fin", "reset", "half"])
def test_the_entry_gateway_begins_nothing_more_for_a_forwarded_call_whose_client_has_left(cells, way):
    """Where no cancelling is allowed: the first gateway has the call at another one, whose hosts hang."""
    fleet = cells({"a1": ("a1", ("ga",)), "b1": ("b1", ("gb",))})
    fleet.write_table()
    for name, zone in (("ga", "a1"), ("gb", "b1")):
        fleet.start(name, zone, more="relays cancel no\n")
    fleet.up("ga", "gb")
    for name in ("b1-h0", "b1-h1"):
        fleet.hosts[name].model_server.faults.replace("hang")
    model = fleet.homed("check", "b1")
    sock = socket.create_connection(parse_address(fleet.clients["ga"])[1])
    body = b'{"id":"t1","inputs":[]}'
    head = f"POST /v2/models/{model}/infer HTTP/1.1\r\nHost: g\r\nContent-Length: {len(body)}\r\n\r\n"
    sock.sendall(head.encode() + body)
    fleet.until(lambda: fleet.came("t1"))
    end(sock, way)
    fleet.until(lambda: fleet.status("gb")["counts"].get("left"), within=2)
    sock.close()
