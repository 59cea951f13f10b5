"""Leases between processes that fail, and that the judge of leases finds what is wrong."""

import json
import subprocess

import pytest
from cluster_plays import MAX_PLAYS, trial_command

from gaproute.cluster.script import read_script
from gaproute.config import ConfigurationError
from gaproute.judge import leases
from gaproute.standins.tap import read_tap
from gaproute.units import SECOND


def test_leases_hold_while_members_of_the_group_die_are_paused_and_do_not_reach_each_other(tmp_path):
    """Also where the machine is too busy for the other measurements (void): leases bear lateness."""
    for turn in range(MAX_PLAYS):
        command = trial_command("permits-cluster", tmp_path / str(turn), "--seed", "3")
        done = subprocess.run(command, capture_output=True, timeout=90)
        verdict = json.loads(done.stdout)
        assert verdict["permits"]["broken"] == []
        if verdict["verdict"] == "well" or not verdict["faulty"]:
            break
    assert verdict["faulty"] == []
    assert done.returncode in (0, 3)
    assert verdict["permits"]["granted"] >= 6
    assert verdict["permits"]["healed"] >= 4
    assert verdict["relays"] > 100
    run = read_tap(max(tmp_path.iterdir()) / "run.tap")
    assert any(event.get("leader") for event in run)  # the leader was killed, and came back
    assert {"killed", "started", "stopped", "continued", "let go", "crews over"} <= {e["what"] for e in run}


def hold(at, crew, fence, until, resource="r"):
    return {
        "at": at * SECOND,
        "what": "hold",
        "crew": crew,
        "resource": resource,
        "fence": fence,
        "until": int(until * SECOND),
    }


def let_go(at, crew, fence):
    return {"at": int(at * SECOND), "what": "let go", "crew": crew, "resource": "r", "fence": fence}


OVER = {"at": 99 * SECOND, "what": "crews over"}


@pytest.mark.parametrize(
    ("events", "checks"),
    [
        ([hold(1, "a", 5, 3), hold(3, "b", 6, 4)], []),
        ([hold(1, "a", 5, 3), hold(2, "b", 6, 4)], ["holders"]),
        (
            [
                hold(1, "a", 5, 9),
                hold(2, "a", 5, 9),
                hold(3, "a", 5, 4),
                let_go(3.5, "a", 5),
                hold(4, "b", 6, 5),
            ],
            [],
        ),
        ([hold(1, "a", 5, 9), hold(2, "b", 6, 3, "other")], []),
        ([hold(1, "a", 5, 2), hold(2, "b", 4, 3)], ["fence"]),
        ([hold(1, "a", 5, 2), hold(2, "b", 6, 3), hold(3, "a", 5, 4)], ["fence"]),
        ([hold(1, "a", 5, 2), hold(2, "b", 5, 3)], ["fence"]),
        ([hold(1, "a", 0, 2)], ["fence"]),
    ],
)
def test_two_holders_and_a_fence_that_falls_are_reported(events, checks):
    assert [violation.check for violation in leases.judge_leases(events)] == checks


def test_a_fault_after_whose_end_nothing_is_granted_is_reported():
    fault = {"what": "fault", "id": "f1", "kind": "cut"}
    run = [
        hold(1, "a", 5, 3),
        fault | {"at": 2 * SECOND, "on": True},
        fault | {"at": 3 * SECOND, "on": False},
        {"at": 4 * SECOND, "what": "killed", "gateway": 1},
        {"at": 5 * SECOND, "what": "started", "gateway": 1},
        {"at": 98 * SECOND, "what": "stopped", "gateway": 1},
        {"at": int(98.5 * SECOND), "what": "continued", "gateway": 1},
        OVER,
    ]
    looked, broken = leases.judge_progress(run)
    assert looked == 2
    assert [violation.check for violation in broken] == ["progress", "progress"]
    # a lease that is only renewed is no grant; a new one is
    assert len(leases.judge_progress(run + [hold(4, "a", 5, 6)])[1]) == 2
    assert leases.judge_progress(run + [hold(6, "b", 6, 7)])[1] == []


def test_lease_clients_that_cannot_be_are_named(tmp_path):
    path = tmp_path / "x.script"
    path.write_text("day gateways 2 length 3s\ntrack a\ntraffic a\ncrews keepers 3 span 2s longest 1s\n")
    with pytest.raises(ConfigurationError) as wrong:
        read_script(str(path))
    mistakes = "\n".join(str(mistake) for mistake in wrong.value.mistakes)
    assert "3 keepers of 2 gateways" in mistakes
    assert "peers yes" in mistakes
    assert "not above longest" in mistakes
