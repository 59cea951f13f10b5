"""The exchange of observations between two gateways on sockets."""

import json

import pytest
from helpers import MILLI

from gaproute.appliance.status import warm_instances
from gaproute.peers.observation_pb2 import Told


@pytest.fixture
def gateway_and_start(fleet):
    """A busy gateway, and a function that starts another one on its loop, with the first one as its peer."""
    gateway, start_gateway = fleet
    for number in range(6):
        assert gateway.wait(gateway.ask("lamp", f"w{number}")).status == 200
    return gateway, lambda address=None: start_gateway(
        "second", f"peer g {address or gateway.gate.fronts[1].address}", listen=False
    )


def test_a_gateway_started_beside_a_busy_one_uses_the_warm_instance_at_once(gateway_and_start):
    gateway, start = gateway_and_start
    warm_host = json.loads(gateway.wait(gateway.ask("lamp", "last")).body)["outputs"][0]["data"][0]
    loads = len(gateway.seen("loaded"))
    second = start()
    gateway.until(lambda: second.peers.observation_client.hints_taken)
    gateway.at = gateway.at[0], tuple([*gateway.at[1][:1], int(second.fronts[0].address.rpartition(":")[2])])
    answer = gateway.wait(gateway.ask("lamp", "first"))
    assert json.loads(answer.body)["outputs"][0]["data"][0] == warm_host
    assert len(gateway.seen("loaded")) == loads
    assert gateway.gate.peers.peer_server.transfers.encoded_observations >= 1
    assert second.peers.observation_client.state_by_peer["g"].startswith("told ")
    assert not second.core.gateway.load_order_limiter.open_orders
    assert not second.core.gateway.load_order_limiter.ends


def test_operators_see_the_warm_instances_and_the_source_of_each(gateway_and_start):
    gateway, start = gateway_and_start
    second = start()
    gateway.until(lambda: second.peers.observation_client.hints_taken)
    (own,), (hinted,) = warm_instances(gateway.gate), warm_instances(second)
    assert (own["by"], hinted["by"]) == ("an answer", "g")
    assert (own["worker"], own["function"]) == (hinted["worker"], hinted["function"])
    assert hinted["age_ms"] >= 3500 > own["age_ms"]


def test_observations_of_a_host_that_left_the_list_are_rejected(gateway_and_start):
    gateway, start = gateway_and_start
    rows = gateway.list.read_text().splitlines()
    (host,) = gateway.gate.core.gateway.functions_by_name["lamp"].proven_at
    gateway.gate.host_list.watch.close()  # the list of the sending gateway is late and still has the host
    gateway.relist(*[row for row in rows if not row.startswith(f"host {host} ")])
    second = start()
    gateway.until(lambda: second.peers.observation_client.state_by_peer["g"].startswith("told"))
    assert second.peers.observations.rejections["not listed"]
    assert host not in second.core.gateway.hosts_by_id
    assert "lamp" not in second.core.gateway.functions_by_name


@pytest.mark.parametrize("fault", ["stalls", "nonsense", "future"])
def test_a_peer_with_unusable_answers_is_dropped_and_delays_no_request(gateway_and_start, fault):
    from scripted_hosts import reply, scripted_host

    gateway, start = gateway_and_start
    body = {"nonsense": b"\xff\xff", "future": Told(version=9).SerializeToString()}.get(fault, b"")
    text = f"HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n\r\n".encode("latin-1") + body
    listener = scripted_host(
        gateway.loop,
        (lambda stream, data: None)
        if fault == "stalls"
        else reply(text.decode("latin-1"))
        if fault == "future"
        else lambda stream, data: stream.write(text),
    )
    address = listener.address
    second = start(address)
    gateway.at = gateway.at[0], ("127.0.0.1", int(second.fronts[0].address.rpartition(":")[2]))
    assert gateway.wait(gateway.ask("lamp", "meanwhile")).status == 200
    gateway.until(lambda: second.peers.observation_client.state_by_peer["g"] == "dropped after 0 facts")
    listener.close()


def test_a_peer_without_cpu_budget_puts_requests_off_and_answers_later(gateway_and_start):
    gateway, start = gateway_and_start
    gateway.gate.peers.peer_server.cpu_budget.deduct(gateway.loop.now(), 11 * MILLI)
    second = start()
    gateway.until(lambda: second.peers.observation_client.state_by_peer["g"].startswith("told"))
    assert gateway.gate.peers.peer_server.postponed_requests >= 1
    assert second.peers.observation_client.hints_taken >= 1
