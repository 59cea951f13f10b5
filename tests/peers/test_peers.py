"""Gateways on sockets that share observations and membership, and the configuration of their peers."""

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
from gaproute.peers.observation_pb2 import Told


def peer_address(appliance):
    return appliance.peers.peer_server.address


def front_address(appliance):
    return parse_address(appliance.fronts[0].address)


def test_gateways_discover_each_other_and_show_a_stopped_one_as_left(fleet):
    rig, start_gateway = fleet
    second = start_gateway("second", f"peer g {peer_address(rig.gate)}")
    third = start_gateway("third", f"peer second {peer_address(second)}")
    rig.until(
        lambda: (
            [each.peers.membership_transport.membership.live_count() for each in (rig.gate, second, third)]
            == [3, 3, 3]
        )
    )
    third.peers.membership_transport.stop()
    rig.until(lambda: rig.gate.peers.membership_transport.membership.live_count() == 2)
    states = {row["name"]: row["state"] for row in peer_table(rig.gate)}
    assert states == {"second": "alive", "third": "left"}
    assert status(rig.gate)["gateways"] == 2


def test_changes_after_the_snapshot_are_fetched_too(fleet):
    rig, start_gateway = fleet
    second = start_gateway("second", f"peer g {peer_address(rig.gate)}")
    rig.until(lambda: second.peers.observation_client.state_by_peer["g"].startswith("told"))
    assert "lamp" not in second.core.gateway.functions_by_name
    assert rig.wait(rig.ask("lamp", "w1")).status == 200
    rig.until(lambda: "lamp" in second.core.gateway.functions_by_name)
    assert second.core.gateway.functions_by_name["lamp"].hinted_at


def test_a_peer_that_starts_late_is_asked_again(fleet):
    rig, start_gateway = fleet
    for number in range(2):
        assert rig.wait(rig.ask("lamp", f"w{number}")).status == 200
    with socket.socket() as free_socket:
        free_socket.bind(("127.0.0.1", 0))
        late_address = f"127.0.0.1:{free_socket.getsockname()[1]}"
    second = start_gateway("second", f"peer late {late_address}")
    rig.rest(100 * MILLI)
    assert second.peers.observation_client.state_by_peer["late"] == "asked"
    peers = rig.gate.peers
    server = PeerServer(
        rig.loop, parse_address(late_address), peers.gateway, peers.host_history, peers.request_classes
    )
    rig.until(lambda: second.peers.observation_client.state_by_peer["late"].startswith("told"))
    server.close()
    assert second.peers.observation_client.hints_taken


def test_the_peers_file_is_watched_and_may_name_the_gateway_itself(fleet):
    rig, start_gateway = fleet
    peers_list = rig.folder / "peers.list"
    peers_list.write_text("peer second 127.0.0.1:9\n")
    second = start_gateway("second", f"peers-file {peers_list} look 5ms")
    assert second.peers.membership_transport.membership.members == {}
    assert second.peers.observation_client.state_by_peer == {}
    new_list = rig.folder / "fresh"
    new_list.write_text(f"peer second 127.0.0.1:9\npeer g {peer_address(rig.gate)}\n")
    new_list.replace(peers_list)
    rig.until(lambda: second.peers.observation_client.state_by_peer.get("g", "").startswith("told"))
    new_list.write_text("peer g nowhere\n")
    new_list.replace(peers_list)
    rig.until(lambda: any(what == "peer_list_rejected" for what, _ in second.record.events))
    assert second.peers.membership_transport.membership.members["g"].configured


def test_gateways_started_together_fetch_each_others_later_observations(fleet):
    rig, start_gateway = fleet
    ports = []
    for _ in range(2):
        with socket.socket() as free_socket:
            free_socket.bind(("127.0.0.1", 0))
            ports.append(f"127.0.0.1:{free_socket.getsockname()[1]}")
    one = start_gateway("one", f"listen peers {ports[0]}", f"peer two {ports[1]}", listen=False)
    two = start_gateway("two", f"listen peers {ports[1]}", f"peer one {ports[0]}", listen=False)
    rig.at = front_address(one)
    assert rig.wait(rig.ask("lamp", "w1")).status == 200
    rig.until(
        lambda: (
            "lamp" in two.core.gateway.functions_by_name
            and two.core.gateway.functions_by_name["lamp"].hinted_at
        )
    )
    loads = len(rig.seen("loaded"))
    rig.at = front_address(two)
    assert rig.wait(rig.ask("lamp", "w2")).status == 200
    assert len(rig.seen("loaded")) == loads


def test_observations_of_a_peer_that_fails_between_chunks_stay_in_use(fleet):
    rig, start_gateway = fleet
    answer = Told(version=2, next=5, life=1, mark=1)
    answer.warm.add(worker="h1", function="lamp", lanes=4, age_us=1000)
    body = answer.SerializeToString()
    requests = []

    def respond(stream, data):
        requests.append(data)
        if len(requests) > 1:
            stream.close()
        else:
            stream.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    listener = scripted_host(rig.loop, respond)
    second = start_gateway("second", f"peer half {listener.address}")
    rig.until(lambda: second.peers.observation_client.state_by_peer["half"] == "dropped after 1 facts")
    listener.close()
    assert set(second.core.gateway.functions_by_name["lamp"].hinted_at) == {"h1"}


def test_a_host_that_leaves_the_list_between_two_chunks_gets_no_requests(fleet):
    rig, start_gateway = fleet
    first_answer, second_answer = Told(version=2, next=5, life=1, mark=1), Told(version=2, life=1, mark=1)
    first_answer.warm.add(worker="h1", function="lamp", lanes=4, age_us=2000)
    second_answer.warm.add(worker="h1", function="crew", lanes=4, age_us=2000)
    second_answer.gone.add(worker="h1", age_us=10)
    bodies = [first_answer.SerializeToString(), second_answer.SerializeToString()]
    waiting_streams = []

    def respond(stream, data):
        if len(bodies) == 1 and not waiting_streams:
            waiting_streams.append(stream)  # the second chunk is delayed until the host list has changed
        elif bodies:
            body = bodies.pop(0)
            stream.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    listener = scripted_host(rig.loop, respond)
    second = start_gateway("second", f"peer half {listener.address}")
    rig.until(lambda: waiting_streams)
    rows = rig.list.read_text().splitlines()
    rig.relist(*[row for row in rows if not row.startswith("host h1 ")])
    rig.until(lambda: "h1" not in second.endpoints)
    body = bodies.pop(0)
    waiting_streams[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    rig.until(lambda: second.peers.observations.rejections["not listed"])
    rig.at = front_address(second)
    for model in ("lamp", "crew"):
        assert rig.wait(rig.ask(model, f"t-{model}")).status == 200
    listener.close()
    assert not [event for event in rig.taps[1].events if event["what"] == "task"]
    assert len(rig.seen("task")) == 2


def test_hints_are_not_passed_on_and_do_not_restore_a_host_that_left(fleet):
    rig, start_gateway = fleet
    assert rig.wait(rig.ask("lamp", "w1")).status == 200
    (host,) = rig.gate.core.gateway.functions_by_name["lamp"].proven_at
    second = start_gateway("second", f"peer g {peer_address(rig.gate)}")
    rig.until(lambda: second.peers.observation_client.hints_taken)
    third = start_gateway("third", f"peer second {peer_address(second)}")
    rig.until(lambda: third.peers.observation_client.state_by_peer["second"].startswith("told"))
    assert "lamp" not in third.core.gateway.functions_by_name, (
        "a gateway passed on a hint that it got from a peer"
    )
    rows = rig.list.read_text().splitlines()
    rig.relist(*[row for row in rows if not row.startswith(f"host {host} ")])
    rig.until(lambda: all(host not in each.endpoints for each in (rig.gate, second, third)))
    fourth = start_gateway(
        "fourth", f"peer g {peer_address(rig.gate)}", f"peer second {peer_address(second)}"
    )
    rig.until(
        lambda: all(
            state.startswith("told") for state in fourth.peers.observation_client.state_by_peer.values()
        )
    )
    assert host not in fourth.core.gateway.hosts_by_id
    rig.until(lambda: fourth.peers.observations.by_subject["listed", host].value[0] == "gone")


def test_a_host_that_restarted_does_not_keep_its_old_instances(fleet):
    rig, start_gateway = fleet
    rows = rig.list.read_text().splitlines()
    rig.relist(*[f"{row} started 1000" for row in rows])
    rig.until(lambda: all(row.listed.started is not None for row in rig.gate.endpoints.values()))
    assert rig.wait(rig.ask("lamp", "w1")).status == 200
    second = start_gateway("second")
    rig.relist(*[f"{row} started 2000" for row in rows])
    rig.until(lambda: second.peers.host_history.active_start_times()["h0"] == 2000 * SECOND)
    rig.gate.host_list.watch.close()  # the peer's own host list is late
    answer = Told(version=2)
    answer.warm.add(worker="h0", function="lamp", lanes=4, started_ns=1000 * SECOND)
    observations = SharedObservations()
    observation_wire.read_observations(answer, rig.loop.now(), "g", observations)
    second.peers.observations.merge(observations)
    assert second.peers.apply_observations(observations.by_subject) == 0
    assert second.peers.observations.rejections == {"another life": 1}


def test_an_invalid_peers_file_is_rejected_completely():
    with pytest.raises(ConfigurationError) as error:
        read_peers("peers", "peer a 127.0.0.1:1\npeer a 127.0.0.1:2\nhost b 127.0.0.1:3\n")
    assert len(error.value.mistakes) == 2


@pytest.mark.parametrize(
    ("lines", "text"),
    [
        ("peer a 127.0.0.1:1\npeers-file x", "peer lines and a peers-file line exclude each other"),
        ("peers-file x", "a peers-file line requires a name line, which tells this gateway from its peers"),
    ],
)
def test_contradictory_or_incomplete_peer_directives_are_rejected(lines, text):
    configuration = CONFIGURATION.replace("name g\n", "") if "which" in text else CONFIGURATION
    with pytest.raises(ConfigurationError, match=text):
        read_configuration("c", f"{configuration}host a 127.0.0.1:1\n{lines}\n")


def test_operators_see_the_peers_and_their_states(fleet):
    rig, start_gateway = fleet
    second = start_gateway("second", f"peer g {peer_address(rig.gate)}", "listen operator 127.0.0.1:0")
    rig.until(lambda: peer_table(second)[0]["learnt"] != "asked")
    rig.at = parse_address(
        next(each.address for each in second.fronts if type(each).__name__ == "OperatorFront")
    )
    (peer,) = json.loads(rig.wait(rig.get("/peers")).body)
    assert peer["name"] == "g"
    assert peer["state"] == "alive"
    assert peer["learnt"].startswith("told")
