"""Versions of weights: rejected rollouts, discarded groups, exchange of copies, and limits on load orders."""

from gaproute.rollouts import groups as groups_module
from gaproute.rollouts.copy_exchange import CopyPlacement, plan_exchange
from gaproute.rollouts.groups import GroupOutcome, RolloutGroups
from gaproute.rollouts.invariants import check_groups, check_loads
from gaproute.rollouts.load_limiter import RolloutLoadLimiter, max_rollout_orders
from gaproute.rollouts.weight_versions import VersionRejection, WeightVersions
from tests.rollouts.test_campaign import SECOND, campaign


def new_groups():
    versions = WeightVersions({"c": campaign(max_version_lag=1)})
    return versions, RolloutGroups(versions)


def test_versions_only_grow_and_rollouts_are_rejected_with_the_reason():
    versions, groups = new_groups()
    assert versions.record("c", 3)
    for campaign_name, version in (("c", 2), ("c", 3), ("c", 1 << 50), ("x", 4), ("c", "5")):
        assert not versions.record(campaign_name, version)
    assert versions.current == {"c": 3}
    assert list(versions.usable_versions("c")) == [3, 2]
    assert groups.admit("p", "t", "c", 1, 2) == VersionRejection.TOO_OLD == "too old"
    assert groups.admit("p", "t", "c", 4, 2) == "version not there yet"
    assert groups.admit("p", "t", "x", 1, 2) == "unknown campaign"
    assert not groups.open_groups


def test_a_group_has_one_version_or_is_discarded_as_a_whole(monkeypatch):
    versions, groups = new_groups()
    assert groups.admit("p", "t1", "c", 1, 2) is None
    assert groups.admit("p", "t2", "c", 1, 2) is None
    assert groups.admit("p", "t3", "c", 1, 2) == "group is full"
    assert groups.record_answer("p", "t1", 1) is None
    assert groups.record_answer("p", "t1", 1) is None
    assert check_groups(groups) == []
    assert groups.record_answer("p", "t2", 1) == GroupOutcome.DELIVERED == "delivered"
    groups.admit("q", "t1", "c", 1, 2)
    versions.record("c", 2)
    assert groups.admit("q", "t2", "c", 2, 2) == "group of two versions"
    assert groups.admit("q", "t2", "c", 1, 2) == "group of two versions"
    assert groups.record_answer("q", "t1", 1) == "of two versions"
    groups.admit("r", "t1", "c", 2, 2)
    assert groups.record_answer("r", "t1", 1) == "answered by another version"
    groups.admit("s", "t1", "c", 1, 2)
    versions.record("c", 3)
    assert groups.discard_outdated() == [("s", ["t1"])]
    assert groups.admit("s", "t2", "c", 1, 2) == "group too old"
    assert not groups.open_groups
    assert groups.outcome_counts["delivered"] == 1
    monkeypatch.setattr(groups_module, "MAX_OPEN_GROUPS", 0)
    assert groups.admit("u", "t1", "c", 3, 2) == "too many groups"


def exchange(versions, planned, copies, loading, free_capacity):
    return plan_exchange(10, versions, CopyPlacement(planned, copies, loading, free_capacity))


def test_only_a_fraction_of_the_copies_is_exchanged_at_a_time():
    planned = [f"h{number}" for number in range(6)]
    copies = {host: [1] for host in planned}
    full, half_free = dict.fromkeys(planned, 0), dict.fromkeys(planned, 10)
    versions = range(2, 0, -1)
    assert exchange(versions, planned, copies, [], full) == [("swap", "h0", 2), ("swap", "h1", 2)]
    assert exchange(versions, planned, copies, [], half_free) == [("load", "h0", 2), ("load", "h1", 2)]
    copies |= {"h0": [2], "h1": [2, 1]}
    assert exchange(versions, planned, copies, ["h2"], full) == [("drop", "h1", 1), ("swap", "h3", 2)]
    # Dropping an outdated copy frees its capacity; the capacity of production's copies is not used.
    assert exchange([4], ["h0"], {"h0": [2]}, [], full) == [("drop", "h0", 2), ("load", "h0", 4)]
    assert exchange([4], ["h0"], {}, [], full) == []
    # A host that is no longer planned keeps the newest copy as long as it displaces nothing.
    assert exchange([2, 1], [], {"h0": [2], "h1": [1]}, [], full) == [("drop", "h1", 1)]


class SingleLoadLimiter:
    """A gateway load limiter that allows one load."""

    def __init__(self):
        self.left = 1

    def allows(self, now):
        return self.left > 0

    def sent(self):
        self.left -= 1

    def ended(self, now, *, good):
        pass


def test_rollout_load_orders_keep_to_their_own_limit_and_the_gateway_limit():
    limiter = RolloutLoadLimiter(None, 2, SECOND)
    limiter.record_ordered()
    limiter.record_ordered()
    assert not limiter.allows(0)
    assert check_loads(limiter) == []
    limiter.record_ended(10)
    assert not limiter.allows(10 + SECOND - 1)
    assert limiter.allows(10 + SECOND)
    limiter_within_gateway = RolloutLoadLimiter(SingleLoadLimiter(), 2, SECOND)
    limiter_within_gateway.record_ordered()
    assert not limiter_within_gateway.allows(0)
    assert [max_rollout_orders(count) for count in (8, 1, 0)] == [2, 1, 0]
