"""Host lists of cells followed from sources that die, come back, are silent, late or hostile: the last good
list serves on, and the sources are asked at a bounded pace."""

import pytest
from followed_cells import MILLI, SECOND, event, host, hosts

from gaproute.discovery.changelog.cell_watcher import FIRST_BACKOFF, MAX_BACKOFF
from gaproute.loop import Listener, Stream
from gaproute.loop.addresses import parse_address
from gaproute.standins.cell_source import CellSource, SourceFault
from gaproute.standins.event_stream import RESPONSE_HEAD


def test_a_source_killed_while_it_sends_is_followed_again_when_it_comes_back_in_other_numbers(followed_cells):
    made = followed_cells()
    made.begin(a1=hosts("wx"), b1=hosts("y"))
    source = made.sources[0]
    source.fault = SourceFault.TORN
    source.publish("a1", host("w", "draining"))
    source.close()
    made.passes(12 * SECOND)
    assert made.names("a1") == "wx"
    assert made.names("b1") == "y"
    assert sorted(cell for cell, why in made.failures) == ["a1", "b1"]
    assert made.lists.status()["failing"] == ["a1", "b1"]
    back = CellSource(made.loop, "north", source.address)
    made.sources.append(back)
    back.publish("a1", host("w", "draining"), host("v"))
    back.publish("b1", *hosts("y"))
    made.until(lambda: made.lists_in_force["a1"] == {"w": "draining", "v": "active"}, MAX_BACKOFF + SECOND)
    made.until(lambda: made.lists.status()["failing"] == [])
    back.publish("b1", host("y", "draining"))  # number 2, which was never had, after a list that was
    made.until(lambda: made.lists_in_force["b1"] == {"y": "draining"})
    assert len(made.failures) == 4
    assert made.count == 0


def test_a_source_that_retained_its_numbers_sends_only_what_was_missed(followed_cells):
    made = followed_cells()
    made.begin(a1=hosts("wx"), b1=hosts("y"))
    source = made.sources[0]
    source.cut()
    source.publish("a1", host("w", "draining"))
    made.until(lambda: made.lists_in_force["a1"]["w"] == "draining")
    made.until(lambda: len(source.polls) == 4)
    assert sorted(source.polls[2:]) == [("a1", 1), ("b1", 1)]


def test_sources_are_tried_in_turn_and_each_sends_its_complete_list(followed_cells):
    made = followed_cells(sources=3)
    made.begin(a1=hosts("wx"), b1=hosts("y"))
    for number in range(3):
        asked = next(source for source in made.sources if source.follower_count("a1"))
        for source in made.sources:
            source.publish("a1", host("w", "draining" if number % 2 == 0 else "active"))
        asked.close()
        made.sources.remove(asked)
        if number < 2:
            made.until(lambda: any(source.follower_count("a1") for source in made.sources), 3 * SECOND)
            assert [last for cell, last in source.polls if cell == "a1"][-1] == 0
    made.passes(SECOND)
    assert made.names("a1") == "wx"


@pytest.mark.parametrize("silent", [True, False])
def test_a_source_that_is_silent_or_does_not_know_the_cell_is_left_for_the_next(followed_cells, silent):
    made = followed_cells(sources=2, zones={"a1": "a"})
    for source in made.sources:
        if silent or source is made.sources[0]:
            source.publish("a1", *hosts("wx"))
    if silent:
        made.sources[0].fault = made.sources[1].fault = SourceFault.SILENT
    made.lists.set_cells(made.zones)
    if silent:
        made.passes(SECOND)
        assert made.lists_in_force == {}
        made.sources[1].fault = None
    made.until(lambda: made.names("a1") == "wx", 15 * SECOND)


def test_a_source_of_another_fleet_changes_nothing(followed_cells):
    made = followed_cells(zones={"a1": "a"})
    made.sources[0].fleet = "south"
    made.sources[0].publish("a1", *hosts("wx"))
    made.lists.set_cells(made.zones)
    made.passes(10 * SECOND)
    assert made.lists_in_force == {}
    assert made.lists.status()["failing"] == ["a1"]
    assert len(made.failures) == 1
    assert made.failures[0][1].endswith("status 404")


def test_gateways_of_one_seed_each_spread_over_sources_and_over_time(followed_cells):
    asked, waits = [0, 0, 0], []
    for seed in range(30):
        made = followed_cells(sources=3, zones={"a1": "a"}, seed=seed)
        made.begin(a1=hosts("wx"))
        for place, source in enumerate(made.sources):
            asked[place] += source.poll_counts["a1"]
        began = made.clock.now
        for source in made.sources:
            source.cut()
        made.until(lambda made=made: made.follower("a1").connection_count == 2)
        waits.append(made.clock.now - began)
        made.close()
    assert min(asked) >= 5, asked
    assert FIRST_BACKOFF // 2 <= min(waits) < 0.65 * FIRST_BACKOFF < 0.85 * FIRST_BACKOFF < max(waits)
    assert max(waits) <= FIRST_BACKOFF + 30 * MILLI


def test_while_no_source_answers_the_tries_become_few(followed_cells):
    made = followed_cells(wheres=["127.0.0.1:1"], zones={"a1": "a"})
    made.lists.set_cells(made.zones)
    made.passes(60 * SECOND)
    assert 8 <= made.follower("a1").connection_count <= 16
    assert len(made.failures) == 1


# Hostile sources


class Hostile:
    """Answers each connection by the bytes that `says` gives, and again with each of its turns."""

    def __init__(self, loop, says):
        self.loop, self.says, self.connections = loop, says, 0
        self.listener = Listener(loop, parse_address("127.0.0.1:0"), self._accept)
        self.address = self.listener.address

    def _accept(self, sock):
        self.connections += 1
        stream = Stream(self.loop, sock, lambda data: None, lambda error: None)

        def say():
            if stream.open:
                for piece in self.says():
                    stream.write(piece)
                self.loop.call_later(100 * MILLI, say)

        say()


SPEECHES = {
    "trickle without an end": lambda: [b"x"],
    "head without an end": lambda: [b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" * 99],
    "event without an end": lambda: [RESPONSE_HEAD, b"data: " + b"[" * 300_000],
    "other status": lambda: [b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"],
    "no http": lambda: [b"SSH-2.0-OpenSSH\r\n"],
    "changes without a list": lambda: [RESPONSE_HEAD, event(5, hosts("u"), complete=False)],
    "first change without a list": lambda: [RESPONSE_HEAD, event(1, hosts("u"), complete=False)],
    "events that are none": lambda: [RESPONSE_HEAD, b"data: {}\n\n", b"data: [1\n\n"],
}


@pytest.mark.parametrize("speech", SPEECHES)
def test_a_hostile_source_leaves_the_last_good_list_and_is_asked_seldom(followed_cells, speech):
    made = followed_cells(zones={"a1": "a"})
    made.begin(a1=hosts("wx"))
    good = made.sources[0]
    hostile = Hostile(made.loop, SPEECHES[speech])
    follower = made.follower("a1")
    follower.sources.append(hostile.address)
    good.close()
    for _ in range(20):
        made.passes(SECOND, 50 * MILLI)
        reader = follower.reader
        assert len(reader.event_data) + len(reader.partial_line) + reader.unfinished_bytes <= 2 * (
            1 << 20
        ) + (1 << 16)
    assert made.names("a1") == "wx"
    assert len(made.failures) == 1
    assert 1 <= hostile.connections <= 12
    hostile.listener.close()


def test_a_flood_of_changes_is_taken_in_no_more_often_than_the_pace(followed_cells):
    made = followed_cells(zones={"a1": "a"})
    made.begin(a1=hosts("wx"))
    before = made.adoptions
    for number in range(1_000):
        made.sources[0].publish("a1", host("w", "draining" if number % 2 else "active"))
        if number % 10 == 0:
            made.passes(MILLI, MILLI)
    made.passes(SECOND)
    assert made.lists_in_force["a1"] == {"w": "draining", "x": "active"}
    assert made.adoptions - before <= 6


def test_a_source_that_sends_and_ends_at_once_is_faulty_once_and_polled_at_its_pace(followed_cells):
    made = followed_cells(zones={"a1": "a"})
    made.begin(a1=hosts("wx"))
    source = made.sources[0]
    for _ in range(40):
        if source.follower_count("a1"):
            source.cut()
        made.passes(250 * MILLI)
    assert len(made.failures) == 1
    assert source.poll_counts["a1"] <= 1 + 10 * SECOND // (FIRST_BACKOFF // 2)
    made.until(lambda: made.failures[-1] == ("a1", None), 5 * SECOND)
