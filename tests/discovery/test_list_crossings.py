"""The change log falls silent, ends, breaks off or begins anew: what its follower takes from each answer."""

import json
import time

import pytest
from change_log_answers import CHUNKED, ENDLESS, HALF, HEAD, ONE, THREE, TWO
from scripted import MILLI, SECOND, Handed

from gaproute.discovery.changelog import events
from gaproute.discovery.changelog import sse as sse_reader
from gaproute.discovery.changelog import watcher as watching
from gaproute.standins.platform import event, sse


def trickle(made, data, times):
    for _ in range(times):
        for stream in made.log.streams:
            if stream.open:
                stream.write(data)
        made.passes(SECOND)


@pytest.mark.parametrize(
    ("head", "first", "later"),
    [
        (b"", b"", b""),
        (ENDLESS, b"", b"a"),
        (HEAD, b"", b""),
        (HEAD, HALF, b""),
        (HEAD, HALF, b"a"),
        (HEAD, b"data: {\n", b": alive\n"),
        (CHUNKED + b"1;", b"", b"a"),
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
def test_what_becomes_nothing_whole_is_asked_again_in_time(follow, head, first, later):
    """4 s after a log fell silent its last answer counts as all it has: another must be here by then."""
    made = follow(lambda last: first if len(made.log.came) == 1 else sse(TWO), last=1, head=head)
    made.passes(100 * MILLI)
    made.log.head = HEAD
    trickle(made, later, 3)
    assert made.received == [2]


def test_a_long_event_may_take_its_time(follow):
    whole = sse(event(2) | {"more": "x" * 4 * watching.MIN_BYTES_PER_SECOND})
    made = follow(lambda last: b"", last=1)
    made.passes(100 * MILLI)
    for at in range(0, len(whole), watching.MIN_BYTES_PER_SECOND):
        made.log.streams[0].write(whole[at : at + watching.MIN_BYTES_PER_SECOND])
        made.passes(SECOND)
    assert made.received == [2]
    assert made.log.came == [1]


def test_comments_alone_keep_a_connection(follow):
    made = follow(lambda last: b"", last=1)
    made.passes(100 * MILLI)
    trickle(made, b":\n\n", 8)
    assert made.log.came == [1]


@pytest.mark.parametrize(
    ("head", "why"),
    [
        (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "status 503"),
        (b"HTTP/1.1 404 No\r\nContent-Length: 2\r\n\r\nno", "status 404"),
        (b"HTTP/1.1 307 There\r\nLocation: http://127.0.0.1:9/\r\nContent-Length: 0\r\n\r\n", "status 307"),
        (b"SSH-2.0-x\r\n", "HTTP"),
        (CHUNKED + b"0\r\n\r\n", "the answer has ended"),
    ],
    ids=["503", "404", "redirect", "no HTTP", "an end at once"],
)
def test_answers_that_tell_nothing_are_asked_less_and_less_often_and_never_given_up(follow, head, why):
    made = follow(lambda last: b"", last=1, head=head)
    made.passes(4 * SECOND)
    assert 8 <= len(made.log.came) <= 20
    assert why in made.follower.last_error
    made.log.head, made.log.script = HEAD, lambda last: sse(TWO)
    made.passes(watching.MAX_BACKOFF + 20 * MILLI)
    assert made.received == [2]


def test_a_chunked_answer_that_ends_is_asked_again_at_once(follow):
    part = sse(TWO)
    made = follow(
        lambda last: b"%x\r\n%b\r\n0\r\n\r\n" % (len(part), part) if last == 1 else b"", last=1, head=CHUNKED
    )
    made.passes(100 * MILLI)
    assert made.received == [2]
    assert made.log.came[:2] == [1, 2]


@pytest.mark.parametrize("how", ["end", "reset"])
def test_half_an_event_and_the_end_is_asked_again_at_once(follow, how):
    made = follow(lambda last: HALF if len(made.log.came) == 1 else sse(TWO), last=1)
    made.until(lambda: made.log.came)
    made.log.streams[0].close() if how == "end" else made.log.streams[0].abort()
    made.passes(100 * MILLI)
    assert made.received == [2]


def test_each_gap_is_asked_for_once(follow):
    made = follow(lambda last: {1: sse(THREE), 3: sse(event(6)), 6: b""}[last], last=1)
    made.passes(100 * MILLI)
    assert made.received == [3]
    made.log.streams[-1].write(sse(event(6)))
    made.passes(100 * MILLI)
    assert made.received == [3, 6]
    assert made.log.came == [1, 1, 3]


def test_an_error_in_what_is_told_costs_that_event_alone(follow):
    made = follow(lambda last: sse(TWO) + sse(THREE), last=1)
    made.loop.on_error = lambda error: None
    tell = made.follower.on_event

    def on_event(each):
        if each.seq == 2:
            raise KeyError(2)
        tell(each)

    made.follower.on_event = on_event
    made.passes(100 * MILLI)
    assert made.received == [3]


def test_an_event_that_nobody_can_read_is_asked_for_once_and_passed_over(follow):
    made = follow(lambda last: (b"data: {broken\n\n" + sse(THREE)) if last == 1 else b"", last=1)
    made.passes(SECOND)
    assert made.received == [3]
    assert made.log.came == [1, 1]


@pytest.mark.parametrize(
    ("head", "piece"),
    [
        (ENDLESS, b"a"),
        (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
        (HEAD, b"data:\n"),
        (HEAD, b"a"),
        (HEAD, b"data: a\n:\n"),
        (CHUNKED + b"1;", b"a"),
    ],
    ids=["header", "headers", "lines", "line", "comments in an event", "chunk's extension"],
)
def test_an_answer_without_an_end_is_given_up_at_a_bounded_size(head, piece):
    reader = sse_reader.EventReader()
    reader.feed(head)
    pieces = [piece * (60_000 // len(piece))] * (sse_reader.MAX_EVENT_BYTES // 60_000 + 2)
    with pytest.raises(sse_reader.ChangeLogError, match="too long"):
        list(map(reader.feed, pieces))


def test_a_list_of_a_thousand_hosts_costs_little_in_the_smallest_pieces():
    data = HEAD + sse(event(1, *[(f"s-{place}", "127.0.0.1:5", "Ready") for place in range(1024)]))
    reader, began = sse_reader.EventReader(), time.process_time()
    got = [each for at in range(len(data)) for each in reader.feed(data[at : at + 1])]
    assert len(got[0].fleet.members) == 1024
    assert time.process_time() - began < 2  # 0.2 s; looked through anew with each piece it took 6 s


AGAIN = event(1, ("s-9", "127.0.0.1:9", "Ready"), complete=True)


@pytest.mark.parametrize(
    ("first", "expected"),
    [
        (sse(AGAIN) + sse(TWO), [1, 2]),
        (sse(ONE) + sse(AGAIN) + sse(event(42)), [42]),
        (sse(TWO) + sse(AGAIN), []),
        (sse(event(1, ("s-1", "127.0.0.1:5", "Gone"))), []),
    ],
    ids=["a list that differs", "one had and then one", "a change and then one", "no whole list"],
)
def test_a_log_that_begins_anew_is_distinguished_from_one_that_writes_twice(follow, first, expected):
    known = events.decode_initial_events({"results": [ONE]})[1]
    made = follow(lambda last: first if last == 41 else b"", last=41, known=known)
    made.passes(SECOND)
    assert made.received == expected
    assert made.follower.restart_count == expected.count(1)
    made.log.streams[-1].abort()
    made.passes(SECOND)
    assert made.log.came[-1] == (expected or [41])[-1]
    assert made.received == expected


def test_a_list_had_before_is_known_again_however_it_is_written(follow):
    twice = event(1, ("s-2", "127.0.0.1:6", "Ready"), ("s-1", "127.0.0.1:5", "Ready"), complete=True)
    other = json.loads(json.dumps(twice, sort_keys=True))
    other["fleet"]["members"].reverse()
    made = follow(lambda last: sse(other) if made.follower.last_seq else sse(twice))
    made.passes(SECOND)
    made.log.streams[-1].abort()
    made.passes(SECOND)
    assert made.received == [1]
    assert made.log.came == [0, 1]
    assert made.follower.restart_count == 0


def test_a_gateway_is_up_while_its_log_says_nothing_and_takes_one_that_begins_anew(gate):
    made = gate(clock=Handed(), hosts=2)
    made.log.head = b""
    client = made.client()
    client.message({"jsonrpc": "2.0", "id": 1, "method": "ping"})
    made.until(lambda: client.answers)
    assert client.answers[0]["result"] == {"up": True}
    assert made.process.host_list.watcher.last_seq == 1
    made.log.head = HEAD + sse(event(1, ("s-1", made.hosts[1].address, "Ready"), complete=True))
    made.passes(watching.SILENCE_TIMEOUT)
    made.passes(watching.FIRST_BACKOFF)
    assert [host.name for host in made.process.host_client.hosts.values() if host.listed] == ["s-1"]
    assert made.process.host_list.watcher.restart_count == 1
    made.process.status.write()
    assert made.lines[-1][1]["change_log_restarts"] == 1
    assert made.lines[-1][1]["change_log_error"] == "silent"
