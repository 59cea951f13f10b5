"""The wall clock steps by an hour, either way, at any time: what becomes of the starts in files and cells."""

import os
from types import SimpleNamespace

import pytest
from followed_cells import hosts
from scripted import MILLI, SECOND
from stepped_walls import BEGUN, HOUR

from gaproute.appliance.cell_endpoints import CellEndpoints
from gaproute.appliance.cell_lists import CellLists
from gaproute.appliance.cells import CellServices
from gaproute.config import read_hosts
from gaproute.config.directives.fleet import CellHostsLine, HostLine
from gaproute.discovery.file_watch import FileWatch
from gaproute.discovery.host_lines import HostLineConverter
from gaproute.loop import Loop

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
    converter.start_times.wall_clock = lambda: BEGUN + HOUR + made.loop.now()
    converter.start_times.clock_offset = BEGUN + HOUR  # ahead from the start: no step to be seen
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
    endpoints.converter.start_times.clock_offset = BEGUN + HOUR
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
