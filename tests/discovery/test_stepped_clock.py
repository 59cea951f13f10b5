"""The wall clock steps ahead or back by an hour: how the starts in the change log are converted."""

import pytest
from scripted import MILLI, SECOND
from stepped_wall_clock import HOUR, WALL_CLOCK_START

from gaproute.decisions.chance import RandomGenerator
from gaproute.discovery.changelog import events, watcher
from gaproute.discovery.changelog.cell_watcher import CellWatcher
from gaproute.discovery.changelog.members import MemberConverter
from gaproute.standins.platform import ScriptedChangeLog, event, sse

ACTIVE = "Ready"


# Members of the change log


def member(name, started):
    """A member of an event. `started`: ns since 1970."""
    active_member = event(1, (name, "127.0.0.1:5", ACTIVE))["fleet"]["members"][0]
    return active_member | {"up_since_ms": started // MILLI}


def starts_by_host(converter, last_absent_at, *members):
    """{host: start by the loop's clock} after an event with these members."""
    _, (change,) = events.decode_initial_events(
        {"results": [{"seq": 1, "fleet": {"members": list(members)}}]}
    )
    return {
        endpoint.listed.host: endpoint.listed.started
        for endpoint in converter.endpoints(change.fleet, last_absent_at)
    }


@pytest.fixture
def converter(loop, wall_clock):
    return MemberConverter(loop, ["hall-a"], wall_clock)


def test_the_starts_in_the_first_list_are_accepted_so_that_a_warm_fleet_stays_warm(
    converter, wall_clock, clock
):
    starts = [wall_clock.true_time() - HOUR, wall_clock.true_time() - SECOND]
    assert list(starts_by_host(converter, None, *map(member, "ab", starts)).values()) == [
        clock.now - HOUR,
        clock.now - SECOND,
    ]


@pytest.mark.parametrize("clock_offset", [0, HOUR, 5 * SECOND, -5 * SECOND, -HOUR])
def test_a_new_host_started_no_earlier_than_the_list_was_last_known_without_it(
    converter, wall_clock, clock, clock_offset
):
    starts_by_host(converter, None, member("a", wall_clock.true_time() - HOUR))
    last_absent_at = clock.now
    clock.now += SECOND
    started = wall_clock.true_time() - SECOND // 5
    wall_clock.offset = clock_offset
    converted = starts_by_host(converter, last_absent_at, member("b", started))["b"]
    assert last_absent_at <= converted <= clock.now
    if clock_offset == 0:
        assert converted == clock.now - SECOND // 5


def test_a_wall_clock_an_hour_ahead_from_the_start_makes_no_new_host_old(loop, wall_clock, clock):
    wall_clock.offset = HOUR
    converter = MemberConverter(loop, ["hall-a"], wall_clock)
    starts_by_host(converter, None, member("a", wall_clock.true_time() - HOUR))
    last_absent_at = clock.now
    clock.now += SECOND
    assert (
        starts_by_host(converter, last_absent_at, member("b", wall_clock.true_time()))["b"] == last_absent_at
    )


@pytest.mark.parametrize("age", [49 * HOUR, 23 * HOUR])
def test_a_new_host_is_no_older_however_early_its_reported_start_is(converter, wall_clock, clock, age):
    starts_by_host(converter, None, member("a", wall_clock.true_time() - HOUR))
    last_absent_at = clock.now
    clock.now += SECOND
    assert (
        starts_by_host(converter, last_absent_at, member("b", wall_clock.true_time() - age))["b"]
        == last_absent_at
    )


def test_a_start_that_is_reported_late_for_a_known_host_is_accepted(converter, wall_clock, clock):
    assert starts_by_host(converter, None, member("a", 0))["a"] is None
    age = 23 * HOUR
    clock.now += SECOND
    assert (
        starts_by_host(converter, clock.now, member("a", wall_clock.true_time() - age))["a"]
        == clock.now - age
    )


def test_a_restarted_host_started_no_earlier_than_its_previous_start_was_last_listed(
    converter, wall_clock, clock
):
    starts_by_host(converter, None, member("a", wall_clock.true_time() - HOUR))
    last_absent_at = clock.now
    clock.now += SECOND
    wall_clock.offset = HOUR
    assert starts_by_host(converter, last_absent_at, member("a", wall_clock.true_time()))["a"] == clock.now
    # As if the clock were ahead from the beginning, so that only the list bounds the start.
    converter.start_times.clock_offset = WALL_CLOCK_START + HOUR
    clock.now += SECOND
    assert (
        starts_by_host(converter, clock.now - SECOND, member("a", wall_clock.true_time()))["a"]
        == clock.now - SECOND
    )


@pytest.mark.parametrize("clock_offset", [HOUR, -HOUR])
def test_a_known_start_is_not_converted_again_after_a_step(converter, wall_clock, clock, clock_offset):
    started = wall_clock.true_time() - SECOND
    first = starts_by_host(converter, None, member("a", started))
    clock.now += SECOND
    wall_clock.offset = clock_offset
    assert starts_by_host(converter, clock.now, member("a", started) | {"phase": "Terminating"}) == first
    assert starts_by_host(converter, clock.now, member("a", started)) == first


def test_a_step_ahead_during_a_long_time_without_a_list_does_not_make_a_host_old(
    converter, wall_clock, clock
):
    """The bound by the last list is then an hour old, but the clock offset before the step still holds."""
    last_absent_at = clock.now
    clock.now += HOUR
    wall_clock.offset = HOUR
    started = wall_clock.true_time() - SECOND
    assert starts_by_host(converter, last_absent_at, member("b", started))["b"] == clock.now - SECOND


# When the log was last known to be current


def complete_list(seq=1):
    return event(seq, ("s-1", "127.0.0.1:5", ACTIVE), complete=True)


def test_a_log_is_not_current_before_its_first_complete_list(follow):
    followed_log = follow(lambda last: b":\n\n")
    followed_log.passes(100 * MILLI)
    assert followed_log.log.came
    assert followed_log.follower.current_at is None
    followed_log.log.streams[0].write(sse(complete_list()))
    followed_log.until(lambda: followed_log.received)
    assert followed_log.follower.current_at is not None


def test_comments_and_events_show_that_the_list_is_current_and_a_head_alone_does_not(follow):
    known = events.decode_initial_events({"results": [complete_list()]})[1]
    followed_log = follow(lambda last: b"", last=1, known=known)
    initially_current_at = followed_log.follower.current_at
    current_at_events = []
    followed_log.follower.on_event = lambda event: current_at_events.append(followed_log.follower.current_at)
    followed_log.passes(SECOND)
    assert followed_log.log.came
    assert followed_log.follower.current_at == initially_current_at
    followed_log.log.streams[0].write(b":\n\n")
    followed_log.passes(100 * MILLI)
    by_comment = followed_log.follower.current_at
    assert by_comment > initially_current_at + SECOND // 2
    followed_log.passes(SECOND)
    followed_log.log.streams[0].write(sse(event(2, ("s-2", "127.0.0.1:6", ACTIVE))))
    followed_log.passes(100 * MILLI)
    assert current_at_events == [by_comment]
    assert followed_log.follower.current_at > by_comment + SECOND // 2


def test_while_a_log_is_silent_the_list_is_current_only_as_of_its_last_message(follow):
    known = events.decode_initial_events({"results": [complete_list()]})[1]
    followed_log = follow(
        lambda last: b":\n\n" if len(followed_log.log.came) == 1 else b"", last=1, known=known
    )
    followed_log.passes(100 * MILLI)
    last = followed_log.follower.current_at
    followed_log.passes(3 * watcher.SILENCE_TIMEOUT)
    assert len(followed_log.log.came) > 1
    assert followed_log.follower.current_at == last


def test_another_source_does_not_show_that_the_list_is_current_before_it_sends_its_own(loop, clock):
    first = ScriptedChangeLog(loop, lambda last: sse(complete_list()))
    silent = ScriptedChangeLog(loop, lambda last: b":\n\n")
    received_events, failures = [], []
    sources = (first.address, silent.address)
    cell_watcher = CellWatcher(
        loop, sources, b"/changes/f/c", received_events.append, failures.append, list, RandomGenerator(1)
    )

    def advance(duration):
        end = clock.now + duration
        while clock.now < end:
            clock.now += 10 * MILLI
            for _ in range(6):
                loop.call_soon(lambda: None)
                loop.turn()

    while not received_events:
        advance(10 * MILLI)
    advance(10 * MILLI)
    last, connections_before = cell_watcher.current_at, len(silent.came)
    first.streams[-1].abort()
    advance(2 * SECOND)
    assert len(silent.came) > connections_before
    assert cell_watcher.current_at == last
    cell_watcher.close()
    first.close()
    silent.close()
