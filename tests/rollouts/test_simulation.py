"""Simulated campaigns beside production under faults, with fixed seeds; the checks detect planted faults."""

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

# By case; for other cases 0.5.
MIN_USED_LANE_SHARES = {
    "plain": 0.8,
    "two campaigns": 0.8,
    "liars": 0.5,
    "noise": 0.4,
    "slow store": 0.5,
}


@pytest.mark.parametrize("name", list(CASES))
def test_all_checks_hold_in_each_case(name):
    run, violation = play(3, CASES[name], end=(17 if name == "zone cut" else 12) * SECOND)
    assert violation is None, violation.report()
    figures = run.figures()
    assert figures["used"] > MIN_USED_LANE_SHARES.get(name, 0.5)
    assert figures["production"] > 1000
    if name == "two campaigns":
        assert 0.2 < figures["by"]["c1"] / sum(figures["by"].values()) < 0.3  # the weights are 1 and 3
    if name == "liars":
        assert figures["scrapped"] > 0  # a host answers with another version
    elif name != "slow store":
        assert max(figures["versions"].values()) >= 2


def test_equal_seeds_give_equal_runs():
    first, second = (play(1, CASES["noise"], end=7 * SECOND)[0] for _ in range(2))
    assert first.simulation.timeline.digest.hexdigest() == second.simulation.timeline.digest.hexdigest()
    assert first.figures() == second.figures()


# Planted faults. `PLANTED_FAULTS` has the case in which each is detected and the name of the violated check.


def has_reported_free_lane(allotment, now):
    return allotment and allotment.has_free_lane(now, dispatcher.MAX_REPORT_AGE)


def lease_may_end_before_its_rollouts(patch):
    find_lease = RolloutDispatcher.find_lease

    def find_lease_ignoring_duration(self, now, name, host):
        allotment, found = self.allotments.get(host), find_lease(self, now, name, host)
        if found is not None or not has_reported_free_lane(allotment, now):
            return found
        return next(
            (
                lease
                for lease, rollouts in allotment.leases.items()
                if rollouts < lease.amount and lease.is_valid_at(now)
            ),
            None,
        )

    patch(RolloutDispatcher, "find_lease", find_lease_ignoring_duration)


def rollouts_under_a_lease_are_not_limited(patch):
    def find_lease_ignoring_lanes(self, now, name, host):
        allotment = self.allotments.get(host)
        if not has_reported_free_lane(allotment, now):
            return None
        until = now + self.campaigns[name].min_lease_time
        return next((lease for lease in allotment.leases if lease.is_valid_at(until)), None)

    patch(RolloutDispatcher, "find_lease", find_lease_ignoring_lanes)


def outdated_host_reports_are_used(patch):
    patch(dispatcher, "MAX_REPORT_AGE", 5 * SECOND)
    patch(invariants, "MAX_REPORT_AGE", 5 * SECOND)
    patch(gateway, "POLL_INTERVAL", 700_000_000)


def waiting_production_is_ignored(patch):
    record_report = RolloutDispatcher.record_report

    def record_report_without_waiting(self, now, host, report):
        free_lanes = max(1, report.free_lanes)
        changed_report = HostAvailability(report.asked_at, free_lanes, False, report.warming_up)
        record_report(self, now, host, changed_report)

    patch(RolloutDispatcher, "record_report", record_report_without_waiting)


def leases_expire_too_early(patch):
    patch(table, "expiry_wait", lambda duration: duration // 8)


def leases_are_released_too_early(patch):
    tick = RolloutDispatcher.tick

    def release_surplus_leases_at_once(self, now):
        tick(self, now)
        surplus_leases = [
            lease for allotment in self.allotments.values() for lease in allotment.surplus_leases
        ]
        for lease in surplus_leases:
            if lease.state == LeaseState.HELD:
                self.client.release(now, lease)

    patch(RolloutDispatcher, "tick", release_surplus_leases_at_once)


def outdated_rollouts_are_sent(patch):
    patch(WeightVersions, "rejection", lambda self, campaign, version: None)


def answers_of_any_version_are_accepted(patch):
    patch(WeightVersions, "is_answer_usable", staticmethod(lambda requested, reported: True))


def load_orders_are_not_limited(patch):
    patch(RolloutLoadLimiter, "allows", lambda self, now: True)


def zone_reservations_are_ignored(patch):
    patch(
        fleet,
        "lendable_lanes",
        lambda hosts, reserved: lendable_lanes(
            hosts, {name: lanes for name, lanes in reserved.items() if name.startswith("h")}
        ),
    )


PLANTED_FAULTS = [
    (lease_may_end_before_its_rollouts, "zone cut", "nothing sent without a lease"),
    (rollouts_under_a_lease_are_not_limited, "plain", "capacity never overspent"),
    (outdated_host_reports_are_used, "plain", "production first"),
    (waiting_production_is_ignored, "plain", "production first"),
    (leases_expire_too_early, "zone cut", "nothing sent without a lease"),
    (leases_are_released_too_early, "half of hosts", "nothing sent without a lease"),
    (outdated_rollouts_are_sent, "fast weights", "too old is not run"),
    (answers_of_any_version_are_accepted, "liars", "no version mixing"),
    (load_orders_are_not_limited, "fast weights", "rollouts keep to their load limit"),
    (zone_reservations_are_ignored, "plain", "reserved lanes are not lent"),
]


@pytest.mark.parametrize(
    ("planted_fault", "case", "name"),
    PLANTED_FAULTS,
    ids=[planted_fault.__name__ for planted_fault, _, _ in PLANTED_FAULTS],
)
def test_a_planted_fault_is_detected_by_name(planted_fault, case, name, monkeypatch):
    planted_fault(monkeypatch.setattr)
    for seed in range(3):
        _, violation = play(seed, CASES[case], end=12 * SECOND)
        if violation is not None:
            assert violation.name == name
            return
    pytest.fail(f"no check detected {planted_fault.__name__} in case {case}")
