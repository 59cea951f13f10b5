"""Versions: what is declined, what is scrapped, in which order copies are exchanged, whose ration loads
have."""

from gaproute.rollouts import groups as module
from gaproute.rollouts.copy_exchange import exchange
from gaproute.rollouts.groups import RolloutGroups
from gaproute.rollouts.invariants import check_groups, check_loads
from gaproute.rollouts.load_limiter import RolloutLoadLimiter, own
from gaproute.rollouts.weight_versions import WeightVersions
from tests.rollouts.test_campaign import SECOND, campaign


def made():
    weights = WeightVersions({"c": campaign(old=1)})
    return weights, RolloutGroups(weights)


def test_versions_only_grow_and_old_rollouts_are_declined_by_name():
    weights, groups = made()
    assert weights.moved("c", 3) and not weights.moved("c", 2) and not weights.moved("c", 3)
    assert not weights.moved("c", 1 << 50) and not weights.moved("x", 4) and not weights.moved("c", "5")
    assert weights.now == {"c": 3} and list(weights.wanted("c")) == [3, 2]
    assert groups.take("p", "t", "c", 1, 2) == "too old"
    assert groups.take("p", "t", "c", 4, 2) == "version not there yet"
    assert groups.take("p", "t", "x", 1, 2) == "unknown campaign" and not groups.open


def test_a_group_is_of_one_version_or_scrapped_whole(monkeypatch):
    weights, groups = made()
    assert groups.take("p", "t1", "c", 1, 2) == groups.take("p", "t2", "c", 1, 2) == ""
    assert groups.take("p", "t3", "c", 1, 2) == "group is full"
    assert groups.answered("p", "t1", 1) == groups.answered("p", "t1", 1) == ""
    assert check_groups(groups) == [] and groups.answered("p", "t2", 1) == "delivered"
    groups.take("q", "t1", "c", 1, 2)
    weights.moved("c", 2)
    assert groups.take("q", "t2", "c", 2, 2) == "group of two versions"
    assert groups.take("q", "t2", "c", 1, 2) == "group of two versions"
    assert groups.answered("q", "t1", 1) == "of two versions"
    groups.take("r", "t1", "c", 2, 2)
    assert groups.answered("r", "t1", 1) == "answered by another version"
    groups.take("s", "t1", "c", 1, 2)
    weights.moved("c", 3)
    assert groups.aged() == [("s", ["t1"])] and groups.take("s", "t2", "c", 1, 2) == "group too old"
    assert not groups.open and groups.counts["delivered"] == 1
    monkeypatch.setattr(module, "GROUPS", 0)
    assert groups.take("u", "t1", "c", 3, 2) == "too many groups"


def test_copies_are_exchanged_in_steps():
    planned = [f"h{number}" for number in range(6)]
    copies = {host: [1] for host in planned}
    full, roomy = dict.fromkeys(planned, 0), dict.fromkeys(planned, 10)
    assert exchange("c", 10, range(2, 0, -1), planned, copies, [], full) == [
        ("swap", "h0", 2),
        ("swap", "h1", 2),
    ]
    assert exchange("c", 10, range(2, 0, -1), planned, copies, [], roomy) == [
        ("load", "h0", 2),
        ("load", "h1", 2),
    ]
    copies |= {"h0": [2], "h1": [2, 1]}
    assert exchange("c", 10, range(2, 0, -1), planned, copies, ["h2"], full) == [
        ("drop", "h1", 1),
        ("swap", "h3", 2),
    ]
    # what is too old goes and leaves its room; what production's copies have is not touched
    assert exchange("c", 10, [4], ["h0"], {"h0": [2]}, [], full) == [("drop", "h0", 2), ("load", "h0", 4)]
    assert exchange("c", 10, [4], ["h0"], {}, [], full) == []
    # a plan that leaves a host keeps the newest copy there until it is in the way of nothing
    assert exchange("c", 10, [2, 1], [], {"h0": [2], "h1": [1]}, [], full) == [("drop", "h1", 1)]


class Rule5:
    def __init__(self):
        self.left = 1

    def allows(self, now):
        return self.left > 0

    def sent(self):
        self.left -= 1

    def ended(self, now, *, good):
        pass


def test_loads_keep_to_a_ration_of_their_own_inside_rule_5():
    loads, rule = RolloutLoadLimiter(None, 2, SECOND), Rule5()
    loads.ordered()
    loads.ordered()
    assert not loads.may(0) and check_loads(loads) == []
    loads.ended(10)
    assert not loads.may(10 + SECOND - 1) and loads.may(10 + SECOND)
    inside = RolloutLoadLimiter(rule, 2, SECOND)
    inside.ordered()
    assert not inside.may(0) and own(8) == 2 and own(1) == 1 and own(0) == 0
