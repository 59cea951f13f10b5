"""Gateway processes that follow the host lists of cells from sources: which list stays in force when sources
fail, and that no attempt reaches a host later than the grace after it is reported as draining or gone."""

import signal
import socket
from functools import partial

import pytest
from followed_fleet import DRAIN_GRACE, FollowedFleet
from helpers import MILLI, SECOND, makers

from gaproute.loop.addresses import parse_address
from gaproute.standins.cell_source import CellSource, SourceFault

ONE_CELL_EACH = {"a1": ("a1", ("ga",)), "b1": ("b1", ("gb",))}
TWO_CELLS_AT_ONE = {"a1": ("a1", ("ga",)), "a2": ("a1", ("ga",))}
SHARED_CELL = {"a1": ("a1", ("ga", "gb"))}
LAST_SEQ_BEFORE_RESTART = 1_000  # a restarted source numbers its events from the next number on


@pytest.fixture
def make_fleet(tmp_path):
    """Creates fleets that follow sources, and closes them after the test."""
    yield from makers(partial(FollowedFleet, tmp_path))


def test_a_gateway_follows_its_cells_and_sends_nothing_to_draining_hosts_after_the_grace(make_fleet):
    fleet = make_fleet(ONE_CELL_EACH)
    fleet.start_gateways("ga", "gb")
    source = fleet.sources[0]
    assert source.poll_counts == {"a1": 1, "b1": 1}
    requests = fleet.start_requests("ga", "gb")
    fleet.until(lambda: fleet.attempts("a1-h0") and fleet.attempts("b1-h1"))
    reported_at = fleet.loop.now()
    source.publish("a1", fleet.member("a1-h0", "draining"))
    source.publish("b1", fleet.member("b1-h1", "gone"))
    fleet.rest(DRAIN_GRACE + 300 * MILLI)
    assert requests.finish() == {200}
    for host in ("a1-h0", "b1-h1"):
        assert fleet.attempts(host, reported_at + DRAIN_GRACE) == []
    assert fleet.attempts("a1-h1", reported_at + DRAIN_GRACE)
    assert fleet.attempts("b1-h0", reported_at + DRAIN_GRACE)
    assert fleet.host_states("ga") == {"a1-h0": "draining", "a1-h1": "active"}
    assert fleet.host_states("gb") == {"b1-h0": "active"}


def test_after_a_source_dies_within_an_event_its_successor_with_other_numbers_is_followed(make_fleet):
    fleet = make_fleet(ONE_CELL_EACH)
    fleet.start_gateways("ga", "gb")
    killed = fleet.sources.pop()
    requests = fleet.start_requests("ga", "gb")
    killed.fault = SourceFault.TORN
    killed.publish("a1", fleet.member("a1-h0", "draining"))
    killed.close()
    fleet.until(lambda: all(fleet.cell_status(name)["sources"]["failing"] for name in ("ga", "gb")))
    assert fleet.host_states("ga") == {"a1-h0": "active", "a1-h1": "active"}
    restarted = CellSource(fleet.loop, "north", killed.address, begin=LAST_SEQ_BEFORE_RESTART)
    fleet.sources.append(restarted)
    restarted.publish("a1", fleet.member("a1-h0", "draining"), fleet.member("a1-h1"))
    restarted.publish("b1", *fleet.members("b1"))
    fleet.until(lambda: fleet.host_states("ga")["a1-h0"] == "draining")
    reported_at = fleet.loop.now()
    fleet.until(lambda: restarted.follower_count("b1"))
    restarted.publish("b1", fleet.member("b1-h0", "gone"))
    fleet.rest(SECOND)
    assert requests.finish() == {200}
    assert fleet.attempts("a1-h0", reported_at + DRAIN_GRACE) == []
    assert fleet.attempts("b1-h0", reported_at + DRAIN_GRACE) == []
    assert len(fleet.events("ga", "cell_source_lost")) == 1


def test_the_next_source_is_followed_when_a_source_dies(make_fleet):
    fleet = make_fleet(ONE_CELL_EACH, sources=2)
    fleet.start_gateways("ga", "gb")
    requests = fleet.start_requests("ga", "gb")
    dead = next(source for source in fleet.sources if source.follower_count("a1"))
    fleet.sources.remove(dead)
    dead.close()
    left = fleet.sources[0]
    fleet.until(lambda: left.follower_count("a1") and left.follower_count("b1"))
    reported_at = fleet.loop.now()
    left.publish("a1", fleet.member("a1-h1", "draining"))
    fleet.until(lambda: fleet.host_states("ga")["a1-h1"] == "draining")
    fleet.rest(DRAIN_GRACE)
    assert requests.finish() == {200}
    assert fleet.attempts("a1-h1", reported_at + DRAIN_GRACE) == []


def test_a_source_that_is_two_seconds_late_is_applied_on_arrival_and_counts_as_working(make_fleet):
    fleet = make_fleet(SHARED_CELL)
    fleet.start_gateways("ga")
    requests = fleet.start_requests("ga")
    fleet.sources[0].delay_events(2 * SECOND)
    fleet.sources[0].publish("a1", fleet.member("a1-h0", "draining"))
    arrives_at = fleet.loop.now() + 2 * SECOND
    fleet.rest(SECOND)
    assert fleet.host_states("ga")["a1-h0"] == "active"
    fleet.until(lambda: fleet.host_states("ga")["a1-h0"] == "draining")
    assert fleet.loop.now() - arrives_at < 400 * MILLI
    fleet.rest(DRAIN_GRACE)
    assert requests.finish() == {200}
    assert fleet.attempts("a1-h0", arrives_at + DRAIN_GRACE) == []
    assert fleet.cell_status("ga")["sources"]["failing"] == []  # the source is late, not silent


def test_a_gateway_resumed_after_sigstop_applies_waiting_events_before_waiting_requests(make_fleet):
    fleet = make_fleet(SHARED_CELL)
    fleet.start_gateways("ga")
    assert fleet.wait(fleet.ask("ga", "check-0", "before")).status == 200
    process = fleet.processes["ga"]
    process.send_signal(signal.SIGSTOP)
    answers = [fleet.ask("ga", f"check-{number}", f"t{number}") for number in range(20)]
    fleet.sources[0].publish("a1", fleet.member("a1-h0", "draining"))
    fleet.rest(DRAIN_GRACE + 200 * MILLI)
    resumed = fleet.loop.now()
    process.send_signal(signal.SIGCONT)
    assert {fleet.wait(answer).status for answer in answers} == {200}
    assert fleet.attempts("a1-h0", resumed) == []
    assert len(fleet.attempts("a1-h1", resumed)) >= 20


def test_a_stopping_gateway_still_applies_that_a_host_drains(make_fleet):
    fleet = make_fleet(SHARED_CELL)
    fleet.start_gateways("ga")
    assert fleet.wait(fleet.ask("ga", "check-0", "t1")).status == 200
    drained = fleet.came("t1")[0]
    connections_before = fleet.status("ga")["clients"]["connections"]
    with socket.create_connection(parse_address(fleet.clients["ga"])[1]) as client:
        client.settimeout(5)
        fleet.until(lambda: fleet.status("ga")["clients"]["connections"] > connections_before)
        fleet.processes["ga"].send_signal(signal.SIGTERM)
        fleet.until(lambda: fleet.events("ga", "stopping"))
        fleet.sources[0].publish("a1", fleet.member(drained, "draining"))
        fleet.rest(DRAIN_GRACE)
        client.sendall(b"POST /v2/models/check-0/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 2\r\n\r\n{}")
        fleet.until(lambda: fleet.processes["ga"].poll() is not None)
        assert client.recv(65536).startswith(b"HTTP/1.1 200 ")
    assert len(fleet.attempts(drained)) == 1


def test_two_gateways_with_different_lists_each_serve_by_their_own_list(make_fleet):
    fleet = make_fleet(SHARED_CELL, sources=2)
    fleet.sources_by_gateway = {"ga": [fleet.sources[0].address], "gb": [fleet.sources[1].address]}
    fleet.sources[1].publish("a1", fleet.member("a1-h0", "gone"))
    fleet.start_gateways("ga", "gb")
    reported_at = fleet.loop.now()
    both = fleet.start_requests("gb", label="b"), fleet.start_requests("ga", label="a")
    fleet.until(lambda: min(len(requests.statuses) for requests in both) > 60)
    assert [requests.finish() for requests in both] == [{200}, {200}]
    reached = fleet.attempts("a1-h0", reported_at)
    assert reached
    assert all(event["id"].startswith("a") for event in reached if event["what"] == "task")
    fleet.sources[0].publish("a1", fleet.member("a1-h0", "gone"))
    fleet.until(lambda: fleet.host_states("ga") == fleet.host_states("gb") == {"a1-h1": "active"})


def test_a_host_that_moves_to_another_cell_serves_there_once_its_old_cell_removes_it(make_fleet):
    fleet = make_fleet(TWO_CELLS_AT_ONE)
    fleet.start_gateways("ga")
    source = fleet.sources[0]
    requests = fleet.start_requests("ga")
    source.publish("a2", fleet.member("a1-h0"))
    fleet.until(lambda: fleet.events("ga", "cell_host_rejected"))
    reported_at = fleet.loop.now()
    source.publish("a1", fleet.member("a1-h0", "draining"))
    fleet.until(lambda: fleet.host_states("ga")["a1-h0"] == "draining")
    fleet.rest(DRAIN_GRACE)
    moved = fleet.loop.now()
    assert fleet.attempts("a1-h0", reported_at + DRAIN_GRACE) == []
    source.publish("a1", fleet.member("a1-h0", "gone"))
    fleet.until(lambda: fleet.host_states("ga")["a1-h0"] == "active")
    source.publish("a2", *[fleet.member(name, "draining") for name in ("a2-h0", "a2-h1")])
    fleet.until(lambda: fleet.attempts("a1-h0", moved))
    assert requests.finish() == {200}
    rejected = fleet.events("ga", "cell_host_rejected")
    assert [(rejection["cell"], rejection["host"]) for rejection in rejected] == [("a2", "a1-h0")]
    assert fleet.cell_status("ga")["refused"] == {"wrong host of a source": 1}


def test_the_list_of_a_cell_released_and_needed_again_is_fetched_again(make_fleet):
    fleet = make_fleet(TWO_CELLS_AT_ONE)
    fleet.start_gateways("ga")
    source = fleet.sources[0]
    fleet.write_table({"a1": fleet.cells["a1"]})
    fleet.until(lambda: source.follower_count("a2") == 0)
    fleet.until(lambda: fleet.cell_status("ga")["known"] == ["a1"])
    assert set(fleet.host_states("ga")) == {"a1-h0", "a1-h1"}
    source.publish("a2", fleet.member("a2-h0", "draining"))
    reported_at = fleet.loop.now()
    fleet.write_table()
    fleet.until(lambda: fleet.cell_status("ga")["known"] == ["a1", "a2"])
    assert fleet.host_states("ga")["a2-h0"] == "draining"
    assert source.poll_counts == {"a1": 1, "a2": 2}
    requests = fleet.start_requests("ga")
    fleet.until(lambda: fleet.attempts("a2-h1", reported_at))
    assert requests.finish() == {200}
    assert fleet.attempts("a2-h0", reported_at) == []


INVALID_EVENTS = [
    b"data: {\n\n",
    b'data: {"seq": 2, "fleet": {"members": [{"id": "a1-h0"}]}}\n\n',
    b'data: {"seq": 2, "fleet": {"complete": true, "members": []}}\n\n',
    b'data: {"seq": 9, "fleet": {"members": []}}\n\n',
    b"data: " + b"[" * (1 << 21),
    b"\xff\x00" * 500,
]


def test_invalid_events_leave_the_last_good_list_in_force(make_fleet):
    fleet = make_fleet(SHARED_CELL)
    fleet.start_gateways("ga")
    source = fleet.sources[0]
    requests = fleet.start_requests("ga")
    for lines in INVALID_EVENTS:
        fleet.until(lambda: source.follower_count("a1"))
        source.send("a1", lines)
        fleet.rest(100 * MILLI)
        assert fleet.host_states("ga") == {"a1-h0": "active", "a1-h1": "active"}
    fleet.until(lambda: source.follower_count("a1"))
    reported_at = fleet.loop.now()
    source.publish("a1", fleet.member("a1-h0", "draining"))
    fleet.until(lambda: fleet.host_states("ga")["a1-h0"] == "draining")
    fleet.rest(DRAIN_GRACE)
    assert requests.finish() == {200}
    assert fleet.attempts("a1-h0", reported_at + DRAIN_GRACE) == []
    assert len(fleet.events("ga", "cell_source_lost")) <= 2
    assert fleet.events("ga", "unhandled_exception") == []


def test_a_reload_with_an_invalid_source_address_changes_nothing(make_fleet):
    fleet = make_fleet({"a1": ("a1", ("ga-0",))})
    fleet.entries |= {"ga": f"unix:{fleet.folder}/ga.peers", "ga-0": f"unix:{fleet.folder}/ga.peers.0"}
    fleet.clients["ga"] = fleet.clients["ga-0"]
    fleet.write_table()
    fleet.start("ga", "a1", arguments=("--processes", "1"))
    fleet.until(lambda: fleet.events("ga", "cell_table_adopted"))
    fleet.until(lambda: fleet.sources[0].follower_count("a1"))
    file = fleet.folder / "ga.conf"
    file.write_text(file.read_text().replace(fleet.sources[0].address, "example.org:80"))
    fleet.processes["ga"].send_signal(signal.SIGHUP)
    fleet.until(lambda: fleet.events("ga", "configuration_rejected"))
    assert fleet.wait(fleet.ask("ga", "check-0", "t1")).status == 200
    assert fleet.sources[0].follower_count("a1") == 1
