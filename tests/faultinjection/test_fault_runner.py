"""A failed play is reduced to the faults that matter, and the hunt prints what replays it."""

import errno

import pytest

from benchmarks import fault_hunt
from gaproute.faultinjection.plan import Failure, FaultPlan, Script
from gaproute.faultinjection.play import runner
from gaproute.faultinjection.play.findings import Check, Finding
from gaproute.faultinjection.play.runner import Verdict, reduce_faults

FULL = Failure(errno.EMFILE)


@pytest.fixture
def breaks_by(monkeypatch):
    """In place of plays: one breaks a rule where all of these calls of `accept` fail."""

    def make(*occurrences):
        def play(seed, source, conditions=None):
            plan = FaultPlan(source)
            shown = {place for place in range(1, 41) if plan.inject("accept")}
            broken = set(occurrences) <= shown
            return Verdict(seed, [Finding(Check.HELD, "held")] * broken, plan.log)

        monkeypatch.setattr(runner, "play", play)
        monkeypatch.setattr(fault_hunt, "play", play)
        return play

    return make


@pytest.mark.parametrize("needed", [(7,), (3, 4), (1, 20, 40)])
def test_of_many_faults_the_ones_that_break_the_rule_are_left(breaks_by, needed):
    play = breaks_by(*needed)
    injected = play(1, Script.of(*(("accept", place, FULL) for place in range(1, 41)))).injected
    few = reduce_faults(1, injected, {Check.HELD})
    assert tuple(line.occurrence for line in few) == needed


def test_the_hunt_prints_seed_findings_and_faults_and_fails(breaks_by, monkeypatch, capsys):
    breaks_by()
    monkeypatch.setattr("sys.argv", ["fault_hunt", "--seeds", "2", "--from", "5", "--odds", "3"])
    assert fault_hunt.main() == 1
    said = capsys.readouterr().out
    assert "odds 3, seed 5: 1 findings" in said
    assert "HELD: held" in said
    assert "accept #" in said
    assert "EMFILE at" in said
    assert "2 plays" in said
    assert "2 plays broke a rule" in said


def test_the_hunt_replays_one_seed_without_the_calls_named(breaks_by, monkeypatch, capsys):
    breaks_by(41)
    monkeypatch.setattr("sys.argv", ["fault_hunt", "--replay", "9", "4", "--without", "accept"])
    assert fault_hunt.main() == 0
    assert "1 plays, 0 requests, 0 faults injected, 0 plays broke a rule" in capsys.readouterr().out
