"""Cells by several processes of the program that follow their host lists from sources: what sources' faults
leave in force, and that no attempt reaches a host past the grace after it was listed as draining or gone."""

import signal
import socket
from functools import partial

import pytest
from followed_fleet import GRACE, FollowedFleet
from helpers import MILLI, SECOND, makers

from gaproute.loop.addresses import parse_address
from gaproute.standins.cell_source import CellSource, SourceFault

PAIR = {"a1": ("a1", ("ga",)), "b1": ("b1", ("gb",))}
TWO_OF_ONE = {"a1": ("a1", ("ga",)), "a2": ("a1", ("ga",))}
SHARED = {"a1": ("a1", ("ga", "gb"))}
BEGIN = 1_000  # the number before those of a source that starts anew


@pytest.fixture
def followed(tmp_path):
    """Makes fleets that follow sources, and ends them after the test."""
    yield from makers(partial(FollowedFleet, tmp_path))


def test_a_gateway_follows_the_cells_that_it_knows_and_a_drained_host_is_left_alone(followed):
    fleet = followed(PAIR)
    fleet.serving("ga", "gb")
    source = fleet.sources[0]
    assert source.poll_counts == {"a1": 1, "b1": 1}
    calls = fleet.calls("ga", "gb")
    fleet.until(lambda: fleet.attempts("a1-h0") and fleet.attempts("b1-h1"))
    notified_at = fleet.loop.now()
    source.publish("a1", fleet.member("a1-h0", "draining"))
    source.publish("b1", fleet.member("b1-h1", "gone"))
    fleet.rest(GRACE + 300 * MILLI)
    assert calls.end() == {200}
    for host in ("a1-h0", "b1-h1"):
        assert fleet.attempts(host, notified_at + GRACE) == []
    assert fleet.attempts("a1-h1", notified_at + GRACE)
    assert fleet.attempts("b1-h0", notified_at + GRACE)
    assert fleet.listed("ga") == {"a1-h0": "draining", "a1-h1": "active"}
    assert fleet.listed("gb") == {"b1-h0": "active"}


def test_a_source_killed_while_it_sends_and_started_anew(followed):
    fleet = followed(PAIR)
    fleet.serving("ga", "gb")
    killed = fleet.sources.pop()
    calls = fleet.calls("ga", "gb")
    killed.fault = SourceFault.TORN
    killed.publish("a1", fleet.member("a1-h0", "draining"))
    killed.close()
    fleet.until(lambda: all(fleet.cell_status(name)["sources"]["failing"] for name in ("ga", "gb")))
    assert fleet.listed("ga") == {"a1-h0": "active", "a1-h1": "active"}
    back = CellSource(fleet.loop, "north", killed.address, begin=BEGIN)
    fleet.sources.append(back)
    back.publish("a1", fleet.member("a1-h0", "draining"), fleet.member("a1-h1"))
    back.publish("b1", *fleet.members("b1"))
    fleet.until(lambda: fleet.listed("ga")["a1-h0"] == "draining")
    notified_at = fleet.loop.now()
    fleet.until(lambda: back.follower_count("b1"))
    back.publish("b1", fleet.member("b1-h0", "gone"))
    fleet.rest(SECOND)
    assert calls.end() == {200}
    assert fleet.attempts("a1-h0", notified_at + GRACE) == []
    assert fleet.attempts("b1-h0", notified_at + GRACE) == []
    assert len(fleet.events("ga", "cell_source_lost")) == 1


def test_the_next_source_is_followed_when_one_dies(followed):
    fleet = followed(PAIR, sources=2)
    fleet.serving("ga", "gb")
    calls = fleet.calls("ga", "gb")
    dead = next(source for source in fleet.sources if source.follower_count("a1"))
    fleet.sources.remove(dead)
    dead.close()
    left = fleet.sources[0]
    fleet.until(lambda: left.follower_count("a1") and left.follower_count("b1"))
    notified_at = fleet.loop.now()
    left.publish("a1", fleet.member("a1-h1", "draining"))
    fleet.until(lambda: fleet.listed("ga")["a1-h1"] == "draining")
    fleet.rest(GRACE)
    assert calls.end() == {200}
    assert fleet.attempts("a1-h1", notified_at + GRACE) == []


def test_a_source_that_is_late_by_two_seconds(followed):
    fleet = followed(SHARED)
    fleet.serving("ga")
    calls = fleet.calls("ga")
    fleet.sources[0].delay_events(2 * SECOND)
    fleet.sources[0].publish("a1", fleet.member("a1-h0", "draining"))
    sent = fleet.loop.now() + 2 * SECOND
    fleet.rest(SECOND)
    assert fleet.listed("ga")["a1-h0"] == "active"
    fleet.until(lambda: fleet.listed("ga")["a1-h0"] == "draining")
    assert fleet.loop.now() - sent < 400 * MILLI
    fleet.rest(GRACE)
    assert calls.end() == {200}
    assert fleet.attempts("a1-h0", sent + GRACE) == []
    assert fleet.cell_status("ga")["sources"]["failing"] == []  # it is late, not silent


def test_a_gateway_that_was_stopped_hears_the_news_before_the_calls_that_came_meanwhile(followed):
    fleet = followed(SHARED)
    fleet.serving("ga")
    assert fleet.wait(fleet.ask("ga", "check-0", "before")).status == 200
    process = fleet.processes["ga"]
    process.send_signal(signal.SIGSTOP)
    answers = [fleet.ask("ga", f"check-{number}", f"t{number}") for number in range(20)]
    fleet.sources[0].publish("a1", fleet.member("a1-h0", "draining"))
    fleet.rest(GRACE + 200 * MILLI)
    resumed = fleet.loop.now()
    process.send_signal(signal.SIGCONT)
    assert {fleet.wait(answer).status for answer in answers} == {200}
    assert fleet.attempts("a1-h0", resumed) == []
    assert len(fleet.attempts("a1-h1", resumed)) >= 20


def test_a_gateway_that_stops_still_hears_that_a_host_drains(followed):
    fleet = followed(SHARED)
    fleet.serving("ga")
    assert fleet.wait(fleet.ask("ga", "check-0", "t1")).status == 200
    drained = fleet.came("t1")[0]
    held = fleet.status("ga")["clients"]["connections"]
    with socket.create_connection(parse_address(fleet.clients["ga"])[1]) as client:
        client.settimeout(5)
        fleet.until(lambda: fleet.status("ga")["clients"]["connections"] > held)
        fleet.processes["ga"].send_signal(signal.SIGTERM)
        fleet.until(lambda: fleet.events("ga", "stopping"))
        fleet.sources[0].publish("a1", fleet.member(drained, "draining"))
        fleet.rest(GRACE)
        client.sendall(b"POST /v2/models/check-0/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 2\r\n\r\n{}")
        fleet.until(lambda: fleet.processes["ga"].poll() is not None)
        assert client.recv(65536).startswith(b"HTTP/1.1 200 ")
    assert len(fleet.attempts(drained)) == 1


def test_two_gateways_that_hear_different_lists(followed):
    fleet = followed(SHARED, sources=2)
    fleet.sources_of = {"ga": [fleet.sources[0].address], "gb": [fleet.sources[1].address]}
    fleet.sources[1].publish("a1", fleet.member("a1-h0", "gone"))
    fleet.serving("ga", "gb")
    notified_at = fleet.loop.now()
    both = fleet.calls("gb", label="b"), fleet.calls("ga", label="a")
    fleet.until(lambda: min(len(calls.statuses) for calls in both) > 60)
    assert [calls.end() for calls in both] == [{200}, {200}]
    reached = fleet.attempts("a1-h0", notified_at)
    assert reached
    assert all(event["id"].startswith("a") for event in reached if event["what"] == "task")
    fleet.sources[0].publish("a1", fleet.member("a1-h0", "gone"))
    fleet.until(lambda: fleet.listed("ga") == fleet.listed("gb") == {"a1-h1": "active"})


def test_a_host_that_moves_between_cells_serves_the_new_one_once_the_old_lets_go(followed):
    fleet = followed(TWO_OF_ONE)
    fleet.serving("ga")
    source = fleet.sources[0]
    calls = fleet.calls("ga")
    source.publish("a2", fleet.member("a1-h0"))
    fleet.until(lambda: fleet.events("ga", "cell_host_rejected"))
    notified_at = fleet.loop.now()
    source.publish("a1", fleet.member("a1-h0", "draining"))
    fleet.until(lambda: fleet.listed("ga")["a1-h0"] == "draining")
    fleet.rest(GRACE)
    moved = fleet.loop.now()
    assert fleet.attempts("a1-h0", notified_at + GRACE) == []
    source.publish("a1", fleet.member("a1-h0", "gone"))
    fleet.until(lambda: fleet.listed("ga")["a1-h0"] == "active")
    source.publish("a2", *[fleet.member(name, "draining") for name in ("a2-h0", "a2-h1")])
    fleet.until(lambda: fleet.attempts("a1-h0", moved))
    assert calls.end() == {200}
    refused = fleet.events("ga", "cell_host_rejected")
    assert [(each["cell"], each["host"]) for each in refused] == [("a2", "a1-h0")]
    assert fleet.cell_status("ga")["refused"] == {"wrong host of a source": 1}


def test_a_cell_let_go_and_needed_again_is_fetched_anew(followed):
    fleet = followed(TWO_OF_ONE)
    fleet.serving("ga")
    source = fleet.sources[0]
    fleet.write_table({"a1": fleet.cells["a1"]})
    fleet.until(lambda: source.follower_count("a2") == 0)
    fleet.until(lambda: fleet.cell_status("ga")["known"] == ["a1"])
    assert set(fleet.listed("ga")) == {"a1-h0", "a1-h1"}
    source.publish("a2", fleet.member("a2-h0", "draining"))
    notified_at = fleet.loop.now()
    fleet.write_table()
    fleet.until(lambda: fleet.cell_status("ga")["known"] == ["a1", "a2"])
    assert fleet.listed("ga")["a2-h0"] == "draining"
    assert source.poll_counts == {"a1": 1, "a2": 2}
    calls = fleet.calls("ga")
    fleet.until(lambda: fleet.attempts("a2-h1", notified_at))
    assert calls.end() == {200}
    assert fleet.attempts("a2-h0", notified_at) == []


HOSTILE = [
    b"data: {\n\n",
    b'data: {"seq": 2, "fleet": {"members": [{"id": "a1-h0"}]}}\n\n',
    b'data: {"seq": 2, "fleet": {"complete": true, "members": []}}\n\n',
    b'data: {"seq": 9, "fleet": {"members": []}}\n\n',
    b"data: " + b"[" * (1 << 21),
    b"\xff\x00" * 500,
]


def test_hostile_lines_leave_the_last_good_list(followed):
    fleet = followed(SHARED)
    fleet.serving("ga")
    source = fleet.sources[0]
    calls = fleet.calls("ga")
    for lines in HOSTILE:
        fleet.until(lambda: source.follower_count("a1"))
        source.send("a1", lines)
        fleet.rest(100 * MILLI)
        assert fleet.listed("ga") == {"a1-h0": "active", "a1-h1": "active"}
    fleet.until(lambda: source.follower_count("a1"))
    notified_at = fleet.loop.now()
    source.publish("a1", fleet.member("a1-h0", "draining"))
    fleet.until(lambda: fleet.listed("ga")["a1-h0"] == "draining")
    fleet.rest(GRACE)
    assert calls.end() == {200}
    assert fleet.attempts("a1-h0", notified_at + GRACE) == []
    assert len(fleet.events("ga", "cell_source_lost")) <= 2
    assert fleet.events("ga", "unhandled_exception") == []


def test_a_wrong_source_on_reload_changes_nothing(followed):
    fleet = followed({"a1": ("a1", ("ga-0",))})
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
