"""The change log: events read from bytes, and the connection of the watcher."""

import json

import pytest
from helpers import makers
from hypothesis import given
from hypothesis import strategies as st
from scripted import Followed

from gaproute.discovery.changelog import events
from gaproute.discovery.changelog import sse as sse_module
from gaproute.discovery.changelog import watcher as watcher_module
from gaproute.discovery.changelog.members import MemberConverter
from gaproute.interface import ListedHostState
from gaproute.loop import Loop
from gaproute.standins.platform import ScriptedChangeLog, event, sse

MILLI, SECOND = 1_000_000, 1_000_000_000
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
COMPLETE_LIST_1 = event(1, ("s-1", "127.0.0.1:5", "Ready"), complete=True)
DRAIN_EVENT_2 = event(2, ("s-1", "127.0.0.1:5", "Terminating"))


@pytest.mark.parametrize("cut", range(1, 90, 11))
@pytest.mark.parametrize("chunked", [True, False])
def test_events_are_read_however_the_bytes_are_split(cut, chunked):
    parts = [b": alive\n\n", sse(COMPLETE_LIST_1), b": alive\n\n", sse(DRAIN_EVENT_2).replace(b"\n", b"\r\n")]
    data = HEAD + b"\r\n" + b"".join(parts)
    if chunked:
        data = (
            HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
        )
    reader = sse_module.EventReader()
    numbers = [
        received.seq for at in range(0, len(data), cut) for received in reader.feed(data[at : at + cut])
    ]
    assert numbers == [1, 2]


def test_an_incomplete_event_is_not_returned():
    reader = sse_module.EventReader()
    assert [
        received.seq
        for received in reader.feed(HEAD + b"\r\n" + sse(COMPLETE_LIST_1) + sse(DRAIN_EVENT_2)[:-1])
    ] == [1]


@pytest.mark.parametrize("data", [b"{", b'{"seq":"x"}', b'{"seq":1,"fleet":5}', b"\xff", b"[" * 9999])
def test_an_invalid_event_is_returned_as_none_and_later_events_are_read(data):
    first, second = sse_module.EventReader().feed(HEAD + b"\r\ndata: " + data + b"\n\n" + sse(DRAIN_EVENT_2))
    assert first is None
    assert second.seq == 2


@pytest.mark.parametrize("data", [b"HTTP/1.1 503 No\r\n\r\n", b"noise\r\n\r\n"])
def test_a_response_that_is_no_change_log_raises_an_error(data):
    with pytest.raises(sse_module.ChangeLogError):
        sse_module.EventReader().feed(data)


@given(st.lists(st.binary(max_size=80), max_size=10))
def test_arbitrary_bytes_raise_no_other_error(pieces):
    reader = sse_module.EventReader()
    try:
        reader.feed(HEAD + b"\r\n")
        for piece in pieces:
            reader.feed(piece)
    except sse_module.ChangeLogError:
        pass


def test_members_are_converted_to_endpoints_and_invalid_members_counted():
    loop = Loop(lambda: 50 * SECOND)
    converter = MemberConverter(loop, ["hall-b", "hall-a"], lambda: 1_000 * SECOND)
    watch_event = event(
        1, ("s-1", "127.0.0.1:5", "Ready"), ("s-2", "nowhere", "Ready"), ("s-3", "127.0.0.1:6", "X")
    )
    watch_event["fleet"]["members"][0]["up_since_ms"] = 990_000
    (endpoint,) = converter.endpoints(events.decode_initial_events({"results": [watch_event]})[1][0].fleet)
    assert (endpoint.listed.host, endpoint.listed.zone, endpoint.listed.cell, endpoint.address) == (
        "s-1",
        1,
        2,
        "127.0.0.1:5",
    )
    assert (endpoint.listed.state, endpoint.listed.capacity, endpoint.listed.started) == (
        ListedHostState.ACTIVE,
        4.0,
        40 * SECOND,
    )
    assert converter.rejected_count == 2
    loop.close()


@pytest.fixture
def follow():
    yield from makers(Followed)


def test_the_watcher_requests_the_events_after_the_last_number_and_skips_repeated_ones(follow):
    followed_log = follow(
        lambda last: sse(COMPLETE_LIST_1) + sse(DRAIN_EVENT_2) + sse(DRAIN_EVENT_2) + sse(COMPLETE_LIST_1),
        last=1,
        known=events.decode_initial_events({"results": [COMPLETE_LIST_1]})[1],
    )
    followed_log.until(lambda: followed_log.received)
    assert followed_log.log.came == [1]
    assert followed_log.received == [2]


def test_an_event_that_breaks_off_is_requested_again(follow):
    followed_log = follow(
        lambda last: sse(DRAIN_EVENT_2)[:40] if len(followed_log.log.came) == 1 else sse(DRAIN_EVENT_2),
        last=1,
    )
    followed_log.until(lambda: followed_log.log.streams and followed_log.log.came)
    followed_log.log.streams[0].abort()
    followed_log.until(lambda: followed_log.received)
    assert followed_log.received == [2]
    assert followed_log.log.came == [1, 1]


def test_an_unreadable_event_is_requested_again(follow):
    followed_log = follow(
        lambda last: b"data: {broken\n\n" if len(followed_log.log.came) == 1 else sse(DRAIN_EVENT_2), last=1
    )
    followed_log.until(lambda: followed_log.received)
    assert followed_log.received == [2]
    assert followed_log.log.came == [1, 1]


def test_a_gap_is_requested_once_and_then_skipped(follow):
    gone_event = event(3, ("s-1", "127.0.0.1:5", "Gone"))
    followed_log = follow(lambda last: sse(gone_event), last=1)
    followed_log.until(lambda: followed_log.received)
    assert followed_log.received == [3]
    assert followed_log.log.came == [1, 1]


def test_a_connection_that_stays_silent_is_reopened(follow, monkeypatch):
    monkeypatch.setattr(watcher_module, "SILENCE_TIMEOUT", 30 * MILLI)
    followed_log = follow(lambda last: b"" if len(followed_log.log.came) == 1 else sse(COMPLETE_LIST_1))
    followed_log.until(lambda: followed_log.received)
    assert followed_log.log.came == [0, 0]


def test_another_address_is_followed_from_the_last_number(follow):
    followed_log = follow(lambda last: sse(COMPLETE_LIST_1) if last == 0 else b"")
    followed_log.until(lambda: followed_log.received)
    other_log = ScriptedChangeLog(followed_log.loop, lambda last: sse(DRAIN_EVENT_2))
    followed_log.follower.set_address(other_log.address)
    followed_log.follower.set_address(other_log.address)
    followed_log.until(lambda: followed_log.received == [1, 2])
    assert other_log.came == [1]
    other_log.close()


def test_connecting_to_a_closed_log_is_retried_with_backoff(follow):
    followed_log = follow(lambda last: b"")
    followed_log.log.close()
    followed_log.until(lambda: followed_log.follower.connection_count >= 4)
    assert followed_log.follower.backoff >= 8 * watcher_module.FIRST_BACKOFF
    assert followed_log.follower.backoff <= watcher_module.MAX_BACKOFF


def test_initial_events_are_decoded_in_order_with_the_last_number():
    last, watch_events = events.decode_initial_events(
        json.loads(json.dumps({"seq": 3, "results": [COMPLETE_LIST_1, DRAIN_EVENT_2]}))
    )
    assert last == 3
    assert [watch_event.seq for watch_event in watch_events] == [1, 2]
    assert events.decode_initial_events({}) == (0, [])
