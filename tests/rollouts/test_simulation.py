"""Campaigns beside production under faults, with fixed seeds; planted faults are detected by name."""

import pytest

from gaproute.rollouts import dispatcher, invariants
from gaproute.rollouts.campaign import lendable_lanes
from gaproute.rollouts.dispatcher import RolloutDispatcher
from gaproute.rollouts.host_allotment import HostAvailability
from gaproute.rollouts.load_limiter import RolloutLoadLimiter
from gaproute.rollouts.weight_versions import WeightVersions
from gaproute.shared.leases import table
from gaproute.shared.leases.requests import LeaseState
from gaproute.simulation.campaigns import CASES, fleet, gateway, play
from gaproute.units import SECOND

USED = {"plain": 0.8, "two campaigns": 0.8, "liars": 0.5, "noise": 0.4, "slow store": 0.5}  # else 0.5


@pytest.mark.parametrize("name", list(CASES))
def test_a_run_keeps_all_its_promises(name):
    made, violation = play(3, CASES[name], end=(17 if name == "zone cut" else 12) * SECOND)
    assert violation is None, violation.report()
    figures = made.figures()
    assert figures["used"] > USED.get(name, 0.5)
    assert figures["production"] > 1000
    if name == "two campaigns":
        assert 0.2 < figures["by"]["c1"] / sum(figures["by"].values()) < 0.3  # weights 1 and 3
    if name == "liars":
        assert figures["scrapped"] > 0  # where a host answers by another version
    elif name != "slow store":
        assert max(figures["versions"].values()) >= 2


def test_the_same_seed_is_the_same_run():
    one, other = (play(1, CASES["noise"], end=7 * SECOND)[0] for _ in range(2))
    assert one.simulation.timeline.digest.hexdigest() == other.simulation.timeline.digest.hexdigest()
    assert one.figures() == other.figures()


# Planted faults; below, the case in which each is detected and the name of the check.


def reported_free(allotment, now):
    return allotment and allotment.has_free_lane(now, dispatcher.MAX_REPORT_AGE)


def a_lease_may_end_before_its_rollouts(patch):
    find_lease = RolloutDispatcher.find_lease

    def hasty(self, now, name, host):
        allotment, found = self.allotments.get(host), find_lease(self, now, name, host)
        if found is not None or not reported_free(allotment, now):
            return found
        return next(
            (
                lease
                for lease, rollouts in allotment.leases.items()
                if rollouts < lease.amount and lease.is_valid_at(now)
            ),
            None,
        )

    patch(RolloutDispatcher, "find_lease", hasty)


def lanes_are_not_counted(patch):
    def generous(self, now, name, host):
        allotment = self.allotments.get(host)
        if not reported_free(allotment, now):
            return None
        until = now + self.campaigns[name].min_lease_time
        return next((lease for lease in allotment.leases if lease.is_valid_at(until)), None)

    patch(RolloutDispatcher, "find_lease", generous)


def an_old_report_of_the_host_counts(patch):
    patch(dispatcher, "MAX_REPORT_AGE", 5 * SECOND)
    patch(invariants, "MAX_REPORT_AGE", 5 * SECOND)
    patch(gateway, "POLL_INTERVAL", 700_000_000)


def production_that_waits_is_ignored(patch):
    record_report = RolloutDispatcher.record_report

    def ignore_waiting(self, now, host, report):
        free_lanes = max(1, report.free_lanes)
        changed = HostAvailability(report.asked_at, free_lanes, False, report.warming_up)
        record_report(self, now, host, changed)

    patch(RolloutDispatcher, "record_report", ignore_waiting)


def leases_expire_too_early(patch):
    patch(table, "expiry_wait", lambda duration: duration // 8)


def leases_are_released_too_early(patch):
    tick = RolloutDispatcher.tick

    def hasty(self, now):
        tick(self, now)
        closing = [lease for allotment in self.allotments.values() for lease in allotment.closing]
        for lease in closing:
            if lease.state == LeaseState.HELD:
                self.client.release(now, lease)

    patch(RolloutDispatcher, "tick", hasty)


def outdated_rollouts_run(patch):
    patch(WeightVersions, "rejection", lambda self, campaign, version: None)


def any_version_is_an_answer(patch):
    patch(WeightVersions, "is_answer_usable", staticmethod(lambda requested, reported: True))


def loads_without_a_limit(patch):
    patch(RolloutLoadLimiter, "allows", lambda self, now: True)


def a_zone_without_its_reservation(patch):
    patch(
        fleet,
        "lendable_lanes",
        lambda hosts, reserved: lendable_lanes(
            hosts, {name: lanes for name, lanes in reserved.items() if name.startswith("h")}
        ),
    )


MUTANTS = [
    (a_lease_may_end_before_its_rollouts, "zone cut", "nothing sent without a lease"),
    (lanes_are_not_counted, "plain", "capacity never overspent"),
    (an_old_report_of_the_host_counts, "plain", "production first"),
    (production_that_waits_is_ignored, "plain", "production first"),
    (leases_expire_too_early, "zone cut", "nothing sent without a lease"),
    (leases_are_released_too_early, "half of hosts", "nothing sent without a lease"),
    (outdated_rollouts_run, "fast weights", "too old is not run"),
    (any_version_is_an_answer, "liars", "no version mixing"),
    (loads_without_a_limit, "fast weights", "rollouts keep to their load limit"),
    (a_zone_without_its_reservation, "plain", "reserved lanes are not lent"),
]


@pytest.mark.parametrize(
    ("mutant", "case", "name"), MUTANTS, ids=[mutant.__name__ for mutant, _, _ in MUTANTS]
)
def test_a_planted_fault_is_detected_by_name(mutant, case, name, monkeypatch):
    mutant(monkeypatch.setattr)
    for seed in range(3):
        _, violation = play(seed, CASES[case], end=12 * SECOND)
        if violation is not None:
            assert violation.name == name
            return
    pytest.fail("not detected")
