"""Small clusters of processes: the rules hold over links, a broken one is found, a late harness is void, and
nothing is left of a harness whose parent was killed."""

import json
import os
import random
import signal
import subprocess
import time
from pathlib import Path

import pytest
from cluster_plays import play, trial_command

from gaproute.cluster.address_plan import AddressPlan
from gaproute.cluster.context import ClusterContext
from gaproute.cluster.host_lists import GatewayHostLists, list_path
from gaproute.cluster.script import read_script
from gaproute.cluster.start_limiter import StartLimiter
from gaproute.loop import Loop
from gaproute.scenarios.hosts import DayHosts
from gaproute.standins.tap import Tap, read_tap

MILLI = 1_000_000


def test_the_rules_hold_while_links_and_processes_fail_and_the_folder_has_all(tmp_path):
    code, verdict = play(tmp_path, "small-cluster", "--seed", "3")
    assert verdict["faulty"] == []
    assert verdict["void"] == []
    assert code == 0
    assert verdict["verdict"] == "well"
    assert verdict["relays"] > 200
    assert verdict["wires"][0]["bytes"] > 100_000
    assert verdict["wires"][0]["weather"]["lost"] > 0
    assert verdict["wires"][0]["weather"]["held"] > 0
    out = max(tmp_path.iterdir())
    assert json.loads((out / "play.json").read_text())["seed"] == 3
    assert verdict["seed"] == 3
    assert read_script(str(out / "day.script")).text == read_script("small-cluster").text
    noted = {event["what"] for event in read_tap(out / "run.tap")}
    assert {"fault", "strike", "list", "trouble", "told", "killed", "stopped", "continued", "begun"} <= noted


@pytest.mark.parametrize(("rule", "violator"), [(2, "RetriesEverything"), (3, "IgnoresDraining")])
def test_a_module_that_breaks_a_rule_is_caught_over_links(tmp_path, rule, violator):
    code, verdict = play(
        tmp_path, "small-cluster", "--decisions", f"gaproute.standins.rule_violators:{violator}"
    )
    # what it breaks is broken on a late machine as well; that nothing else is, a void play does not show
    assert code in (1, 3)
    assert rule in {broken["rule"] for broken in verdict["broken"]}


TINY = """cluster late {late} bound 60s
day length {length}s rate 20 hosts 1 gateways 2 models 2 halls 1 peers yes
track a pure contract 1s limit 2s
traffic a work 5ms
strike stop at 200ms for {length}s on g0
"""


def test_a_harness_that_runs_late_is_void_and_not_failed(tmp_path):
    script = tmp_path / "tiny.script"
    script.write_text(TINY.format(late="0ms", length=1))
    done = subprocess.run(trial_command(script, tmp_path / "out"), capture_output=True, timeout=90)
    verdict = json.loads(done.stdout)
    assert done.returncode == 3
    assert verdict["verdict"] == "void"
    assert "late" in verdict["void"][0]


def children(pid):
    """{pid: its command line} of a process's children."""
    found = {}
    for place in Path("/proc").glob("[0-9]*"):
        try:
            parent = int((place / "stat").read_text().rpartition(")")[2].split()[1])
            if parent == pid:
                found[int(place.name)] = (place / "cmdline").read_bytes()
        except (OSError, ValueError):
            pass  # it ended meanwhile
    return found


def lives(pid):
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def test_a_harness_whose_parent_is_killed_leaves_no_process_also_none_that_is_paused(tmp_path):
    script, out = tmp_path / "tiny.script", tmp_path / "out"
    script.write_text(TINY.format(late="1s", length=40))
    harness = subprocess.Popen(trial_command(script, out), stdout=subprocess.DEVNULL)
    try:
        end = time.monotonic() + 30
        while not (out / "run.tap").exists() or b'"stopped"' not in (out / "run.tap").read_bytes():
            assert time.monotonic() < end
            assert harness.poll() is None
            time.sleep(0.05)
        left = children(harness.pid)
        kinds = b" ".join(left.values())
        assert len(left) >= 6
        assert b"gaproute.cluster.links" in kinds
        assert b"serve" in kinds
        assert b"clients" in kinds
    finally:
        os.kill(harness.pid, signal.SIGKILL)
        harness.wait()
    end = time.monotonic() + 5
    while any(map(lives, left)):
        assert time.monotonic() < end, [left[pid] for pid in left if lives(pid)]
        time.sleep(0.02)


def test_so_many_start_at_a_time_also_when_one_fails():
    loop, inside, most, ended = Loop(), [], [], []
    starts = StartLimiter(loop, 2, interval=0)
    loop.on_error = ended.append

    def one(number):
        inside.append(number)
        most.append(len(inside))
        yield loop.sleep(MILLI)
        inside.remove(number)
        if number == 0:
            raise ValueError("fails")
        ended.append(number)

    routines = [loop.spawn(starts.run(one(number))) for number in range(7)]
    loop.run(until=routines[-1].done)
    assert max(most) == 2
    assert len(ended) == 7
    assert not inside
    loop.close()


def test_a_late_list_never_undoes_a_newer_one_and_each_gateway_has_its_own_addresses(tmp_path):
    loop = Loop()
    script = read_script("small-cluster")
    plan, tap = AddressPlan(script.day, direct=False), Tap(str(tmp_path / "run.tap"), loop.clock)
    context = ClusterContext(loop, tap, script, 1, tmp_path, plan, print)
    hosts = DayHosts(script, 1, None, [], random.Random(1))
    host = hosts.create()
    host.process = object()
    lists = GatewayHostLists(context, hosts)
    lists.publish_all_now()
    files = [list_path(tmp_path, number) for number in (0, 1)]
    assert files[0].read_text() != files[1].read_text()
    old = lists.take_snapshot()
    host.state = "draining"
    lists.write(0, lists.take_snapshot())
    lists.write(0, old)
    assert "state draining" in files[0].read_text()
    assert "state active" in files[1].read_text()
    tap.flush()
    published = [(event["gateway"], event["state"]) for event in read_tap(tmp_path / "run.tap")]
    assert published == [(0, "active"), (1, "active"), (2, "active"), (0, "draining")]
    loop.close()
