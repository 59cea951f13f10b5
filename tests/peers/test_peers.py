"""Gateways beside each other on sockets: what they tell, who is up, lists of them, versions one apart."""

import json
import socket

import pytest
from helpers import CONFIGURATION, MILLI, SECOND, gateway, row
from scripted_hosts import scripted_host

from gaproute.appliance.status import peer_table, status
from gaproute.config import ConfigurationError, read_configuration, read_peers
from gaproute.decisions.reports.cpu_budget import CpuBudget
from gaproute.decisions.reports.exchange_limits import MAX_CHUNK_OBSERVATIONS
from gaproute.decisions.reports.host_history import HostHistory
from gaproute.decisions.reports.shared_observations import SharedObservations
from gaproute.loop import Loop
from gaproute.loop.addresses import address
from gaproute.loop.datagrams import Datagrams
from gaproute.peers import PeerServer, observation_wire
from gaproute.peers.lore_pb2 import Ask, Told


def where(appliance):
    return appliance.peers.peer_server.address


def front(appliance):
    return address(appliance.fronts[0].address)


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
    server = PeerServer(made.loop, address(late), peers.gateway, peers.host_history, peers.request_classes)
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
    (worker,) = made.gate.core.gateway.functions_by_name["lamp"].proven_at
    second = start("second", f"peer g {where(made.gate)}")
    made.until(lambda: second.peers.observation_client.hints_taken)
    third = start("third", f"peer second {where(second)}")
    made.until(lambda: third.peers.observation_client.state["second"].startswith("told"))
    assert "lamp" not in third.core.gateway.functions_by_name, "a hint was passed on"
    rows = made.list.read_text().splitlines()
    made.relist(*[row for row in rows if not row.startswith(f"host {worker} ")])
    made.until(lambda: all(worker not in each.rows for each in (made.gate, second, third)))
    fourth = start("fourth", f"peer g {where(made.gate)}", f"peer second {where(second)}")
    made.until(
        lambda: all(state.startswith("told") for state in fourth.peers.observation_client.state.values())
    )
    assert worker not in fourth.core.gateway.hosts_by_id
    made.until(lambda: fourth.peers.observations.by_subject["listed", worker].value[0] == "gone")


def test_a_host_back_with_a_new_start_does_not_inherit_its_old_copies(fleet):
    made, start = fleet
    rows = made.list.read_text().splitlines()
    made.relist(*[f"{row} started 1000" for row in rows])
    made.until(lambda: all(row.listed.started is not None for row in made.gate.rows.values()))
    assert made.wait(made.ask("lamp", "w1")).status == 200
    second = start("second")
    made.relist(*[f"{row} started 2000" for row in rows])
    made.until(lambda: second.peers.host_history.active_starts()["h0"] == 2000 * SECOND)
    made.gate.host_list.watch.close()  # the peer's own list is late
    answer = Told(version=2)
    answer.warm.add(worker="h0", function="lamp", lanes=4, started_ns=1000 * SECOND)
    observations = SharedObservations()
    observation_wire.read_observations(answer, made.loop.now(), "g", observations)
    second.peers.observations.merge(observations)
    assert second.peers.apply_observations(observations.by_subject) == 0
    assert second.peers.observations.rejections == {"another life": 1}


def test_versions_one_apart_understand_each_other():
    older = Told(version=1)
    older.warm.add(worker="x", function="f", lanes=4, age_us=5)
    observations = SharedObservations()
    observation_wire.read_observations(
        observation_wire.decode_answer(older.SerializeToString()), SECOND, "g", observations
    )
    assert list(observations.by_subject) == [("warm", "x", "f")]
    newer = Told(version=3)
    newer.warm.add(worker="x", function="f", lanes=4, age_us=5)
    data = newer.SerializeToString() + b"\xfa\x01\x03abc"  # field 31, which nobody knows
    observation_wire.read_observations(observation_wire.decode_answer(data), SECOND, "g", observations)
    assert observations.rejections == {}
    assert observation_wire.decode_answer(Told(version=4).SerializeToString()) is None


def test_a_list_of_gateways_that_is_wrong_is_refused_whole():
    with pytest.raises(ConfigurationError) as wrong:
        read_peers("peers", "peer a 127.0.0.1:1\npeer a 127.0.0.1:2\nhost b 127.0.0.1:3\n")
    assert len(wrong.value.mistakes) == 2


@pytest.mark.parametrize(
    ("lines", "text"),
    [
        ("peer a 127.0.0.1:1\npeers-file x", "peers stand here and in a peers-file"),
        ("peers-file x", "which peer is this gateway"),
    ],
)
def test_lines_about_peers_that_do_not_fit_are_refused(lines, text):
    configuration = CONFIGURATION.replace("name g\n", "") if "which" in text else CONFIGURATION
    with pytest.raises(ConfigurationError, match=text):
        read_configuration("c", f"{configuration}host a 127.0.0.1:1\n{lines}\n")


# What telling costs


def asked(server, **fields):
    answers = []
    server.server.answer = lambda request, status, headers, body: answers.append((status, body))
    request = type(
        "Request",
        (),
        {"target": b"/lore", "method": b"POST", "body": Ask(version=2, **fields).SerializeToString()},
    )
    server.handle(request)
    ((status, body),) = answers
    return Told.FromString(body) if status == 200 else None


def refill(server):
    server.cpu_budget = CpuBudget(server.loop.now())


@pytest.fixture
def server():
    loop = Loop()
    made = gateway(*[row(f"w{number}") for number in range(50)])
    for name in range(60):
        function = made.functions.find_or_add(f"f{name}", 4)
        function.answered_at = loop.now() - name * MILLI
        function.proven_at = {f"w{number}": function.answered_at for number in range(50)}
    server = PeerServer(loop, address("127.0.0.1:0"), made, HostHistory(), ("t",))
    yield server
    server.close()
    loop.close()


def test_a_snapshot_comes_in_chunks_that_take_no_more_than_a_slice(server):
    instances, cursor, chunks = set(), 0, 0
    while cursor or not chunks:
        refill(server)
        answer = asked(server, cursor=cursor)
        assert len(answer.warm) <= MAX_CHUNK_OBSERVATIONS
        instances |= {(each.worker, each.function) for each in answer.warm}
        cursor, chunks = answer.next, chunks + 1
    assert len(instances) == 3000
    assert chunks >= 12


def test_clients_that_begin_at_one_moment_share_a_transfer_and_its_ages_grow(server):
    first, second = asked(server), None
    encoded = server.transfers.encoded
    refill(server)
    chunks = server.transfers.transfers[1].chunks
    chunks[0] = chunks[0]._replace(built_at=server.loop.now() - 100 * MILLI)
    second = asked(server)
    assert server.transfers.encoded == encoded
    assert second.next == first.next
    assert len(server.transfers.transfers) == 1
    assert [each.worker for each in second.warm] == [each.worker for each in first.warm]
    assert second.held_us >= 100_000 > first.held_us
    observations = SharedObservations()
    observation_wire.read_observations(second, 10 * SECOND, "g", observations)
    assert {each.observed_at for each in observations.by_subject.values()} == {
        10 * SECOND - (each.age_us + second.held_us) * 1000 for each in second.warm
    }


def test_who_comes_back_for_a_transfer_that_is_no_more_begins_anew(server):
    answer = asked(server, cursor=77 << 20)
    assert answer.warm
    assert answer.next >> 20 == 1


def test_a_snapshot_goes_on_while_functions_and_hosts_come_and_go(server):
    first = asked(server)
    server.transfers.gateway.functions.by_name.clear()
    server.transfers.gateway.update_hosts(2 * SECOND, [row("w0")], complete=True)
    refill(server)
    assert not asked(server, cursor=first.next).next


def test_a_mark_of_another_run_brings_the_whole(server):
    answer = asked(server, life=server.transfers.run_id ^ 1, mark=1 << 62)
    assert answer.warm
    assert answer.life == server.transfers.run_id
    refill(server)
    assert not asked(server, life=server.transfers.run_id, mark=1 << 62).warm


def test_transfers_are_bounded(server):
    for number in range(40):
        refill(server)
        asked(server, life=server.transfers.run_id, mark=number + 1)
    assert len(server.transfers.transfers) == 16
    for transfer in server.transfers.transfers.values():
        transfer.bytes = 3 << 20
    refill(server)
    asked(server, life=server.transfers.run_id, mark=41)
    assert len(server.transfers.transfers) == 2


# Datagrams


@pytest.mark.parametrize("kind", ["udp", "unix"])
def test_datagrams_come_whole_and_what_nobody_takes_is_counted(kind, tmp_path):
    loop, heard = Loop(), []
    if kind == "udp":
        with socket.socket(type=socket.SOCK_DGRAM) as taken:
            taken.bind(("127.0.0.1", 0))
            place = f"127.0.0.1:{taken.getsockname()[1]}"
        ends = [Datagrams(loop, "127.0.0.1:0", heard.append), Datagrams(loop, place, heard.append)]
    else:
        place = f"unix:{tmp_path}/a"
        ends = [Datagrams(loop, f"unix:{tmp_path}/b", heard.append), Datagrams(loop, place, heard.append)]
    ends[0].send(b"one", place)
    ends[0].send(b"two", place)
    ends[0].send(b"x", "unix:/nowhere/at/all" if kind == "unix" else f"unix:{tmp_path}/a")
    while len(heard) < 2:
        loop.turn()
    assert heard == [b"one", b"two"]
    assert ends[0].dropped == 1
    for end in ends:
        end.close()
    again = Datagrams(loop, place, heard.append)  # the place is free again
    again.close()
    loop.close()


def test_an_operator_sees_the_peers(fleet):
    made, start = fleet
    second = start("second", f"peer g {where(made.gate)}", "listen operator 127.0.0.1:0")
    made.until(lambda: peer_table(second)[0]["learnt"] != "asked")
    made.at = address(next(each.address for each in second.fronts if type(each).__name__ == "OperatorFront"))
    (peer,) = json.loads(made.wait(made.get("/peers")).body)
    assert peer["name"] == "g"
    assert peer["state"] == "alive"
    assert peer["learnt"].startswith("told")
