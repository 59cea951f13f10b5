"""The list's way in falls silent, breaks and jumps: forced by the order of bytes, on a handed clock."""

import json
import resource
import time

import pytest
from helpers import makers
from hypothesis import given
from hypothesis import strategies as st
from scripted import MILLI, SECOND, Followed, Handed, HeldDials

from gaproute.config import read_hosts
from gaproute.decisions.chance import Chance
from gaproute.discovery.changelog import events
from gaproute.discovery.changelog import sse as sse_reader
from gaproute.discovery.changelog import watcher as watching
from gaproute.discovery.changelog.members import MemberConverter
from gaproute.discovery.changelog.watcher import ChangeLogWatcher
from gaproute.discovery.host_lines import HostLineConverter
from gaproute.loop import Loop, connect
from gaproute.standins.event_stream import RESPONSE_HEAD
from gaproute.standins.platform import ScriptedChangeLog, event, sse

ONE = event(1, ("s-1", "127.0.0.1:5", "Ready"), complete=True)
TWO = event(2, ("s-1", "127.0.0.1:5", "Terminating"))
THREE = event(3, ("s-1", "127.0.0.1:5", "Gone"))
HEAD = RESPONSE_HEAD
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = b"HTTP/1.1 200 OK\r\nA: "
HALF = sse(TWO)[:40]


@pytest.fixture
def follow():
    yield from makers(lambda *args, **options: Followed(*args, clock=Handed(), **options))


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


def test_one_wrong_member_spoils_neither_the_others_nor_the_number(follow):
    watch_event = event(2, *[(f"s-{place}", f"127.0.0.1:{place}", "Ready") for place in (1, 2, 3)])
    watch_event["fleet"]["members"][0]["host_port"] = 5
    watch_event["fleet"]["members"][1]["size"] = "4"
    seen = []
    made = follow(lambda last: sse(watch_event) if last == 1 else b"", last=1)
    made.follower.on_event = seen.append
    made.passes(SECOND)
    assert made.log.came == [1]
    assert made.follower.last_seq == 2
    rows = MemberConverter(made.loop, []).endpoints(seen[0].fleet)
    assert [row.listed.host for row in rows] == ["s-2", "s-3"]


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


@pytest.fixture
def other(follow):
    """(a follower that has heard 1, an address that refuses, another log that goes on)."""
    made = follow(lambda last: sse(ONE) if last == 0 else b"")
    made.until(lambda: made.received)
    away, log = ScriptedChangeLog(made.loop), ScriptedChangeLog(made.loop, lambda last: sse(TWO))
    away.close()
    yield made, away.address, log
    log.close()


def test_an_address_that_moves_in_mid_dial_and_while_a_pause_runs_and_back_is_followed(other, monkeypatch):
    made, refuses, log = other
    dials = HeldDials()
    monkeypatch.setattr(watching, "connect", dials)
    made.follower.set_address(log.address)
    made.follower.set_address(refuses)
    made.follower.set_address(made.log.address)
    made.follower.set_address(log.address)
    assert dials.waiting == 1
    dials.passing = True
    made.follower.set_address(refuses)
    made.passes(watching.SILENCE_TIMEOUT)
    assert made.follower.stream is None
    assert made.follower.timer.call is not None
    made.follower.set_address(log.address)
    dials.let()
    made.passes(100 * MILLI)
    assert made.received == [1, 2]
    assert log.came == [1]
    made.follower.set_address(made.log.address)
    made.passes(100 * MILLI)
    assert made.log.came == [0, 2]
    assert not any(stream.open for stream in log.streams)


def test_no_descriptor_for_a_dial_that_is_given_up_leaves_one_connection(other):
    made, refuses, log = other
    _, most = limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (3, most))
    try:
        made.follower.set_address(refuses)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
    made.follower.set_address(log.address)
    made.passes(200 * MILLI)
    assert made.received == [1, 2]
    assert log.came == [1]


def test_no_descriptor_is_asked_again(other):
    made, _, log = other
    _, most = limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (3, most))
    try:
        made.follower.set_address(log.address)
        made.passes(SECOND)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
    made.passes(watching.MAX_BACKOFF)
    assert made.received == [1, 2]


def test_an_error_when_a_connection_comes_up_is_asked_again(other, monkeypatch):
    made, _, log = other
    made.loop.on_error = lambda error: None
    with monkeypatch.context() as patch:
        patch.setattr(watching, "Stream", None)
        made.follower.set_address(log.address)
        made.passes(100 * MILLI)
    made.passes(watching.SILENCE_TIMEOUT)
    assert made.received == [1, 2]


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
    known = events.decode_initial({"results": [ONE]})[1]
    made = follow(lambda last: first if last == 41 else b"", last=41, known=known)
    made.passes(SECOND)
    assert made.received == expected
    assert made.follower.restarts == expected.count(1)
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
    assert made.follower.restarts == 0


def test_three_dials_into_nothing_after_a_silence_leave_the_news_within_four_seconds(follow, monkeypatch):
    made = follow(lambda last: b":\n\n" if len(made.log.came) == 1 else sse(TWO), last=1)
    made.passes(SECOND)
    made.log.streams[0].write(b":\n\n")
    made.passes(10 * MILLI)
    dials = []

    def dial(loop, where, within, done):
        dials.append(where)
        if len(dials) > 3:
            return connect(loop, where, within, done)
        return loop.after(within, done, None, TimeoutError()).cancel

    monkeypatch.setattr(watching, "connect", dial)
    made.passes(4 * SECOND - 20 * MILLI)
    assert made.received == [2]
    assert len(dials) == 4


def listed(converter, *members, complete=False, **fields):
    """What the converter makes of members, by id; `fields` is in each of them."""
    change = event(1, *members, complete=complete)
    for member in change["fleet"]["members"]:
        member.update(fields)
    return {
        row.listed.host: row
        for row in converter.endpoints(events.decode_initial({"results": [change]})[1][0].fleet)
    }


@pytest.fixture
def converter():
    loop = Loop(lambda: 50 * SECOND)
    yield MemberConverter(loop, ["hall-a"], lambda: 1_000_000 * SECOND)
    loop.close()


@pytest.mark.parametrize(
    ("since", "started"),
    [
        (0, None),
        (-5, None),
        (None, None),
        ("nan", None),
        ("999999000", 49 * SECOND),
        (999_999_000.0, 49 * SECOND),
        (10**15, 50 * SECOND),
        (10**300, 50 * SECOND),
        (1_000_000, (50 + 1000 - 1_000_000) * SECOND),
    ],
    ids=str,
)
def test_a_start_that_makes_no_sense_does_no_harm(converter, since, started):
    row = listed(converter, ("s-1", "127.0.0.1:5", "Ready"), up_since_ms=since)["s-1"]
    assert row.listed.started == started


def test_what_is_kept_of_a_host_goes_with_it(converter):
    hosts = [(f"s-{place}", f"127.0.0.1:{place}", "Ready") for place in range(1, 4)]
    first = listed(converter, *hosts, up_since_ms=999_999_000)
    converter.start_times.wall = lambda: 2_000_000 * SECOND  # a step: no time has passed
    assert listed(converter, *hosts, up_since_ms=999_999_000) == first
    assert listed(converter, hosts[0], up_since_ms=1_999_999_000)["s-1"].listed.started == 50 * SECOND
    listed(converter, ("s-1", "127.0.0.1:1", "Gone"))
    listed(converter, hosts[1], complete=True)
    assert list(converter.hosts) == ["s-2"]


def test_a_member_that_cannot_be_read_leaves_its_host_as_it_was(converter):
    first = listed(converter, ("s-1", "127.0.0.1:1", "Ready"), complete=True)
    for wrong in (("s-1", 5, "Ready"), ("s-1", "nowhere", "Ready"), ("s-1", "127.0.0.1:1", "Odd")):
        assert listed(converter, wrong, ("s-7", "127.0.0.1:7", None), complete=True) == {"s-1": first["s-1"]}
    assert converter.rejected == 6


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
    assert [host.name for host in made.process.hosts.hosts.values() if host.listed] == ["s-1"]
    assert made.process.host_list.watcher.restarts == 1
    made.process.status.write()
    assert made.lines[-1][1]["change_log_restarts"] == 1
    assert made.lines[-1][1]["change_log_error"] == "silent"


def test_a_start_of_the_file_goes_with_its_line():
    loop = Loop(lambda: 50 * SECOND)
    made = HostLineConverter(loop, lambda: 100 * SECOND)
    lines = read_hosts("l", "".join(f"host {name} 127.0.0.1:1 zone z rack r started 90\n" for name in "ab"))
    assert [row.listed.started for row in made.endpoints(lines)] == [40 * SECOND] * 2
    made.endpoints(lines[1:])
    assert list(made.start_times.by_host) == ["b"]
    loop.close()


class Fakes:
    """Stands for the follower's `connect` and `Stream`: its steps without sockets."""

    def __init__(self):
        self.done = self.on_bytes = self.on_end = None

    def connect(self, loop, where, within, done):
        self.done, self.on_bytes = done, None
        return lambda: setattr(self, "done", None)

    def stream(self, loop, sock, on_bytes, on_end):
        self.on_bytes, self.on_end = on_bytes, on_end
        return self

    def write(self, data):
        pass

    def abort(self):
        self.on_bytes = None

    def step(self, follower, step):
        match step:
            case bytes() if self.on_bytes:
                self.on_bytes(step)
            case "end" if self.on_bytes:
                self.on_end(None)
            case "up" | "down" if self.done:
                done, self.done = self.done, None
                done(None, OSError() if step == "down" else None)
            case int():
                follower.loop.clock.now += step
                follower.loop.turn()
            case tuple():
                follower.set_address(step[0])


STEPS = st.sampled_from(
    [
        "up",
        "up",
        "down",
        "end",
        HEAD,
        HEAD,
        b":\n\n",
        HALF,
        sse(ONE),
        sse(TWO),
        sse(event(9)),
        b"data: {\n\n",
        b"HTTP/1.1 500 No\r\n\r\n",
        b"0\r\n\r\n",
        CHUNKED,
        0,
        30 * MILLI,
        watching.CONNECT_TIMEOUT,
        watching.SILENCE_TIMEOUT,
        ("127.0.0.1:1",),
        ("127.0.0.1:2",),
    ]
)


@given(st.lists(STEPS, max_size=30))
def test_whatever_comes_a_timer_stands_that_asks_again(steps):
    fakes, clock = Fakes(), Handed()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(watching, "connect", fakes.connect)
        patch.setattr(watching, "Stream", fakes.stream)
        loop = Loop(clock)
        made = ChangeLogWatcher(loop, "127.0.0.1:1", 0, lambda each: None, Chance(1))
        for step in steps:
            fakes.step(made, step)
            assert made.timer.call is not None
            assert made.timer.when <= clock.now + watching.SILENCE_TIMEOUT + SECOND
            assert fakes.on_bytes is None or fakes.done is None
        loop.close()
