"""The wall clock steps ahead or back by an hour: how starts in files and cells are converted."""

import os
from types import SimpleNamespace

import pytest
from followed_cells import hosts
from scripted import MILLI, SECOND
from stepped_wall_clock import HOUR, WALL_CLOCK_START

from gaproute.appliance.cell_endpoints import CellEndpointConverter
from gaproute.appliance.cell_lists import CellLists
from gaproute.appliance.cells import CellServices
from gaproute.config import read_hosts
from gaproute.config.directives.fleet import CellHostsLine, HostLine
from gaproute.discovery.file_watch import FileWatch
from gaproute.discovery.host_lines import HostLineConverter
from gaproute.loop import Loop

# The host list as a file


def host_lines(**starts):
    """The lines of a host list file. `starts`: by host, ns since 1970."""
    text = "".join(
        f"host {name} 127.0.0.1:1 zone z rack r started {start / SECOND:.3f}\n"
        for name, start in starts.items()
    )
    return read_hosts("l", text)


@pytest.mark.parametrize("clock_offset", [0, HOUR, -HOUR])
def test_a_new_line_started_no_earlier_than_the_file_was_last_seen_without_it(
    loop, wall_clock, clock, clock_offset
):
    converter = HostLineConverter(loop, wall_clock)
    old = wall_clock.true_time() - HOUR
    (first,) = converter.endpoints(host_lines(a=old))
    assert first.listed.started == clock.now - HOUR
    last_absent_at = clock.now
    clock.now += SECOND
    wall_clock.offset = clock_offset
    known, new = converter.endpoints(
        host_lines(a=old, b=wall_clock.true_time() - SECOND // 5), last_absent_at
    )
    assert known.listed.started == first.listed.started
    assert last_absent_at <= new.listed.started <= clock.now
    restarted, _ = converter.endpoints(
        host_lines(a=wall_clock.true_time(), b=wall_clock.true_time() - SECOND // 5), clock.now
    )
    assert restarted.listed.started == clock.now


def test_a_start_that_is_added_to_a_known_line_is_accepted(loop, wall_clock, clock):
    converter = HostLineConverter(loop, wall_clock)
    (without_start,) = converter.endpoints(read_hosts("l", "host a 127.0.0.1:1\n"))
    clock.now += SECOND
    (known,) = converter.endpoints(host_lines(a=wall_clock.true_time() - HOUR), clock.now)
    assert without_start.listed.started is None
    assert known.listed.started == clock.now - HOUR


def test_a_file_is_current_as_of_each_check_that_finds_it_unchanged_and_no_other(loop, clock, tmp_path):
    path, received, interval = tmp_path / "hosts", [], SECOND
    path.write_text("host a 127.0.0.1:1\n")
    watch = None
    watch = FileWatch(
        loop, path, interval, lambda hosts: received.append(watch and watch.current_at), received.append
    )
    first = clock.now
    assert received == [None]
    assert watch.current_at <= first
    clock.now += HOUR
    watch.check()
    checked_at = watch.current_at
    assert checked_at >= first + HOUR
    path.write_text("host a nowhere\n")  # rejected, so the list in force is no longer the one in the file
    for _ in range(2):
        clock.now += SECOND
        watch.check()
    assert watch.current_at == checked_at
    path.write_text("host b 127.0.0.1:1\n")
    watch.check()
    assert received[0] is None
    assert received[-1] == checked_at
    assert watch.current_at > checked_at
    watch.close()


def test_a_file_whose_modification_time_is_earlier_is_read_again(loop, clock, tmp_path):
    path, received = tmp_path / "hosts", []
    path.write_text("host a 127.0.0.1:1\n")
    watch = FileWatch(loop, path, SECOND, lambda hosts: received.append(hosts[0].name), received.append)
    path.write_text("host b 127.0.0.1:1\n")
    before = os.stat(path).st_mtime_ns - HOUR
    os.utime(path, ns=(before, before))
    watch.check()
    assert received == ["a", "b"]
    watch.close()


def test_the_gateway_bounds_a_new_start_by_when_its_file_was_last_seen(rig):
    gateway_rig = rig(hosts=2)
    converter = gateway_rig.gate.host_list.converter
    converter.start_times.wall_clock = lambda: WALL_CLOCK_START + HOUR + gateway_rig.loop.now()
    # As if the clock were ahead from the beginning, without a step.
    converter.start_times.clock_offset = WALL_CLOCK_START + HOUR
    lines = gateway_rig.list.read_text().splitlines()
    gateway_rig.relist(lines[0])
    gateway_rig.until(lambda: set(gateway_rig.gate.endpoints) == {"h0"})
    without_at = gateway_rig.loop.now()
    started = (WALL_CLOCK_START + gateway_rig.loop.now()) / SECOND
    gateway_rig.relist(lines[0], f"{lines[1]} started {started:.6f}")
    gateway_rig.until(lambda: set(gateway_rig.gate.endpoints) == {"h0", "h1"})
    assert gateway_rig.gate.endpoints["h1"].listed.started >= without_at - SECOND
    assert gateway_rig.loop.now() < gateway_rig.gate.core.gateway.hosts_by_id["h1"].warm_at


# Lists of cells


def test_starts_in_a_cell_are_bounded_by_the_previous_list_of_that_cell(clock, wall_clock):
    endpoints = CellEndpointConverter(Loop(clock), use_capacities=True)
    endpoints.converter = HostLineConverter(endpoints.converter.start_times.loop, wall_clock)
    wall_clock.offset = HOUR
    endpoints.converter.start_times.clock_offset = WALL_CLOCK_START + HOUR
    zones = {"a1": "a", "b1": "b"}

    def line(name, started):
        return HostLine(name=name, where="127.0.0.1:1", started=str(started / SECOND))

    old = line("u", wall_clock.true_time() - HOUR)
    endpoints.convert({"a1": [old]}, zones, {"a1": None})
    last_absent_at = clock.now
    clock.now += SECOND
    converted = endpoints.convert(
        {"a1": [old, line("v", wall_clock.true_time())], "b1": [line("w", wall_clock.true_time() - HOUR)]},
        zones,
        {"a1": last_absent_at, "b1": clock.now},
    )
    assert converted["a1"][1].listed.started == last_absent_at
    assert converted["b1"][0].listed.started < last_absent_at  # its cell was not followed before


def test_a_cellular_gateway_passes_on_when_each_list_was_current():
    calls = []
    endpoints = SimpleNamespace(convert=lambda *arguments: calls.append(arguments) or {})
    lists = SimpleNamespace(zones={"a1": "a"}, current_at=lambda: {"a1": 5})
    CellServices._apply_lists(
        SimpleNamespace(converter=endpoints, host_lists=lists, on_hosts_changed=list, applied_lists={}),
        {},
    )
    assert calls == [({}, {"a1": "a"}, {"a1": 5})]


def test_cell_lists_and_followed_lists_report_when_each_list_was_current(tmp_path, followed_cells):
    (tmp_path / "a1.hosts").write_text("host w 127.0.0.1:1\n")
    loop, received = Loop(), []
    lists = CellLists(
        loop,
        CellHostsLine(folder=str(tmp_path), look=2 * MILLI),
        lambda arguments: received.append(lists.current_at()),
        received.append,
    )
    lists.set_cells({"a1": "a"})
    known = lists.current_at()["a1"]
    assert received == [{}]
    assert known <= loop.now()
    (tmp_path / "a1.hosts").write_text("host w 127.0.0.1:1\nhost x 127.0.0.1:2\n")
    lists.watches["a1"].check()
    assert received[1] == {"a1": known}
    assert lists.current_at()["a1"] > known
    lists.close()
    loop.close()

    cells = followed_cells()
    cells.lists.set_cells(cells.zones)
    assert set(cells.lists.current_at().values()) == {None}
    cells.start(a1=hosts("uv"), b1=hosts("w"))
    cells.advance(3 * SECOND)
    assert all(current_at > cells.clock.now - 3 * SECOND for current_at in cells.lists.current_at().values())
