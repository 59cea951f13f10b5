"""The wall clock steps by an hour, either way, at any time: what the gateway takes from it, and what not."""

import os
import re
from pathlib import Path
from types import SimpleNamespace

import pytest
from followed_cells import hosts
from helpers import makers
from scripted import MILLI, SECOND, Followed, Handed

import gaproute
from gaproute.appliance.cell_endpoints import CellEndpoints
from gaproute.appliance.cell_lists import CellLists
from gaproute.appliance.cells import CellServices
from gaproute.config import read_hosts
from gaproute.config.directives.fleet import CellHostsLine, HostLine
from gaproute.decisions.chance import Chance
from gaproute.discovery.changelog import events, watcher
from gaproute.discovery.changelog.cell_watcher import CellWatcher
from gaproute.discovery.changelog.members import MemberConverter
from gaproute.discovery.file_watch import FileWatch
from gaproute.discovery.host_lines import HostLineConverter
from gaproute.loop import Loop
from gaproute.standins.platform import ScriptedChangeLog, event, sse

HOUR = 3600 * SECOND
BEGUN = 1_800_000_000 * SECOND  # ns since 1970 when the tests' monotonic clock reads nought
ACTIVE = "Ready"


class Wall:
    """A wall clock that runs with a handed one, `ahead` of the true time."""

    def __init__(self, clock, ahead=0):
        self.clock, self.ahead = clock, ahead

    def true(self):
        return BEGUN + self.clock.now

    def __call__(self):
        return self.true() + self.ahead


class Swinging(Wall):
    """An hour ahead and back each two seconds."""

    def __call__(self):
        return self.true() + (HOUR if self.clock.now // (2 * SECOND) % 2 else 0)


@pytest.fixture
def clock():
    return Handed()


@pytest.fixture
def wall(clock):
    return Wall(clock)


@pytest.fixture
def loop(clock):
    made = Loop(clock)
    yield made
    made.close()


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


@pytest.fixture
def followed():
    yield from makers(lambda *args, **options: Followed(*args, clock=Handed(), **options))


def whole(seq=1):
    return event(seq, ("s-1", "127.0.0.1:5", ACTIVE), complete=True)


def test_a_log_that_has_told_no_list_yet_is_never_known_whatever_it_says(followed):
    made = followed(lambda last: b":\n\n")
    made.passes(100 * MILLI)
    assert made.log.came
    assert made.follower.current_at is None
    made.log.streams[0].write(sse(whole()))
    made.until(lambda: made.received)
    assert made.follower.current_at is not None


def test_comments_and_events_tell_that_the_list_is_as_told_and_a_head_alone_does_not(followed):
    known = events.decode_initial({"results": [whole()]})[1]
    made = followed(lambda last: b"", last=1, known=known)
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


def test_while_a_log_is_away_the_list_is_as_old_as_its_last_sign_of_life(followed):
    known = events.decode_initial({"results": [whole()]})[1]
    made = followed(lambda last: b":\n\n" if len(made.log.came) == 1 else b"", last=1, known=known)
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
                loop.soon(lambda: None)
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


# The host list as a file


def lines(**starts):
    """Host lines of a file. `starts`: ns since 1970, by name."""
    text = "".join(
        f"host {name} 127.0.0.1:1 zone z rack r started {start / SECOND:.3f}\n"
        for name, start in starts.items()
    )
    return read_hosts("l", text)


@pytest.mark.parametrize("ahead", [0, HOUR, -HOUR])
def test_a_line_that_appears_is_no_older_than_since_the_file_was_seen_without_it(loop, wall, clock, ahead):
    converter = HostLineConverter(loop, wall)
    old = wall.true() - HOUR
    (first,) = converter.endpoints(lines(a=old))
    assert first.listed.started == clock.now - HOUR
    absent_at = clock.now
    clock.now += SECOND
    wall.ahead = ahead
    known, fresh = converter.endpoints(lines(a=old, b=wall.true() - SECOND // 5), absent_at)
    assert known.listed.started == first.listed.started
    assert absent_at <= fresh.listed.started <= clock.now
    anew, _ = converter.endpoints(lines(a=wall.true(), b=wall.true() - SECOND // 5), clock.now)
    assert anew.listed.started == clock.now


def test_a_line_whose_start_is_told_only_later_is_as_old_as_told(loop, wall, clock):
    converter = HostLineConverter(loop, wall)
    (untold,) = converter.endpoints(read_hosts("l", "host a 127.0.0.1:1\n"))
    clock.now += SECOND
    (known,) = converter.endpoints(lines(a=wall.true() - HOUR), clock.now)
    assert untold.listed.started is None
    assert known.listed.started == clock.now - HOUR


def test_a_file_is_known_by_each_look_that_finds_it_unchanged_and_by_no_other(loop, clock, tmp_path):
    path, seen, look = tmp_path / "hosts", [], SECOND
    path.write_text("host a 127.0.0.1:1\n")
    watch = None
    watch = FileWatch(loop, path, look, lambda hosts: seen.append(watch and watch.current_at), seen.append)
    first = clock.now
    assert seen == [None]
    assert watch.current_at <= first
    clock.now += HOUR
    watch.check()
    looked = watch.current_at
    assert looked >= first + HOUR
    path.write_text("host a nowhere\n")  # refused: the list in force is not the file any more
    for _ in range(2):
        clock.now += SECOND
        watch.check()
    assert watch.current_at == looked
    path.write_text("host b 127.0.0.1:1\n")
    watch.check()
    assert seen[0] is None
    assert seen[-1] == looked
    assert watch.current_at > looked
    watch.close()


def test_a_file_written_while_the_clock_was_behind_is_read_all_the_same(loop, clock, tmp_path):
    path, seen = tmp_path / "hosts", []
    path.write_text("host a 127.0.0.1:1\n")
    watch = FileWatch(loop, path, SECOND, lambda hosts: seen.append(hosts[0].name), seen.append)
    path.write_text("host b 127.0.0.1:1\n")
    before = os.stat(path).st_mtime_ns - HOUR
    os.utime(path, ns=(before, before))
    watch.check()
    assert seen == ["a", "b"]
    watch.close()


def test_the_gateway_hands_on_when_its_file_was_last_seen(rig):
    made = rig(hosts=2)
    converter = made.gate.host_list.converter
    converter.start_times.wall = lambda: BEGUN + HOUR + made.loop.now()
    converter.start_times.offset = BEGUN + HOUR  # ahead from the start: no step to be seen
    both = made.list.read_text().splitlines()
    made.relist(both[0])
    made.until(lambda: set(made.gate.rows) == {"h0"})
    without = made.loop.now()
    began = (BEGUN + made.loop.now()) / SECOND
    made.relist(both[0], f"{both[1]} started {began:.6f}")
    made.until(lambda: set(made.gate.rows) == {"h0", "h1"})
    assert made.gate.rows["h1"].listed.started >= without - SECOND
    assert made.loop.now() < made.gate.core.gateway.hosts_by_id["h1"].warm_at


# Lists of cells


def test_hosts_of_a_cell_are_bounded_by_the_list_of_that_cell_before(clock, wall):
    endpoints = CellEndpoints(Loop(clock), use_capacities=True)
    endpoints.converter = HostLineConverter(endpoints.converter.start_times.loop, wall)
    wall.ahead = HOUR
    endpoints.converter.start_times.offset = BEGUN + HOUR
    zones = {"a1": "a", "b1": "b"}

    def line(name, started):
        return HostLine(name=name, where="127.0.0.1:1", started=str(started / SECOND))

    old = line("u", wall.true() - HOUR)
    endpoints.convert({"a1": [old]}, zones, {"a1": None})
    absent_at = clock.now
    clock.now += SECOND
    made = endpoints.convert(
        {"a1": [old, line("v", wall.true())], "b1": [line("w", wall.true() - HOUR)]},
        zones,
        {"a1": absent_at, "b1": clock.now},
    )
    assert made["a1"][1].listed.started == absent_at
    assert made["b1"][0].listed.started < absent_at  # a cell that was not followed before


def test_a_gateway_of_cells_hands_on_when_each_list_was_known():
    given = []
    endpoints = SimpleNamespace(convert=lambda *arguments: given.append(arguments) or {})
    lists = SimpleNamespace(zones={"a1": "a"}, current_at=lambda: {"a1": 5})
    CellServices._apply_lists(
        SimpleNamespace(endpoints=endpoints, lists=lists, hosts_changed=list, applied_lists={}), {}
    )
    assert given == [({}, {"a1": "a"}, {"a1": 5})]


def test_both_kinds_of_cell_lists_tell_when_each_was_known(tmp_path, followed_cells):
    (tmp_path / "a1.hosts").write_text("host w 127.0.0.1:1\n")
    loop, seen = Loop(), []
    lists = CellLists(
        loop,
        CellHostsLine(folder=str(tmp_path), look=2 * MILLI),
        lambda arguments: seen.append(lists.current_at()),
        seen.append,
    )
    lists.set_cells({"a1": "a"})
    known = lists.current_at()["a1"]
    assert seen == [{}]
    assert known <= loop.now()
    (tmp_path / "a1.hosts").write_text("host w 127.0.0.1:1\nhost x 127.0.0.1:2\n")
    lists.watches["a1"].check()
    assert seen[1] == {"a1": known}
    assert lists.current_at()["a1"] > known
    lists.close()
    loop.close()

    made = followed_cells()
    made.lists.set_cells(made.zones)
    assert set(made.lists.current_at().values()) == {None}
    made.begin(a1=hosts("uv"), b1=hosts("w"))
    made.passes(3 * SECOND)
    assert all(each > made.clock.now - 3 * SECOND for each in made.lists.current_at().values())


# Where the wall clock is read at all

READS = re.compile(
    r"time\.time\b|\btime_ns\b|CLOCK_REALTIME|datetime\.|strftime|gmtime|localtime|st_[mca]time"
    r"|CURRENT_TIMESTAMP"
)
ALLOWED = {  # lines that read it, by file; each has its row in docs/crossings.md
    "appliance/leases.py": 1,
    "config/values.py": 1,
    "discovery/changelog/members.py": 1,
    "discovery/file_watch.py": 1,
    "discovery/host_lines.py": 1,
    "peers/membership.py": 1,
    "platform/log.py": 1,
    "storage/cell_table_file.py": 1,
    "storage/observation_store.py": 1,
    "storage/raft_log_file.py": 1,
}
BENCH = {
    "cluster",
    "faultinjection",
    "hollow",
    "scenarios",
}  # they play fleets, and judge by taps that hosts write


def test_no_other_line_of_a_gateway_reads_the_wall_clock():
    root, found = Path(gaproute.__file__).parent, {}
    for path in sorted(root.rglob("*.py")):
        name = path.relative_to(root)
        count = sum(bool(READS.search(line)) for line in path.read_text().splitlines())
        if count and name.parts[0] not in BENCH:
            found[str(name)] = count
    assert found == ALLOWED
