"""Host lists of cells followed from sources that die, return, are silent, late or hostile: the last good list
stays in force, and the sources are polled at a limited rate."""

import pytest
from followed_cells import MILLI, SECOND, event, host, hosts

from gaproute.discovery.changelog.cell_watcher import FIRST_BACKOFF, MAX_BACKOFF
from gaproute.loop import Listener, Stream
from gaproute.loop.addresses import parse_address
from gaproute.standins.cell_source import CellSource, SourceFault
from gaproute.standins.event_stream import RESPONSE_HEAD


def test_a_source_that_dies_within_an_event_is_followed_again_when_it_returns_with_other_numbers(
    followed_cells,
):
    cells = followed_cells()
    cells.start(a1=hosts("wx"), b1=hosts("y"))
    source = cells.sources[0]
    source.fault = SourceFault.TORN
    source.publish("a1", host("w", "draining"))
    source.close()
    cells.advance(12 * SECOND)
    assert cells.host_names("a1") == "wx"
    assert cells.host_names("b1") == "y"
    assert sorted(cell for cell, error in cells.source_changes) == ["a1", "b1"]
    assert cells.lists.status()["failing"] == ["a1", "b1"]
    restarted = CellSource(cells.loop, "north", source.address)
    cells.sources.append(restarted)
    restarted.publish("a1", host("w", "draining"), host("v"))
    restarted.publish("b1", *hosts("y"))
    cells.until(lambda: cells.lists_in_force["a1"] == {"w": "draining", "v": "active"}, MAX_BACKOFF + SECOND)
    cells.until(lambda: cells.lists.status()["failing"] == [])
    # Event 2 of the restarted source is new, after its complete list with number 1.
    restarted.publish("b1", host("y", "draining"))
    cells.until(lambda: cells.lists_in_force["b1"] == {"y": "draining"})
    assert len(cells.source_changes) == 4
    assert cells.rejected_count == 0


def test_a_source_that_keeps_its_numbers_sends_only_the_missed_events(followed_cells):
    cells = followed_cells()
    cells.start(a1=hosts("wx"), b1=hosts("y"))
    source = cells.sources[0]
    source.cut()
    source.publish("a1", host("w", "draining"))
    cells.until(lambda: cells.lists_in_force["a1"]["w"] == "draining")
    cells.until(lambda: len(source.polls) == 4)
    assert sorted(source.polls[2:]) == [("a1", 1), ("b1", 1)]


def test_sources_are_tried_in_turn_and_each_sends_its_complete_list(followed_cells):
    cells = followed_cells(sources=3)
    cells.start(a1=hosts("wx"), b1=hosts("y"))
    for number in range(3):
        polled = next(source for source in cells.sources if source.follower_count("a1"))
        for source in cells.sources:
            source.publish("a1", host("w", "draining" if number % 2 == 0 else "active"))
        polled.close()
        cells.sources.remove(polled)
        if number < 2:
            cells.until(lambda: any(source.follower_count("a1") for source in cells.sources), 3 * SECOND)
            assert [last for cell, last in source.polls if cell == "a1"][-1] == 0
    cells.advance(SECOND)
    assert cells.host_names("a1") == "wx"


@pytest.mark.parametrize("silent", [True, False])
def test_the_next_source_is_tried_if_one_is_silent_or_does_not_know_the_cell(followed_cells, silent):
    cells = followed_cells(sources=2, zones={"a1": "a"})
    for source in cells.sources:
        if silent or source is cells.sources[0]:
            source.publish("a1", *hosts("wx"))
    if silent:
        cells.sources[0].fault = cells.sources[1].fault = SourceFault.SILENT
    cells.lists.set_cells(cells.zones)
    if silent:
        cells.advance(SECOND)
        assert cells.lists_in_force == {}
        cells.sources[1].fault = None
    cells.until(lambda: cells.host_names("a1") == "wx", 15 * SECOND)


def test_a_source_of_another_fleet_changes_nothing(followed_cells):
    cells = followed_cells(zones={"a1": "a"})
    cells.sources[0].fleet = "south"
    cells.sources[0].publish("a1", *hosts("wx"))
    cells.lists.set_cells(cells.zones)
    cells.advance(10 * SECOND)
    assert cells.lists_in_force == {}
    assert cells.lists.status()["failing"] == ["a1"]
    assert len(cells.source_changes) == 1
    assert cells.source_changes[0][1].endswith("status 404")


def test_gateways_with_different_seeds_spread_over_sources_and_over_time(followed_cells):
    poll_counts, waits = [0, 0, 0], []
    for seed in range(30):
        cells = followed_cells(sources=3, zones={"a1": "a"}, seed=seed)
        cells.start(a1=hosts("wx"))
        for position, source in enumerate(cells.sources):
            poll_counts[position] += source.poll_counts["a1"]
        cut_at = cells.clock.now
        for source in cells.sources:
            source.cut()
        cells.until(lambda cells=cells: cells.watcher("a1").connection_count == 2)
        waits.append(cells.clock.now - cut_at)
        cells.close()
    assert min(poll_counts) >= 5, poll_counts
    assert FIRST_BACKOFF // 2 <= min(waits) < 0.65 * FIRST_BACKOFF < 0.85 * FIRST_BACKOFF < max(waits)
    assert max(waits) <= FIRST_BACKOFF + 30 * MILLI


def test_connecting_is_retried_with_backoff_while_no_source_answers(followed_cells):
    cells = followed_cells(addresses=["127.0.0.1:1"], zones={"a1": "a"})
    cells.lists.set_cells(cells.zones)
    cells.advance(60 * SECOND)
    assert 8 <= cells.watcher("a1").connection_count <= 16
    assert len(cells.source_changes) == 1


# Hostile sources


class HostileSource:
    """Sends the pieces that `pieces()` returns on each connection, every 100 ms."""

    def __init__(self, loop, pieces):
        self.loop, self.pieces, self.connections = loop, pieces, 0
        self.listener = Listener(loop, parse_address("127.0.0.1:0"), self._accept)
        self.address = self.listener.address

    def _accept(self, sock):
        self.connections += 1
        stream = Stream(self.loop, sock, lambda data: None, lambda error: None)

        def send_pieces():
            if stream.open:
                for piece in self.pieces():
                    stream.write(piece)
                self.loop.call_later(100 * MILLI, send_pieces)

        send_pieces()


RESPONSES = {
    "trickle without an end": lambda: [b"x"],
    "head without an end": lambda: [b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" * 99],
    "event without an end": lambda: [RESPONSE_HEAD, b"data: " + b"[" * 300_000],
    "other status": lambda: [b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"],
    "no http": lambda: [b"SSH-2.0-OpenSSH\r\n"],
    "changes without a list": lambda: [RESPONSE_HEAD, event(5, hosts("u"), complete=False)],
    "first change without a list": lambda: [RESPONSE_HEAD, event(1, hosts("u"), complete=False)],
    "events that are none": lambda: [RESPONSE_HEAD, b"data: {}\n\n", b"data: [1\n\n"],
}


@pytest.mark.parametrize("response", RESPONSES)
def test_a_hostile_source_leaves_the_last_good_list_in_force_and_is_polled_rarely(followed_cells, response):
    cells = followed_cells(zones={"a1": "a"})
    cells.start(a1=hosts("wx"))
    good_source = cells.sources[0]
    hostile_source = HostileSource(cells.loop, RESPONSES[response])
    watcher = cells.watcher("a1")
    watcher.sources.append(hostile_source.address)
    good_source.close()
    for _ in range(20):
        cells.advance(SECOND, 50 * MILLI)
        reader = watcher.reader
        assert len(reader.event_data) + len(reader.partial_line) + reader.unfinished_bytes <= 2 * (
            1 << 20
        ) + (1 << 16)
    assert cells.host_names("a1") == "wx"
    assert len(cells.source_changes) == 1
    assert 1 <= hostile_source.connections <= 12
    hostile_source.listener.close()


def test_a_flood_of_changes_is_applied_at_a_limited_rate(followed_cells):
    cells = followed_cells(zones={"a1": "a"})
    cells.start(a1=hosts("wx"))
    changes_before = cells.change_count
    for number in range(1_000):
        cells.sources[0].publish("a1", host("w", "draining" if number % 2 else "active"))
        if number % 10 == 0:
            cells.advance(MILLI, MILLI)
    cells.advance(SECOND)
    assert cells.lists_in_force["a1"] == {"w": "draining", "x": "active"}
    assert cells.change_count - changes_before <= 6


def test_a_source_that_ends_after_each_list_is_reported_once_and_polled_with_pauses(followed_cells):
    cells = followed_cells(zones={"a1": "a"})
    cells.start(a1=hosts("wx"))
    source = cells.sources[0]
    for _ in range(40):
        if source.follower_count("a1"):
            source.cut()
        cells.advance(250 * MILLI)
    assert len(cells.source_changes) == 1
    assert source.poll_counts["a1"] <= 1 + 10 * SECOND // (FIRST_BACKOFF // 2)
    cells.until(lambda: cells.source_changes[-1] == ("a1", None), 5 * SECOND)
