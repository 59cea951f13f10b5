"""The wall clock steps by an hour, either way, at any time: what becomes of the starts in the change log."""

import pytest
from scripted import MILLI, SECOND
from stepped_walls import BEGUN, HOUR

from gaproute.decisions.chance import Chance
from gaproute.discovery.changelog import events, watcher
from gaproute.discovery.changelog.cell_watcher import CellWatcher
from gaproute.discovery.changelog.members import MemberConverter
from gaproute.standins.platform import ScriptedChangeLog, event, sse

ACTIVE = "Ready"


# Members of the change log


def member(name, started):
    """A member of an event. `started`: ns since 1970."""
    made = event(1, (name, "127.0.0.1:5", ACTIVE))["fleet"]["members"][0]
    return made | {"up_since_ms": started // MILLI}


def starts_by_host(converter, absent_at, *members):
    """{host: start by the loop's clock} of an event that tells of these members."""
    _, (change,) = events.decode_initial({"results": [{"seq": 1, "fleet": {"members": list(members)}}]})
    return {row.listed.host: row.listed.started for row in converter.endpoints(change.fleet, absent_at)}


@pytest.fixture
def converter(loop, wall):
    return MemberConverter(loop, ["hall-a"], wall)


def test_a_first_list_is_believed_so_that_a_warm_fleet_stays_warm(converter, wall, clock):
    starts = [wall.true() - HOUR, wall.true() - SECOND]
    assert list(starts_by_host(converter, None, *map(member, "ab", starts)).values()) == [
        clock.now - HOUR,
        clock.now - SECOND,
    ]


@pytest.mark.parametrize("ahead", [0, HOUR, 5 * SECOND, -5 * SECOND, -HOUR])
def test_a_host_that_appears_is_no_older_than_since_the_list_was_known_without_it(
    converter, wall, clock, ahead
):
    starts_by_host(converter, None, member("a", wall.true() - HOUR))
    absent_at = clock.now
    clock.now += SECOND
    started = wall.true() - SECOND // 5
    wall.ahead = ahead
    made = starts_by_host(converter, absent_at, member("b", started))["b"]
    assert absent_at <= made <= clock.now
    if ahead == 0:
        assert made == clock.now - SECOND // 5


def test_a_clock_that_was_an_hour_ahead_from_the_start_makes_no_host_old_that_appears(loop, wall, clock):
    wall.ahead = HOUR
    converter = MemberConverter(loop, ["hall-a"], wall)
    starts_by_host(converter, None, member("a", wall.true() - HOUR))
    absent_at = clock.now
    clock.now += SECOND
    assert starts_by_host(converter, absent_at, member("b", wall.true()))["b"] == absent_at


@pytest.mark.parametrize("age", [49 * HOUR, 23 * HOUR])
def test_a_host_that_appears_is_no_older_however_far_back_its_start_is_told(converter, wall, clock, age):
    starts_by_host(converter, None, member("a", wall.true() - HOUR))
    absent_at = clock.now
    clock.now += SECOND
    assert starts_by_host(converter, absent_at, member("b", wall.true() - age))["b"] == absent_at


def test_a_host_whose_start_is_told_only_later_is_as_old_as_told(converter, wall, clock):
    assert starts_by_host(converter, None, member("a", 0))["a"] is None
    age = 23 * HOUR
    clock.now += SECOND
    assert starts_by_host(converter, clock.now, member("a", wall.true() - age))["a"] == clock.now - age


def test_a_known_host_that_started_anew_is_no_older_than_since_its_earlier_start_was_in_the_list(
    converter, wall, clock
):
    starts_by_host(converter, None, member("a", wall.true() - HOUR))
    absent_at = clock.now
    clock.now += SECOND
    wall.ahead = HOUR
    assert starts_by_host(converter, absent_at, member("a", wall.true()))["a"] == clock.now
    converter.start_times.offset = BEGUN + HOUR  # ahead from the start: only the list bounds it
    clock.now += SECOND
    assert starts_by_host(converter, clock.now - SECOND, member("a", wall.true()))["a"] == clock.now - SECOND


@pytest.mark.parametrize("ahead", [HOUR, -HOUR])
def test_an_event_on_a_known_host_does_not_convert_its_start_anew_after_a_step(converter, wall, clock, ahead):
    started = wall.true() - SECOND
    first = starts_by_host(converter, None, member("a", started))
    clock.now += SECOND
    wall.ahead = ahead
    assert starts_by_host(converter, clock.now, member("a", started) | {"phase": "Terminating"}) == first
    assert starts_by_host(converter, clock.now, member("a", started)) == first


def test_a_step_ahead_while_no_list_was_had_for_long_is_not_believed(converter, wall, clock):
    """The bound by the last list is an hour old then; the offset seen before the step still holds."""
    absent_at = clock.now
    clock.now += HOUR
    wall.ahead = HOUR
    started = wall.true() - SECOND
    assert starts_by_host(converter, absent_at, member("b", started))["b"] == clock.now - SECOND


# When the log was last known to be current


def whole(seq=1):
    return event(seq, ("s-1", "127.0.0.1:5", ACTIVE), complete=True)


def test_a_log_that_has_told_no_list_yet_is_never_known_whatever_it_says(follow):
    made = follow(lambda last: b":\n\n")
    made.passes(100 * MILLI)
    assert made.log.came
    assert made.follower.current_at is None
    made.log.streams[0].write(sse(whole()))
    made.until(lambda: made.received)
    assert made.follower.current_at is not None


def test_comments_and_events_tell_that_the_list_is_as_told_and_a_head_alone_does_not(follow):
    known = events.decode_initial({"results": [whole()]})[1]
    made = follow(lambda last: b"", last=1, known=known)
    begun = made.follower.current_at
    seen = []
    made.follower.on_event = lambda each: seen.append(made.follower.current_at)
    made.passes(SECOND)
    assert made.log.came
    assert made.follower.current_at == begun
    made.log.streams[0].write(b":\n\n")
    made.passes(100 * MILLI)
    by_comment = made.follower.current_at
    assert by_comment > begun + SECOND // 2
    made.passes(SECOND)
    made.log.streams[0].write(sse(event(2, ("s-2", "127.0.0.1:6", ACTIVE))))
    made.passes(100 * MILLI)
    assert seen == [by_comment]
    assert made.follower.current_at > by_comment + SECOND // 2


def test_while_a_log_is_away_the_list_is_as_old_as_its_last_sign_of_life(follow):
    known = events.decode_initial({"results": [whole()]})[1]
    made = follow(lambda last: b":\n\n" if len(made.log.came) == 1 else b"", last=1, known=known)
    made.passes(100 * MILLI)
    last = made.follower.current_at
    made.passes(3 * watcher.SILENCE_TIMEOUT)
    assert len(made.log.came) > 1
    assert made.follower.current_at == last


def test_another_source_says_nothing_of_the_list_before_it_has_told_its_own(loop, clock):
    first = ScriptedChangeLog(loop, lambda last: sse(whole()))
    silent = ScriptedChangeLog(loop, lambda last: b":\n\n")
    seen, troubles = [], []
    sources = (first.address, silent.address)
    made = CellWatcher(loop, sources, b"/changes/f/c", seen.append, troubles.append, list, Chance(1))

    def passes(span):
        end = clock.now + span
        while clock.now < end:
            clock.now += 10 * MILLI
            for _ in range(6):
                loop.call_soon(lambda: None)
                loop.turn()

    while not seen:
        passes(10 * MILLI)
    passes(10 * MILLI)
    last, asked = made.current_at, len(silent.came)
    first.streams[-1].abort()
    passes(2 * SECOND)
    assert len(silent.came) > asked
    assert made.current_at == last
    made.close()
    first.close()
    silent.close()
