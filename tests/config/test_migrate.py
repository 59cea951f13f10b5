"""Migration of a configuration to another deployment, and a gateway on loopback that uses the result."""

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


def migrate_texts(old=OLD, shape=SHAPE):
    return migrate("old", old, "shape", shape, "new")


def mistakes_of(old, shape):
    with pytest.raises(ConfigurationError) as caught:
        migrate_texts(old, shape)
    return [str(each) for each in caught.value.mistakes]


def test_the_shape_overrides_the_old_file_and_other_lines_stay_unchanged():
    text, _ = migrate_texts()
    assert text.splitlines()[:3] == OLD.splitlines()[:3]
    assert "copies keep 8s free 6 window 0s alike no notes no  # as the hosts are set" in text
    configuration = read_configuration("new", text)
    assert not configuration.routing_settings.probes_allowed
    assert configuration.routing_settings.attempt_limit == 6
    assert not configuration.capacities_reported
    assert configuration.routing_settings.keep_alive == 8 * SECOND
    assert configuration.routing_settings.load_order_window == 0
    assert [track.latency_objective for track in configuration.routing_settings.request_classes] == [SECOND]
    # a track of the shape replaces the whole old track
    assert configuration.routing_settings.request_classes[0].priority_weight == 1.0


def test_sources_of_cell_hosts_are_copied_unchanged():
    lines = "cells north file t region west zone w\ncell-hosts from 127.0.0.1:1  # two\n"
    old = OLD.replace("host h1 127.0.0.1:1 zone z rack r capacity 4\n", lines + "listen peers 127.0.0.1:8\n")
    text, _ = migrate_texts(old, "relays limit 4\n")
    assert lines in text


def test_each_line_left_behind_is_reported_with_its_number_and_reason():
    _, left = migrate_texts()
    assert [(each.line, each.text.split()[0], each.why) for each in left] == [
        (5, "track", "the new deployment has no track b"),
        (7, "model", "the new deployment has no track b"),
        (9, "host", "the new deployment reports no capacities of hosts"),
        (11, "reach", "the new deployment allows no probes"),
    ]


def test_a_shape_with_present_values_changes_no_routing_settings():
    text, left = migrate_texts(shape="relays limit 4\n")
    assert not left
    assert read_configuration("new", text).routing_settings == read_configuration("old", OLD).routing_settings


def test_a_file_without_reports_and_sizes_lines_gets_their_defaults():
    settings = read_configuration("old", OLD).routing_settings
    assert settings.probes_allowed
    assert not settings.reports_by_probe
    assert read_configuration("old", OLD).capacities_reported


def test_mistakes_of_both_files_are_reported_together_with_line_and_remedy():
    found = mistakes_of(OLD + "modle x\n", "sizes perhaps\nlisten kserve 127.0.0.1:2\n")
    assert any("old:12" in each and "did you mean model" in each for each in found)
    assert any("shape:1" in each and "neither yes nor no" in each for each in found)
    assert any("shape:2" in each and "is not a directive of a shape" in each for each in found)


def test_a_shape_that_leaves_no_model_is_rejected():
    assert any("no model line" in each for each in mistakes_of(OLD, "track c pure contract 1s limit 2s\n"))


def test_an_empty_shape_and_unclosed_quotes_are_rejected():
    assert "states nothing" in mistakes_of(OLD, "# nothing\n")[0]
    assert "close the quote" in mistakes_of(OLD, 'track "a\n')[0]


def run_migrate(tmp_path, *options, old=OLD, shape=SHAPE):
    (tmp_path / "old").write_text(old)
    (tmp_path / "shape").write_text(shape)
    files = [str(tmp_path / name) for name in ("old", "new")]
    return CliRunner().invoke(main, ["migrate", *files, "--shape", str(tmp_path / "shape"), *options])


def test_the_command_writes_a_valid_file_and_reports_what_it_left_behind(tmp_path):
    result = run_migrate(tmp_path)
    assert result.exit_code == 1
    assert "4 left behind" in result.output
    assert CliRunner().invoke(main, ["check", str(tmp_path / "new")]).exit_code == 0
    assert run_migrate(tmp_path, "--replace", shape="relays limit 6\n").exit_code == 0
    assert sorted(os.listdir(tmp_path)) == ["new", "old", "shape"]


def test_a_dry_run_prints_the_result_and_writes_nothing(tmp_path):
    result = run_migrate(tmp_path, "--dry-run")
    assert result.exit_code == 1
    assert "reports answer probes no" in result.output
    assert sorted(os.listdir(tmp_path)) == ["old", "shape"]


def test_an_existing_file_is_not_overwritten(tmp_path):
    (tmp_path / "new").write_text("mine")
    assert run_migrate(tmp_path).exit_code == 2
    assert (tmp_path / "new").read_text() == "mine"
    assert run_migrate(tmp_path, shape="nonsense\n").exit_code == 2
    assert sorted(os.listdir(tmp_path)) == ["new", "old", "shape"]


def test_the_old_file_is_never_overwritten(tmp_path):
    (tmp_path / "new").symlink_to(tmp_path / "old")
    assert run_migrate(tmp_path, "--replace").exit_code == 2
    assert (tmp_path / "old").read_text() == OLD


def is_reported_written(disk, path, replace):
    """Whether the write of the new text to the faulty disk returned without an error."""
    with disk.installed(durable):
        try:
            durable.write_file_atomically(str(path), "new\n" * 50, replace=replace, preserved=())
        except (OSError, ProcessKilled):
            return False
    return True


@pytest.mark.parametrize("replace", [False, True])
@pytest.mark.parametrize("moment", Moment)
def test_a_kill_at_any_call_leaves_the_old_or_the_complete_new_file(tmp_path, replace, moment):
    reported_writes = 0
    for call in range(1, 20):
        for seed in range(6):
            directory = tmp_path / f"{call}-{seed}"
            directory.mkdir()
            path = directory / "new"
            if replace:
                path.write_text("old")
            disk = FaultyDisk(directory, kill=KillPoint(call, moment), chance=random.Random(seed))
            reported = is_reported_written(disk, path, replace)
            (disk.fail_power if seed % 2 else disk.end_process)()
            content = path.read_text() if path.exists() else None
            assert content in ({"new\n" * 50} if reported else {"new\n" * 50, "old" if replace else None})
            reported_writes += reported
    assert reported_writes  # the last kill points come after the last call


@pytest.mark.parametrize("call", ["open", "write", "fsync", "close", "replace"])
def test_a_failing_disk_leaves_the_old_file_and_no_temporary_file(tmp_path, call):
    (tmp_path / "new").write_text("old")
    disk = FaultyDisk(tmp_path, FaultPlan(Script.of((call, 1, DISK_FULL))))
    assert not is_reported_written(disk, tmp_path / "new", True)
    assert [path.name for path in tmp_path.iterdir()] == ["new"]
    assert disk.open_descriptors == 0
    assert (tmp_path / "new").read_text() == "old"
    assert is_reported_written(FaultyDisk(tmp_path), tmp_path / "new", True)
    assert (tmp_path / "new").stat().st_mode & 0o777 == 0o644


def test_the_command_reports_a_file_whose_directory_was_not_synced(tmp_path, monkeypatch):
    def fail_sync(directory):
        raise OSError(errno.EIO, "Input/output error")

    monkeypatch.setattr(durable, "_sync_directory", fail_sync)
    result = run_migrate(tmp_path)
    assert result.exit_code == 2
    assert "written, but a crash of the machine may undo it" in result.output
    assert sorted(os.listdir(tmp_path)) == ["new", "old", "shape"]


@pytest.mark.parametrize("old", [b"\xff\xfe", b"track\x00"])
def test_a_binary_old_file_is_rejected_without_a_traceback(tmp_path, old):
    run_migrate(tmp_path)
    (tmp_path / "old").write_bytes(old)
    files = [str(tmp_path / name) for name in ("old", "other")]
    result = CliRunner().invoke(main, ["migrate", *files, "--shape", str(tmp_path / "shape")])
    assert result.exit_code == 2
    assert isinstance(result.exception, SystemExit)
    assert "old:" in result.output
    assert not (tmp_path / "other").exists()


def record_probes(deployment):
    """A list to which the targets of all probes of the hosts are appended."""
    probe_targets = []
    for host in deployment.hosts:

        def handle(request, through=host.server.handle):
            probe_targets.extend([request.target] * (b"health" in request.target))
            through(request)

        host.server.handle = handle
    return probe_targets


def test_a_gateway_on_a_migrated_configuration_serves_and_never_probes(rig):
    configuration, _ = migrate(
        "old",
        CONFIGURATION + "hosts-file none.list\n",
        "shape",
        "reports answer probes no\nsizes no\nrelays limit 2 twins no\n",
        "new",
    )
    deployment = rig(configuration=configuration.replace("hosts-file none.list\n", ""))
    probe_targets = record_probes(deployment)
    assert deployment.wait(deployment.ask()).headers[b"gaproute-outcome"] == b"delivered"
    deployment.rest(800 * MILLI)
    assert not probe_targets
    assert [host.capacity for host in deployment.gate.core.gateway.active_hosts] == [1.0, 1.0]


def test_the_same_hosts_are_probed_if_reports_come_by_probe(rig):
    deployment = rig(more="reports probe\n")
    probe_targets = record_probes(deployment)
    deployment.until(lambda: probe_targets)
    assert [host.capacity for host in deployment.gate.core.gateway.active_hosts] == [4.0, 4.0]


def test_reports_by_probe_require_that_probes_are_allowed():
    with pytest.raises(ConfigurationError, match="cannot go without probes"):
        read_configuration("f", OLD + "reports probe probes no\n")
