"""The log of changes: events out of bytes, and the one connection that follows it."""

import json

import pytest
from helpers import makers
from hypothesis import given
from hypothesis import strategies as st
from scripted import Followed

from gaproute.discovery.changelog import events
from gaproute.discovery.changelog import sse as sse_reader
from gaproute.discovery.changelog import watcher as watching
from gaproute.discovery.changelog.members import MemberConverter
from gaproute.interface import State
from gaproute.loop import Loop
from gaproute.standins.platform import ScriptedChangeLog, event, sse

MILLI, SECOND = 1_000_000, 1_000_000_000
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
ONE = event(1, ("s-1", "127.0.0.1:5", "Ready"), complete=True)
TWO = event(2, ("s-1", "127.0.0.1:5", "Terminating"))


@pytest.mark.parametrize("cut", range(1, 90, 11))
@pytest.mark.parametrize("chunked", [True, False])
def test_events_are_read_however_the_bytes_are_split(cut, chunked):
    parts = [b": alive\n\n", sse(ONE), b": alive\n\n", sse(TWO).replace(b"\n", b"\r\n")]
    data = HEAD + b"\r\n" + b"".join(parts)
    if chunked:
        data = (
            HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
        )
    reader = sse_reader.EventReader()
    got = [each.seq for at in range(0, len(data), cut) for each in reader.feed(data[at : at + cut])]
    assert got == [1, 2]


def test_half_an_event_is_no_event():
    reader = sse_reader.EventReader()
    assert [each.seq for each in reader.feed(HEAD + b"\r\n" + sse(ONE) + sse(TWO)[:-1])] == [1]


@pytest.mark.parametrize("data", [b"{", b'{"seq":"x"}', b'{"seq":1,"fleet":5}', b"\xff", b"[" * 9999])
def test_what_is_no_event_is_reported_and_those_behind_it_are_read(data):
    one, two = sse_reader.EventReader().feed(HEAD + b"\r\ndata: " + data + b"\n\n" + sse(TWO))
    assert one is None
    assert two.seq == 2


@pytest.mark.parametrize("data", [b"HTTP/1.1 503 No\r\n\r\n", b"noise\r\n\r\n"])
def test_what_is_no_log_is_broken(data):
    with pytest.raises(sse_reader.ChangeLogError):
        sse_reader.EventReader().feed(data)


@given(st.lists(st.binary(max_size=80), max_size=10))
def test_arbitrary_bytes_raise_nothing_else(pieces):
    reader = sse_reader.EventReader()
    try:
        reader.feed(HEAD + b"\r\n")
        for piece in pieces:
            reader.feed(piece)
    except sse_reader.ChangeLogError:
        pass


def test_members_become_rows_in_the_modules_terms():
    loop = Loop(lambda: 50 * SECOND)
    converter = MemberConverter(loop, ["hall-b", "hall-a"], lambda: 1_000 * SECOND)
    watch_event = event(
        1, ("s-1", "127.0.0.1:5", "Ready"), ("s-2", "nowhere", "Ready"), ("s-3", "127.0.0.1:6", "X")
    )
    watch_event["fleet"]["members"][0]["up_since_ms"] = 990_000
    (row,) = converter.endpoints(events.decode_initial_events({"results": [watch_event]})[1][0].fleet)
    assert (row.listed.host, row.listed.zone, row.listed.cell, row.address) == ("s-1", 1, 2, "127.0.0.1:5")
    assert (row.listed.state, row.listed.capacity, row.listed.started) == (State.ACTIVE, 4.0, 40 * SECOND)
    assert converter.rejected_count == 2
    loop.close()


@pytest.fixture
def follow():
    yield from makers(Followed)


def test_it_asks_from_the_last_number_and_passes_over_what_is_written_twice(follow):
    made = follow(
        lambda last: sse(ONE) + sse(TWO) + sse(TWO) + sse(ONE),
        last=1,
        known=events.decode_initial_events({"results": [ONE]})[1],
    )
    made.until(lambda: made.received)
    assert made.log.came == [1]
    assert made.received == [2]


def test_a_break_in_an_event_is_asked_again_and_nothing_is_lost(follow):
    made = follow(lambda last: sse(TWO)[:40] if len(made.log.came) == 1 else sse(TWO), last=1)
    made.until(lambda: made.log.streams and made.log.came)
    made.log.streams[0].abort()
    made.until(lambda: made.received)
    assert made.received == [2]
    assert made.log.came == [1, 1]


def test_an_unreadable_event_is_asked_again(follow):
    made = follow(lambda last: b"data: {broken\n\n" if len(made.log.came) == 1 else sse(TWO), last=1)
    made.until(lambda: made.received)
    assert made.received == [2]
    assert made.log.came == [1, 1]


def test_a_gap_is_asked_for_once_and_then_taken_as_it_is(follow):
    three = event(3, ("s-1", "127.0.0.1:5", "Gone"))
    made = follow(lambda last: sse(three), last=1)
    made.until(lambda: made.received)
    assert made.received == [3]
    assert made.log.came == [1, 1]


def test_silence_beyond_the_comments_pace_is_asked_again(follow, monkeypatch):
    monkeypatch.setattr(watching, "SILENCE_TIMEOUT", 30 * MILLI)
    made = follow(lambda last: b"" if len(made.log.came) == 1 else sse(ONE))
    made.until(lambda: made.received)
    assert made.log.came == [0, 0]


def test_another_address_is_followed_from_the_last_number(follow):
    made = follow(lambda last: sse(ONE) if last == 0 else b"")
    made.until(lambda: made.received)
    other = ScriptedChangeLog(made.loop, lambda last: sse(TWO))
    made.follower.set_address(other.address)
    made.follower.set_address(other.address)
    made.until(lambda: made.received == [1, 2])
    assert other.came == [1]
    other.close()


def test_a_log_that_is_down_is_asked_less_and_less_often(follow):
    made = follow(lambda last: b"")
    made.log.close()
    made.until(lambda: made.follower.connection_count >= 4)
    assert made.follower.backoff >= 8 * watching.FIRST_BACKOFF
    assert made.follower.backoff <= watching.MAX_BACKOFF


def test_known_events_come_first():
    last, watch_events = events.decode_initial_events(
        json.loads(json.dumps({"seq": 3, "results": [ONE, TWO]}))
    )
    assert last == 3
    assert [each.seq for each in watch_events] == [1, 2]
    assert events.decode_initial_events({}) == (0, [])
