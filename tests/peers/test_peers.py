"""Gateways beside each other on sockets: what they share, who is up, lists of them."""

import json
import socket

import pytest
from helpers import CONFIGURATION, MILLI, SECOND
from scripted_hosts import scripted_host

from gaproute.appliance.status import peer_table, status
from gaproute.config import ConfigurationError, read_configuration, read_peers
from gaproute.decisions.reports.shared_observations import SharedObservations
from gaproute.loop.addresses import parse_address
from gaproute.peers import PeerServer, observation_wire
from gaproute.peers.lore_pb2 import Told


def where(appliance):
    return appliance.peers.peer_server.address


def front(appliance):
    return parse_address(appliance.fronts[0].address)


def test_gateways_find_each_other_and_one_that_leaves_is_known_to_have(fleet):
    made, start = fleet
    second = start("second", f"peer g {where(made.gate)}")
    third = start("third", f"peer second {where(second)}")
    made.until(
        lambda: (
            [each.peers.membership_transport.membership.live_count() for each in (made.gate, second, third)]
            == [3, 3, 3]
        )
    )
    third.peers.membership_transport.stop()
    made.until(lambda: made.gate.peers.membership_transport.membership.live_count() == 2)
    states = {row["name"]: row["state"] for row in peer_table(made.gate)}
    assert states == {"second": "alive", "third": "left"}
    assert status(made.gate)["gateways"] == 2


def test_what_changes_after_the_snapshot_comes_as_well(fleet):
    made, start = fleet
    second = start("second", f"peer g {where(made.gate)}")
    made.until(lambda: second.peers.observation_client.state["g"].startswith("told"))
    assert "lamp" not in second.core.gateway.functions_by_name
    assert made.wait(made.ask("lamp", "w1")).status == 200
    made.until(lambda: "lamp" in second.core.gateway.functions_by_name)
    assert second.core.gateway.functions_by_name["lamp"].hinted_at


def test_a_peer_that_comes_up_late_is_asked_again(fleet):
    made, start = fleet
    for number in range(2):
        assert made.wait(made.ask("lamp", f"w{number}")).status == 200
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        late = f"127.0.0.1:{taken.getsockname()[1]}"
    second = start("second", f"peer late {late}")
    made.rest(100 * MILLI)
    assert second.peers.observation_client.state["late"] == "asked"
    peers = made.gate.peers
    server = PeerServer(
        made.loop, parse_address(late), peers.gateway, peers.host_history, peers.request_classes
    )
    made.until(lambda: second.peers.observation_client.state["late"].startswith("told"))
    server.close()
    assert second.peers.observation_client.hints_taken


def test_a_list_of_gateways_is_watched_and_names_this_one_without_harm(fleet):
    made, start = fleet
    peers = made.folder / "peers.list"
    peers.write_text("peer second 127.0.0.1:9\n")
    second = start("second", f"peers-file {peers} look 5ms")
    assert second.peers.membership_transport.membership.members == {}
    assert second.peers.observation_client.state == {}
    fresh = made.folder / "fresh"
    fresh.write_text(f"peer second 127.0.0.1:9\npeer g {where(made.gate)}\n")
    fresh.replace(peers)
    made.until(lambda: second.peers.observation_client.state.get("g", "").startswith("told"))
    fresh.write_text("peer g nowhere\n")
    fresh.replace(peers)
    made.until(lambda: any(what == "peer_list_rejected" for what, _ in second.record.events))
    assert second.peers.membership_transport.membership.members["g"].configured


def test_both_sides_started_at_once_learn_from_each_other_what_came_since(fleet):
    made, start = fleet
    ports = []
    for _ in range(2):
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            ports.append(f"127.0.0.1:{taken.getsockname()[1]}")
    one = start("one", f"listen peers {ports[0]}", f"peer two {ports[1]}", listen=False)
    two = start("two", f"listen peers {ports[1]}", f"peer one {ports[0]}", listen=False)
    made.at = front(one)
    assert made.wait(made.ask("lamp", "w1")).status == 200
    made.until(
        lambda: (
            "lamp" in two.core.gateway.functions_by_name
            and two.core.gateway.functions_by_name["lamp"].hinted_at
        )
    )
    loads = len(made.seen("loaded"))
    made.at = front(two)
    assert made.wait(made.ask("lamp", "w2")).status == 200
    assert len(made.seen("loaded")) == loads


def test_a_peer_that_dies_in_the_middle_leaves_what_came(fleet):
    made, start = fleet
    answer = Told(version=2, next=5, life=1, mark=1)
    answer.warm.add(worker="h1", function="lamp", lanes=4, age_us=1000)
    body = answer.SerializeToString()
    asks = []

    def act(stream, data):
        asks.append(data)
        if len(asks) > 1:
            stream.close()
        else:
            stream.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    listener = scripted_host(made.loop, act)
    second = start("second", f"peer half {listener.address}")
    made.until(lambda: second.peers.observation_client.state["half"] == "dropped after 1 facts")
    listener.close()
    assert set(second.core.gateway.functions_by_name["lamp"].hinted_at) == {"h1"}


def test_a_host_gone_between_two_chunks_gets_nothing(fleet):
    made, start = fleet
    first, second_answer = Told(version=2, next=5, life=1, mark=1), Told(version=2, life=1, mark=1)
    first.warm.add(worker="h1", function="lamp", lanes=4, age_us=2000)
    second_answer.warm.add(worker="h1", function="crew", lanes=4, age_us=2000)
    second_answer.gone.add(worker="h1", age_us=10)
    bodies = [first.SerializeToString(), second_answer.SerializeToString()]
    held = []

    def act(stream, data):
        if len(bodies) == 1 and not held:
            held.append(stream)  # the second chunk is held back until the list has changed
        elif bodies:
            body = bodies.pop(0)
            stream.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    listener = scripted_host(made.loop, act)
    other = start("second", f"peer half {listener.address}")
    made.until(lambda: held)
    rows = made.list.read_text().splitlines()
    made.relist(*[row for row in rows if not row.startswith("host h1 ")])
    made.until(lambda: "h1" not in other.rows)
    body = bodies.pop(0)
    held[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    made.until(lambda: other.peers.observations.rejections["not listed"])
    made.at = front(other)
    for model in ("lamp", "crew"):
        assert made.wait(made.ask(model, f"t-{model}")).status == 200
    listener.close()
    assert not [event for event in made.taps[1].events if event["what"] == "task"]
    assert len(made.seen("task")) == 2


def test_a_third_gateway_that_still_believes_in_a_host_does_not_bring_it_back(fleet):
    made, start = fleet
    assert made.wait(made.ask("lamp", "w1")).status == 200
    (host,) = made.gate.core.gateway.functions_by_name["lamp"].proven_at
    second = start("second", f"peer g {where(made.gate)}")
    made.until(lambda: second.peers.observation_client.hints_taken)
    third = start("third", f"peer second {where(second)}")
    made.until(lambda: third.peers.observation_client.state["second"].startswith("told"))
    assert "lamp" not in third.core.gateway.functions_by_name, "a hint was passed on"
    rows = made.list.read_text().splitlines()
    made.relist(*[row for row in rows if not row.startswith(f"host {host} ")])
    made.until(lambda: all(host not in each.rows for each in (made.gate, second, third)))
    fourth = start("fourth", f"peer g {where(made.gate)}", f"peer second {where(second)}")
    made.until(
        lambda: all(state.startswith("told") for state in fourth.peers.observation_client.state.values())
    )
    assert host not in fourth.core.gateway.hosts_by_id
    made.until(lambda: fourth.peers.observations.by_subject["listed", host].value[0] == "gone")


def test_a_host_back_with_a_new_start_does_not_inherit_its_old_copies(fleet):
    made, start = fleet
    rows = made.list.read_text().splitlines()
    made.relist(*[f"{row} started 1000" for row in rows])
    made.until(lambda: all(row.listed.started is not None for row in made.gate.rows.values()))
    assert made.wait(made.ask("lamp", "w1")).status == 200
    second = start("second")
    made.relist(*[f"{row} started 2000" for row in rows])
    made.until(lambda: second.peers.host_history.active_start_times()["h0"] == 2000 * SECOND)
    made.gate.host_list.watch.close()  # the peer's own list is late
    answer = Told(version=2)
    answer.warm.add(worker="h0", function="lamp", lanes=4, started_ns=1000 * SECOND)
    observations = SharedObservations()
    observation_wire.read_observations(answer, made.loop.now(), "g", observations)
    second.peers.observations.merge(observations)
    assert second.peers.apply_observations(observations.by_subject) == 0
    assert second.peers.observations.rejections == {"another life": 1}


def test_a_list_of_gateways_that_is_wrong_is_rejected_completely():
    with pytest.raises(ConfigurationError) as wrong:
        read_peers("peers", "peer a 127.0.0.1:1\npeer a 127.0.0.1:2\nhost b 127.0.0.1:3\n")
    assert len(wrong.value.mistakes) == 2


@pytest.mark.parametrize(
    ("lines", "text"),
    [
        ("peer a 127.0.0.1:1\npeers-file x", "peer lines and a peers-file line exclude each other"),
        ("peers-file x", "a peers-file line requires a name line, which tells this gateway from its peers"),
    ],
)
def test_lines_about_peers_that_do_not_fit_are_rejected(lines, text):
    configuration = CONFIGURATION.replace("name g\n", "") if "which" in text else CONFIGURATION
    with pytest.raises(ConfigurationError, match=text):
        read_configuration("c", f"{configuration}host a 127.0.0.1:1\n{lines}\n")


def test_an_operator_sees_the_peers(fleet):
    made, start = fleet
    second = start("second", f"peer g {where(made.gate)}", "listen operator 127.0.0.1:0")
    made.until(lambda: peer_table(second)[0]["learnt"] != "asked")
    made.at = parse_address(
        next(each.address for each in second.fronts if type(each).__name__ == "OperatorFront")
    )
    (peer,) = json.loads(made.wait(made.get("/peers")).body)
    assert peer["name"] == "g"
    assert peer["state"] == "alive"
    assert peer["learnt"].startswith("told")
