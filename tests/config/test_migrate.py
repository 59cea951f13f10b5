"""A configuration moved to another shape of deployment, and a gateway on loopback that runs by the result."""

import errno
import os
import random

import pytest
from click.testing import CliRunner
from helpers import CONFIGURATION, MILLI, SECOND

from gaproute.cli.main import main
from gaproute.config import ConfigurationError, durable, migrate, read_configuration
from gaproute.faultinjection.disk import FaultyDisk
from gaproute.faultinjection.disk_faults import DISK_FULL
from gaproute.faultinjection.kills import KillPoint, Moment, ProcessKilled
from gaproute.faultinjection.plan import FaultPlan, Script

OLD = """# our box
name g1
listen kserve 127.0.0.1:0
track a pure contract 1200ms limit 5s earnings 3
track b receipted group rack remembers 2500ms contract 800ms limit 2.5s
model m track a lanes 4 load 1200ms
model n track b
tenant kati share 0.45
host h1 127.0.0.1:1 zone z rack r capacity 4
copies keep 10s free 6   # as the hosts are set
reach connect 250ms probe 100ms
"""
SHAPE = """track a pure contract 1s limit 3s
relays limit 6
reports answer probes no
copies keep 8s window 0s alike no notes no
sizes no
"""


def moved(old=OLD, shape=SHAPE):
    return migrate("old", old, "shape", shape, "new")


def mistakes(old, shape):
    with pytest.raises(ConfigurationError) as wrong:
        moved(old, shape)
    return [str(each) for each in wrong.value.mistakes]


def test_what_the_shape_states_wins_and_the_rest_stays_unchanged():
    text, _ = moved()
    assert text.splitlines()[:3] == OLD.splitlines()[:3]
    assert "copies keep 8s free 6 window 0s alike no notes no  # as the hosts are set" in text
    configuration = read_configuration("new", text)
    assert not configuration.routing_settings.probes_allowed
    assert configuration.routing_settings.attempt_limit == 6
    assert not configuration.capacities_reported
    assert configuration.routing_settings.keep_alive == 8 * SECOND
    assert configuration.routing_settings.load_order_window == 0
    assert [track.latency_objective for track in configuration.routing_settings.request_classes] == [SECOND]
    assert configuration.routing_settings.request_classes[0].priority_weight == 1.0  # a track is stated whole


def test_sources_of_cell_hosts_are_taken_over_as_they_stand():
    lines = "cells north file t region west zone w\ncell-hosts from 127.0.0.1:1  # two\n"
    old = OLD.replace("host h1 127.0.0.1:1 zone z rack r capacity 4\n", lines + "listen peers 127.0.0.1:8\n")
    text, _ = moved(old, "relays limit 4\n")
    assert lines in text


def test_each_line_left_behind_is_reported_with_its_number_and_why():
    _, left = moved()
    assert [(each.line, each.text.split()[0], each.why) for each in left] == [
        (5, "track", "the new deployment has no track b"),
        (7, "model", "the new deployment has no track b"),
        (9, "host", "the new deployment reports no capacities of hosts"),
        (11, "reach", "the new deployment allows no probes"),
    ]


def test_a_shape_that_states_nothing_new_changes_no_terms():
    text, left = moved(shape="relays limit 4\n")
    assert not left
    assert read_configuration("new", text).routing_settings == read_configuration("old", OLD).routing_settings


def test_an_old_file_makes_the_terms_it_made_before():
    terms = read_configuration("old", OLD).routing_settings
    assert terms.probes_allowed
    assert not terms.reports_by_probe
    assert read_configuration("old", OLD).capacities_reported


def test_mistakes_of_both_files_are_reported_together_with_line_and_cure():
    found = mistakes(OLD + "modle x\n", "sizes perhaps\nlisten kserve 127.0.0.1:2\n")
    assert any("old:12" in each and "did you mean model" in each for each in found)
    assert any("shape:1" in each and "neither yes nor no" in each for each in found)
    assert any("shape:2" in each and "is not a directive of a shape" in each for each in found)


def test_a_shape_that_leaves_nothing_to_serve_is_refused():
    assert any("no model line" in each for each in mistakes(OLD, "track c pure contract 1s limit 2s\n"))


def test_an_empty_shape_and_unclosed_quotes_are_refused():
    assert "states nothing" in mistakes(OLD, "# nothing\n")[0]
    assert "close the quote" in mistakes(OLD, 'track "a\n')[0]


def run(tmp_path, *options, old=OLD, shape=SHAPE):
    (tmp_path / "old").write_text(old)
    (tmp_path / "shape").write_text(shape)
    files = [str(tmp_path / name) for name in ("old", "new")]
    return CliRunner().invoke(main, ["migrate", *files, "--shape", str(tmp_path / "shape"), *options])


def test_the_command_writes_a_file_that_check_accepts_and_says_what_it_left(tmp_path):
    done = run(tmp_path)
    assert done.exit_code == 1
    assert "4 left behind" in done.output
    assert CliRunner().invoke(main, ["check", str(tmp_path / "new")]).exit_code == 0
    assert run(tmp_path, "--replace", shape="relays limit 6\n").exit_code == 0
    assert sorted(os.listdir(tmp_path)) == ["new", "old", "shape"]


def test_a_dry_run_prints_the_result_and_writes_nothing(tmp_path):
    done = run(tmp_path, "--dry-run")
    assert done.exit_code == 1
    assert "reports answer probes no" in done.output
    assert sorted(os.listdir(tmp_path)) == ["old", "shape"]


def test_a_file_that_stands_is_not_written_over(tmp_path):
    (tmp_path / "new").write_text("mine")
    assert run(tmp_path).exit_code == 2
    assert (tmp_path / "new").read_text() == "mine"
    assert run(tmp_path, shape="nonsense\n").exit_code == 2
    assert sorted(os.listdir(tmp_path)) == ["new", "old", "shape"]


def test_the_old_file_is_never_written_over(tmp_path):
    (tmp_path / "new").symlink_to(tmp_path / "old")
    assert run(tmp_path, "--replace").exit_code == 2
    assert (tmp_path / "old").read_text() == OLD


def written_under(disk, path, replace):
    """Whether the new text was said to be written to the faulty disk."""
    with disk.installed(durable):
        try:
            durable.write_file_atomically(str(path), "new\n" * 50, replace=replace, preserved=())
        except (OSError, ProcessKilled):
            return False
    return True


@pytest.mark.parametrize("replace", [False, True])
@pytest.mark.parametrize("moment", Moment)
def test_a_kill_at_any_call_leaves_the_file_whole_or_as_it_was(tmp_path, replace, moment):
    said = 0
    for call in range(1, 20):
        for seed in range(6):
            folder = tmp_path / f"{call}-{seed}"
            folder.mkdir()
            path = folder / "new"
            if replace:
                path.write_text("old")
            disk = FaultyDisk(folder, kill=KillPoint(call, moment), chance=random.Random(seed))
            done = written_under(disk, path, replace)
            (disk.fail_power if seed % 2 else disk.end_process)()
            stands = path.read_text() if path.exists() else None
            assert stands in ({"new\n" * 50} if done else {"new\n" * 50, "old" if replace else None})
            said += done
    assert said  # the last kills come after the last call


@pytest.mark.parametrize("call", ["open", "write", "fsync", "close", "replace"])
def test_a_disk_that_fails_leaves_the_file_as_it_was_and_nothing_beside_it(tmp_path, call):
    (tmp_path / "new").write_text("old")
    disk = FaultyDisk(tmp_path, FaultPlan(Script.of((call, 1, DISK_FULL))))
    assert not written_under(disk, tmp_path / "new", True)
    assert [path.name for path in tmp_path.iterdir()] == ["new"]
    assert disk.open_descriptors == 0
    assert (tmp_path / "new").read_text() == "old"
    assert written_under(FaultyDisk(tmp_path), tmp_path / "new", True)
    assert (tmp_path / "new").stat().st_mode & 0o777 == 0o644


def test_a_file_that_a_crash_may_undo_is_said_to_be_one(tmp_path, monkeypatch):
    def unsynced(folder):
        raise OSError(errno.EIO, "Input/output error")

    monkeypatch.setattr(durable, "_sync_directory", unsynced)
    done = run(tmp_path)
    assert done.exit_code == 2
    assert "written, but a crash of the machine may undo it" in done.output
    assert sorted(os.listdir(tmp_path)) == ["new", "old", "shape"]


@pytest.mark.parametrize("old", [b"\xff\xfe", b"track\x00"])
def test_an_old_file_that_is_no_text_is_refused_without_a_traceback(tmp_path, old):
    run(tmp_path)
    (tmp_path / "old").write_bytes(old)
    files = [str(tmp_path / name) for name in ("old", "other")]
    done = CliRunner().invoke(main, ["migrate", *files, "--shape", str(tmp_path / "shape")])
    assert done.exit_code == 2
    assert isinstance(done.exception, SystemExit)
    assert "old:" in done.output
    assert not (tmp_path / "other").exists()


def probes(made):
    """A list that each probe of a host is noted in."""
    seen = []
    for host in made.hosts:

        def handle(request, through=host.server.handle):
            seen.extend([request.target] * (b"health" in request.target))
            through(request)

        host.server.handle = handle
    return seen


def test_a_gateway_on_a_moved_configuration_serves_and_never_probes(rig):
    configuration, _ = migrate(
        "old",
        CONFIGURATION + "hosts-file none.list\n",
        "shape",
        "reports answer probes no\nsizes no\nrelays limit 2 twins no\n",
        "new",
    )
    made = rig(configuration=configuration.replace("hosts-file none.list\n", ""))
    seen = probes(made)
    assert made.wait(made.ask()).headers[b"gaproute-outcome"] == b"delivered"
    made.rest(800 * MILLI)
    assert not seen
    assert [host.capacity for host in made.gate.core.gateway.active_hosts] == [1.0, 1.0]


def test_the_same_hosts_are_probed_where_reports_come_by_probe(rig):
    made = rig(more="reports probe\n")
    seen = probes(made)
    made.until(lambda: seen)
    assert [host.capacity for host in made.gate.core.gateway.active_hosts] == [4.0, 4.0]


def test_hosts_that_report_by_probe_alone_cannot_forbid_probes():
    with pytest.raises(ConfigurationError, match="cannot go without probes"):
        read_configuration("f", OLD + "reports probe probes no\n")
