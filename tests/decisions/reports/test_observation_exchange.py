"""Two gateways on sockets: one gets the observations of the other, and uses them."""

import json

import pytest
from helpers import MILLI

from gaproute.appliance.status import warm_instances
from gaproute.peers.lore_pb2 import Told


@pytest.fixture
def beside(fleet):
    """A busy gateway that tells, and a call that starts another beside it; both on one loop."""
    made, begin = fleet
    for number in range(6):
        assert made.wait(made.ask("lamp", f"w{number}")).status == 200
    return made, lambda where=None: begin(
        "second", f"peer g {where or made.gate.fronts[1].address}", listen=False
    )


def test_a_gateway_started_beside_a_busy_one_finds_the_copy_at_once(beside):
    made, start = beside
    warm_at = json.loads(made.wait(made.ask("lamp", "last")).body)["outputs"][0]["data"][0]
    loads = len(made.seen("loaded"))
    second = start()
    made.until(lambda: second.peers.observation_client.hints_taken)
    made.at = made.at[0], tuple([*made.at[1][:1], int(second.fronts[0].address.rpartition(":")[2])])
    answer = made.wait(made.ask("lamp", "first"))
    assert json.loads(answer.body)["outputs"][0]["data"][0] == warm_at
    assert len(made.seen("loaded")) == loads
    assert made.gate.peers.peer_server.transfers.encoded >= 1
    assert second.peers.observation_client.state["g"].startswith("told ")
    assert not second.core.gateway.load_order_limiter.open_orders
    assert not second.core.gateway.load_order_limiter.ends


def test_an_operator_sees_what_is_known_and_by_what(beside):
    made, start = beside
    second = start()
    made.until(lambda: second.peers.observation_client.hints_taken)
    (own,), (hinted,) = warm_instances(made.gate), warm_instances(second)
    assert (own["by"], hinted["by"]) == ("an answer", "g")
    assert (own["worker"], own["function"]) == (hinted["worker"], hinted["function"])
    assert hinted["age_ms"] >= 3500 > own["age_ms"]


def test_news_of_a_host_that_is_gone_from_the_list_is_void(beside):
    made, start = beside
    rows = made.list.read_text().splitlines()
    (worker,) = made.gate.core.gateway.functions_by_name["lamp"].proven_at
    made.gate.host_list.watch.close()  # the giver's own list is late: it still believes in the host
    made.relist(*[row for row in rows if not row.startswith(f"host {worker} ")])
    second = start()
    made.until(lambda: second.peers.observation_client.state["g"].startswith("told"))
    assert second.peers.observations.rejections["not listed"]
    assert worker not in second.core.gateway.hosts_by_id
    assert "lamp" not in second.core.gateway.functions_by_name


@pytest.mark.parametrize("act", ["stalls", "nonsense", "future"])
def test_a_peer_that_is_no_help_is_dropped_and_nothing_waits_for_it(beside, act):
    from scripted_hosts import reply, scripted_host

    made, start = beside
    body = {"nonsense": b"\xff\xff", "future": Told(version=9).SerializeToString()}.get(act, b"")
    text = f"HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n\r\n".encode("latin-1") + body
    listener = scripted_host(
        made.loop,
        (lambda stream, data: None)
        if act == "stalls"
        else reply(text.decode("latin-1"))
        if act == "future"
        else lambda stream, data: stream.write(text),
    )
    where = listener.address
    second = start(where)
    made.at = made.at[0], ("127.0.0.1", int(second.fronts[0].address.rpartition(":")[2]))
    assert made.wait(made.ask("lamp", "meanwhile")).status == 200
    made.until(lambda: second.peers.observation_client.state["g"] == "dropped after 0 facts")
    listener.close()


def test_a_giver_out_of_budget_puts_off_and_still_tells(beside):
    made, start = beside
    made.gate.peers.peer_server.cpu_budget.deduct(made.loop.now(), 11 * MILLI)
    second = start()
    made.until(lambda: second.peers.observation_client.state["g"].startswith("told"))
    assert made.gate.peers.peer_server.put_off >= 1
    assert second.peers.observation_client.hints_taken >= 1
