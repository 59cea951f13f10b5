"""The change log falls silent, ends, breaks off or restarts: which events its watcher passes on."""

import json
import time

import pytest
from change_log_answers import (
    CHUNKED_HEAD,
    COMPLETE_LIST_1,
    DRAIN_EVENT_2,
    GONE_EVENT_3,
    HALF_EVENT_2,
    HEAD,
    UNFINISHED_HEAD,
)
from scripted import MILLI, SECOND, Handed

from gaproute.discovery.changelog import events
from gaproute.discovery.changelog import sse as sse_module
from gaproute.discovery.changelog import watcher as watcher_module
from gaproute.standins.platform import event, sse


def write_every_second(followed_log, data, times):
    for _ in range(times):
        for stream in followed_log.log.streams:
            if stream.open:
                stream.write(data)
        followed_log.passes(SECOND)


@pytest.mark.parametrize(
    ("head", "first", "later"),
    [
        (b"", b"", b""),
        (UNFINISHED_HEAD, b"", b"a"),
        (HEAD, b"", b""),
        (HEAD, HALF_EVENT_2, b""),
        (HEAD, HALF_EVENT_2, b"a"),
        (HEAD, b"data: {\n", b": alive\n"),
        (CHUNKED_HEAD + b"1;", b"", b"a"),
    ],
    ids=[
        "no head",
        "a head that trickles",
        "silent after the head",
        "half an event",
        "an event that trickles",
        "comments in an event without an end",
        "a chunk's extension that trickles",
    ],
)
def test_a_response_that_completes_no_element_is_requested_again_in_time(follow, head, first, later):
    """An event counts as delivered 4 s after it is sent, so a silent response must be replaced by then."""
    followed_log = follow(
        lambda last: first if len(followed_log.log.came) == 1 else sse(DRAIN_EVENT_2), last=1, head=head
    )
    followed_log.passes(100 * MILLI)
    followed_log.log.head = HEAD
    write_every_second(followed_log, later, 3)
    assert followed_log.received == [2]


def test_a_long_event_may_arrive_at_the_minimum_rate(follow):
    data = sse(event(2) | {"more": "x" * 4 * watcher_module.MIN_BYTES_PER_SECOND})
    followed_log = follow(lambda last: b"", last=1)
    followed_log.passes(100 * MILLI)
    for at in range(0, len(data), watcher_module.MIN_BYTES_PER_SECOND):
        followed_log.log.streams[0].write(data[at : at + watcher_module.MIN_BYTES_PER_SECOND])
        followed_log.passes(SECOND)
    assert followed_log.received == [2]
    assert followed_log.log.came == [1]


def test_comments_alone_keep_a_connection_open(follow):
    followed_log = follow(lambda last: b"", last=1)
    followed_log.passes(100 * MILLI)
    write_every_second(followed_log, b":\n\n", 8)
    assert followed_log.log.came == [1]


@pytest.mark.parametrize(
    ("head", "error"),
    [
        (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "status 503"),
        (b"HTTP/1.1 404 No\r\nContent-Length: 2\r\n\r\nno", "status 404"),
        (b"HTTP/1.1 307 There\r\nLocation: http://127.0.0.1:9/\r\nContent-Length: 0\r\n\r\n", "status 307"),
        (b"SSH-2.0-x\r\n", "HTTP"),
        (CHUNKED_HEAD + b"0\r\n\r\n", "the answer has ended"),
    ],
    ids=["503", "404", "redirect", "no HTTP", "an end at once"],
)
def test_responses_without_events_are_retried_with_backoff_and_without_limit(follow, head, error):
    followed_log = follow(lambda last: b"", last=1, head=head)
    followed_log.passes(4 * SECOND)
    assert 8 <= len(followed_log.log.came) <= 20
    assert error in followed_log.follower.last_error
    followed_log.log.head, followed_log.log.script = HEAD, lambda last: sse(DRAIN_EVENT_2)
    followed_log.passes(watcher_module.MAX_BACKOFF + 20 * MILLI)
    assert followed_log.received == [2]


def test_a_chunked_response_that_ends_is_requested_again_at_once(follow):
    part = sse(DRAIN_EVENT_2)
    followed_log = follow(
        lambda last: b"%x\r\n%b\r\n0\r\n\r\n" % (len(part), part) if last == 1 else b"",
        last=1,
        head=CHUNKED_HEAD,
    )
    followed_log.passes(100 * MILLI)
    assert followed_log.received == [2]
    assert followed_log.log.came[:2] == [1, 2]


@pytest.mark.parametrize("how", ["end", "reset"])
def test_a_connection_that_ends_within_an_event_is_reopened_at_once(follow, how):
    followed_log = follow(
        lambda last: HALF_EVENT_2 if len(followed_log.log.came) == 1 else sse(DRAIN_EVENT_2), last=1
    )
    followed_log.until(lambda: followed_log.log.came)
    followed_log.log.streams[0].close() if how == "end" else followed_log.log.streams[0].abort()
    followed_log.passes(100 * MILLI)
    assert followed_log.received == [2]


def test_each_gap_is_requested_once(follow):
    followed_log = follow(lambda last: {1: sse(GONE_EVENT_3), 3: sse(event(6)), 6: b""}[last], last=1)
    followed_log.passes(100 * MILLI)
    assert followed_log.received == [3]
    followed_log.log.streams[-1].write(sse(event(6)))
    followed_log.passes(100 * MILLI)
    assert followed_log.received == [3, 6]
    assert followed_log.log.came == [1, 1, 3]


def test_an_error_in_the_event_callback_loses_only_that_event(follow):
    followed_log = follow(lambda last: sse(DRAIN_EVENT_2) + sse(GONE_EVENT_3), last=1)
    followed_log.loop.on_error = lambda error: None
    pass_on = followed_log.follower.on_event

    def on_event(received_event):
        if received_event.seq == 2:
            raise KeyError(2)
        pass_on(received_event)

    followed_log.follower.on_event = on_event
    followed_log.passes(100 * MILLI)
    assert followed_log.received == [3]


def test_an_unreadable_event_is_requested_once_and_then_skipped(follow):
    followed_log = follow(
        lambda last: (b"data: {broken\n\n" + sse(GONE_EVENT_3)) if last == 1 else b"", last=1
    )
    followed_log.passes(SECOND)
    assert followed_log.received == [3]
    assert followed_log.log.came == [1, 1]


@pytest.mark.parametrize(
    ("head", "piece"),
    [
        (UNFINISHED_HEAD, b"a"),
        (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
        (HEAD, b"data:\n"),
        (HEAD, b"a"),
        (HEAD, b"data: a\n:\n"),
        (CHUNKED_HEAD + b"1;", b"a"),
    ],
    ids=["header", "headers", "lines", "line", "comments in an event", "chunk's extension"],
)
def test_an_element_without_an_end_raises_an_error_at_a_bounded_size(head, piece):
    reader = sse_module.EventReader()
    reader.feed(head)
    pieces = [piece * (60_000 // len(piece))] * (sse_module.MAX_EVENT_BYTES // 60_000 + 2)
    with pytest.raises(sse_module.ChangeLogError, match="too long"):
        list(map(reader.feed, pieces))


def test_a_list_of_1024_hosts_that_arrives_byte_by_byte_costs_little_time():
    data = HEAD + sse(event(1, *[(f"s-{place}", "127.0.0.1:5", "Ready") for place in range(1024)]))
    reader, started_at = sse_module.EventReader(), time.process_time()
    read_events = [read_event for at in range(len(data)) for read_event in reader.feed(data[at : at + 1])]
    assert len(read_events[0].fleet.members) == 1024
    # It takes 0.2 s, but 6 s if the line is searched again with each piece.
    assert time.process_time() - started_at < 2


OTHER_LIST_1 = event(1, ("s-9", "127.0.0.1:9", "Ready"), complete=True)


@pytest.mark.parametrize(
    ("first", "expected"),
    [
        (sse(OTHER_LIST_1) + sse(DRAIN_EVENT_2), [1, 2]),
        (sse(COMPLETE_LIST_1) + sse(OTHER_LIST_1) + sse(event(42)), [42]),
        (sse(DRAIN_EVENT_2) + sse(OTHER_LIST_1), []),
        (sse(event(1, ("s-1", "127.0.0.1:5", "Gone"))), []),
    ],
    ids=[
        "a different list",
        "a repeated list, then a different one",
        "a change, then a different list",
        "no complete list",
    ],
)
def test_a_restarted_log_is_distinguished_from_a_log_that_repeats_events(follow, first, expected):
    known = events.decode_initial_events({"results": [COMPLETE_LIST_1]})[1]
    followed_log = follow(lambda last: first if last == 41 else b"", last=41, known=known)
    followed_log.passes(SECOND)
    assert followed_log.received == expected
    assert followed_log.follower.restart_count == expected.count(1)
    followed_log.log.streams[-1].abort()
    followed_log.passes(SECOND)
    assert followed_log.log.came[-1] == (expected or [41])[-1]
    assert followed_log.received == expected


def test_a_repeated_list_is_recognized_however_it_is_formatted(follow):
    complete_list = event(1, ("s-2", "127.0.0.1:6", "Ready"), ("s-1", "127.0.0.1:5", "Ready"), complete=True)
    reformatted = json.loads(json.dumps(complete_list, sort_keys=True))
    reformatted["fleet"]["members"].reverse()
    followed_log = follow(
        lambda last: sse(reformatted) if followed_log.follower.last_seq else sse(complete_list)
    )
    followed_log.passes(SECOND)
    followed_log.log.streams[-1].abort()
    followed_log.passes(SECOND)
    assert followed_log.received == [1]
    assert followed_log.log.came == [0, 1]
    assert followed_log.follower.restart_count == 0


def test_a_gateway_is_up_while_its_log_is_silent_and_applies_the_list_of_a_restarted_log(gate):
    gateway = gate(clock=Handed(), hosts=2)
    gateway.log.head = b""
    client = gateway.client()
    client.message({"jsonrpc": "2.0", "id": 1, "method": "ping"})
    gateway.until(lambda: client.answers)
    assert client.answers[0]["result"] == {"up": True}
    assert gateway.process.host_list.watcher.last_seq == 1
    gateway.log.head = HEAD + sse(event(1, ("s-1", gateway.hosts[1].address, "Ready"), complete=True))
    gateway.passes(watcher_module.SILENCE_TIMEOUT)
    gateway.passes(watcher_module.FIRST_BACKOFF)
    assert [host.name for host in gateway.process.host_client.hosts.values() if host.listed] == ["s-1"]
    assert gateway.process.host_list.watcher.restart_count == 1
    gateway.process.status.write()
    assert gateway.lines[-1][1]["change_log_restarts"] == 1
    assert gateway.lines[-1][1]["change_log_error"] == "silent"
