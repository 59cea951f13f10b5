"""Days played by processes: the honest module keeps the rules, a module that breaks one is caught at it; a
gateway killed, stopped and asked to end; a bench day's faults as a script."""

import json
import os
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import pytest
from helpers import SECOND

from gaproute.cluster.script import read_script
from gaproute.loop.addresses import parse_address
from gaproute.scenarios.bench_day import convert_bench_day
from gaproute.standins.rule_violators import RULE_VIOLATORS

HONEST = "gaproute.decisions.routing:Gateway"
FALSE_REPORTS = "gaproute.standins.false_reports:ReportsFalselyAlways"


class PlannedDay(NamedTuple):
    """A script and the decisions of its gateways."""

    script: str
    decisions: str


DAYS = {
    "honest": PlannedDay("rogue", HONEST),
    "processes killed and paused": PlannedDay("short-day", HONEST),
    "shared observations": PlannedDay("telling-day", HONEST),
    "false observations": PlannedDay("telling-day", FALSE_REPORTS),
} | {
    f"violates rule {rule}": PlannedDay("rogue", f"gaproute.standins.rule_violators:{decisions.__name__}")
    for rule, decisions in RULE_VIOLATORS.items()
}


@pytest.fixture(scope="module")
def days(tmp_path_factory):
    """{name: (exit code, result)} of the planned days, three played at a time."""

    # Made before the threads start: pytest makes its base folder at the first call, which several may not do.
    folders = {name: tmp_path_factory.mktemp("day") for name in DAYS}

    def play(name):
        script, decisions = DAYS[name]
        played = subprocess.run(
            [
                sys.executable,
                "-m",
                "gaproute",
                "trial",
                script,
                "--json",
                "--decisions",
                decisions,
                "--out",
                str(folders[name]),
            ],
            capture_output=True,
            timeout=90,
        )
        assert played.stdout, played.stderr.decode()
        return played.returncode, json.loads(played.stdout)

    with ThreadPoolExecutor(3) as pool:
        return dict(zip(DAYS, pool.map(play, DAYS), strict=True))


def test_the_module_keeps_the_rules_on_a_day_that_tempts_to_each(days):
    code, result = days["honest"]
    assert result["broken"] == []
    assert code == 0
    assert result["relays"] > 200
    assert result["outcomes"]["repair-order"]["scrapped"] > 0


def test_the_rules_hold_while_gateways_are_killed_and_paused_and_hosts_replaced(days):
    code, result = days["processes killed and paused"]
    assert result["broken"] == []
    assert code == 0
    assert result["fell_over"] == 0
    assert result["service"] > 0.5  # far below what is usual: it only detects a day that was not played


@pytest.mark.parametrize("day", ["shared observations", "false observations"])
def test_the_rules_hold_while_restarting_gateways_learn_even_where_all_reports_are_wrong(days, day):
    code, result = days[day]
    assert result["broken"] == []
    assert code == 0
    assert result["fell_over"] == 0
    assert result["service"] > 0.5


@pytest.mark.parametrize("rule", sorted(RULE_VIOLATORS))
def test_a_module_that_breaks_a_rule_is_caught_at_it(days, rule):
    code, result = days[f"violates rule {rule}"]
    assert code == 1
    assert rule in {broken["rule"] for broken in result["broken"]}


CONFIG = """
name g
listen kserve 127.0.0.2:{port}
listen operator unix:{folder}/op
track a pure contract 1s limit 2s
model m track a
host h 127.0.0.1:9
"""


def started(folder, port=0, text=CONFIG):
    """A gateway as a process, and the address that it listens on."""
    file, log = folder / "g.conf", folder / "g.log"
    file.write_text(text.format(port=port, folder=folder))
    with open(log, "wb") as errors:
        process = subprocess.Popen([sys.executable, "-m", "gaproute", "serve", str(file)], stderr=errors)
    end = time.monotonic() + 20
    while time.monotonic() < end and process.poll() is None:
        for line in log.read_bytes().split(b"\n")[:-1]:
            if json.loads(line)["event"] == "started":
                return process, json.loads(line)["listen_addresses"][0]
        time.sleep(0.01)
    raise AssertionError(log.read_text())


def command(*words):
    return subprocess.run(
        [sys.executable, "-m", "gaproute", *map(str, words)], capture_output=True, text=True
    )


def test_the_console_starts_asks_and_stops_a_gateway_and_its_exit_codes_are_kept(tmp_path):
    process, where = started(tmp_path)
    status = command("status", "--at", f"unix:{tmp_path}/op", "--json")
    assert status.returncode == 0
    assert json.loads(status.stdout)["ready"]
    assert "h" in command("hosts", "--at", f"unix:{tmp_path}/op").stdout
    second = command("serve", tmp_path / "g.conf")
    assert second.returncode == 3
    assert "cannot listen" in second.stderr
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
    assert not os.path.exists(tmp_path / "op")
    assert command("status", "--at", f"unix:{tmp_path}/op").returncode == 3
    (tmp_path / "bad.conf").write_text("track x\n")
    bad = command("check", tmp_path / "bad.conf")
    assert bad.returncode == 2
    assert "bad.conf:1" in bad.stderr
    assert command("check", tmp_path / "g.conf").returncode == 0
    assert command("nonsense").returncode == 2


def test_a_killed_gateway_starts_again_at_its_address(tmp_path):
    process, where = started(tmp_path)
    process.kill()
    process.wait()
    again, there = started(tmp_path, port=where.rpartition(":")[2])
    assert there == where
    again.send_signal(signal.SIGTERM)
    assert again.wait(10) == 0


def test_what_came_while_a_gateway_was_paused_is_booked_before_anything_is_overdue(rig, tmp_path):
    made = rig(hosts=2)
    for host in made.hosts:
        # 0.3 s a task: answered while the gateway is stopped
        host.command({"trouble": "slow", "factor": 60})
    lines = [f"host {host.profile.name} {host.address} capacity 4" for host in made.hosts]
    config = CONFIG.replace("host h 127.0.0.1:9", "\n".join(lines)).replace("limit 2s", "limit 8s")
    process, where = started(tmp_path, text=config.replace("model m", "model lamp"))
    made.at = parse_address(where)
    asked = [made.ask("lamp", f"s{number}") for number in range(12)]
    made.until(lambda: len(made.seen("task")) == 12)
    process.send_signal(signal.SIGSTOP)
    made.rest(2 * SECOND)
    process.send_signal(signal.SIGCONT)
    assert [made.wait(answer).status for answer in asked] == [200] * 12
    assert len(made.seen("task")) == 12  # nothing was sent again
    hosts = json.loads(command("hosts", "--at", f"unix:{tmp_path}/op", "--json").stdout)
    assert all(set(host["relays"]) <= {"ok"} for host in hosts)
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0


DAY = {
    "v": 1,
    "length": 44_000_000,
    "servers": [{}] * 24,
    "balancers": [{}] * 4,
    "troubles": [
        {
            "kind": "slow",
            "at": 11_000_000,
            "len": 17_000_000,
            "size": 3.6,
            "extra": 0,
            "on": [21, 3],
            "which": 0,
        },
        {
            "kind": "answer_lost",
            "at": 2_000_000,
            "len": 5_000_000,
            "size": 0.3,
            "extra": 0,
            "on": list(range(12)),
            "which": 0,
        },
        {
            "kind": "preempt",
            "at": 1_000_000,
            "len": 1_500_000,
            "size": 1.2,
            "extra": 4.0,
            "on": [1, 2],
            "which": 0,
        },
        {
            "kind": "balancer_stall",
            "at": 0,
            "len": 20_000_000,
            "size": 1500,
            "extra": 3,
            "on": [0],
            "which": 0,
        },
        {"kind": "unheard_of", "at": 0, "len": 1, "size": 1, "extra": 0, "on": [], "which": 0},
    ],
}


def test_a_bench_days_faults_become_a_script(tmp_path):
    text, left_out = convert_bench_day(DAY, hosts=8, gateways=2, scale=0.5)
    file = tmp_path / "day.script"
    file.write_text(text)
    script = read_script(str(file))
    made = {(line.name, line.at // 1_000_000, line.hosts) for line in script.day_faults}
    assert ("slow", 5500, 1) in made
    assert ("lost", 1000, 4) in made
    assert ("preempt", 500, 1) in made
    assert left_out == ["unheard_of"]
    assert script.day.hosts == 8
    assert sum(line.name == "gateway-stall" for line in script.day_faults) > 1
