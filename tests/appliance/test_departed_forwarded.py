"""A forwarded request ends when its client leaves, even if the settings allow no cancels: the entry gateway
may not have sent it to a host yet."""

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


class ForwardingSetup:
    """Forwards requests to one entry gateway; `received` has the requests that reached it."""

    def __init__(self):
        self.loop, self.received, self.outcomes = Loop(), [], []
        self.server = Server(self.loop, parse_address("127.0.0.1:0"), self.received.append, Limits())
        self.entry_gateways = EntryGateways(self.loop, DEFAULT_SETTINGS, "ga")

    def forward(self, call=CALL, within=SECOND):
        action = ForwardAttempt(EntryGateway("gb", self.server.address), 0, Forwarded("b1", 1))
        now = self.loop.now()
        return self.entry_gateways.client_for(action).send(
            "gb", call, Idempotency.IDEMPOTENT, "t", now + within, now + within, self.outcomes.append
        )

    def until(self, condition):
        deadline = self.loop.now() + 5 * SECOND
        while not condition():
            assert self.loop.now() < deadline, "waited too long"
            self.loop.call_later(MILLI, lambda: None)
            self.loop.turn()

    def close(self):
        self.entry_gateways.close()
        self.server.close()
        self.loop.close()


@pytest.fixture
def forwarding():
    setup = ForwardingSetup()
    yield setup
    setup.close()


def test_a_cancel_of_a_forwarded_request_reaches_the_entry_gateway(forwarding):
    handle = forwarding.forward()
    forwarding.until(lambda: forwarding.received)
    client_left = []
    forwarding.received[0].on_client_left = lambda: client_left.append(True)
    assert handle.started
    assert handle.cancellable
    handle.cancel()
    forwarding.until(lambda: client_left)
    assert not forwarding.outcomes


@pytest.mark.parametrize("cancellable", [True, False])
def test_an_attempt_ends_with_its_client_only_if_it_may_not_have_begun(cancellable):
    """The decisions send no cancels, as with settings that allow none."""
    core = make_core(attempt_and_wait)
    key = submit(core)
    core.in_flight[key].attempts[0].handle.cancellable = cancellable
    core.client_left(key)
    run_loop(core)
    assert core.hosts.cancelled == ["w"] * cancellable
    assert bool(core.in_flight) is not cancellable


@pytest.mark.parametrize("ending", ["fin", "reset", "half"])
def test_the_entry_gateway_ends_a_forwarded_request_when_its_client_leaves(cells, ending):
    """The settings allow no cancels. The request is at another gateway, whose hosts hang."""
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
    end(sock, ending)
    fleet.until(lambda: fleet.status("gb")["counts"].get("left"), within=2)
    sock.close()
