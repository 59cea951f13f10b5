"""A cluster script: its sets of slots, and every mistake in one go; what its faults mean for the judge."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gaproute.cluster import slot_sets
from gaproute.cluster.address_plan import AddressPlan
from gaproute.cluster.link_faults import allowance_of, late_ways
from gaproute.cluster.links.slots import SlotKind
from gaproute.cluster.script import read_script
from gaproute.cluster.slot_sets import NamedSlot
from gaproute.config import ConfigurationError
from gaproute.judge import DayTerms, HostPlace, RequestClassTerms, judge

MILLI, SECOND = 1_000_000, 1_000_000_000
GATEWAY_SLOTS = [NamedSlot(f"g{number}", SlotKind.GATEWAY, f"hall-{number % 2}") for number in range(10)]
SLOTS = GATEWAY_SLOTS + [
    NamedSlot(f"mh{number:02}", SlotKind.HOST, f"hall-{number % 2}") for number in range(6)
]
HEAD = """day length 6s gateways 3 hosts 2 halls 2
track a pure contract 1s limit 2s
traffic a
"""


@pytest.mark.parametrize(
    ("text", "wanted"),
    [
        ("g3,mh01", ["g3", "mh01"]),
        ("hosts/hall-1", ["mh01", "mh03", "mh05"]),
        ("zone:hall-0,not:hosts", ["g0", "g2", "g4", "g6", "g8"]),
        ("not:gateways,not:mh00", ["mh01", "mh02", "mh03", "mh04", "mh05"]),
    ],
)
def test_a_set_names_slots(text, wanted):
    assert slot_sets.select_names(slot_sets.parse_set(text), SLOTS, random.Random(1)) == wanted


@given(st.integers(0, 99), st.integers(1, 10))
def test_a_share_draws_so_many_the_same_at_each_play(seed, tenths):
    terms = slot_sets.parse_set(f"{tenths / 10}:gateways")
    drawn = slot_sets.select_names(terms, SLOTS, random.Random(seed))
    assert len(drawn) == tenths
    assert drawn == slot_sets.select_names(terms, SLOTS, random.Random(seed))


def test_a_zone_is_one_term_for_the_links_and_one_without_hosts_names_none(tmp_path):
    plan = AddressPlan(script(tmp_path, "cluster wires 1").day, direct=False)
    assert plan.link_terms("gateways/hall-1", SLOTS) == ["zone:gateway/hall-1"]
    assert plan.link_terms("g1", SLOTS) == ["g1"]
    assert plan.link_terms("zone:hall-0", SLOTS) == ["zone:gateway/hall-0", "zone:host/hall-0"]
    assert plan.link_terms("zone:hall-0", GATEWAY_SLOTS) == ["zone:gateway/hall-0"]


def script(folder, *lines):
    file = folder / "a.script"
    file.write_text(HEAD + "\n".join(lines) + "\n")
    return read_script(str(file))


def test_every_mistake_is_reported_at_once_with_its_line(tmp_path):
    wrong = [
        "cluster wires 0",
        "fault cut at 9s for 1s",
        "fault delay at 1s for 1s",
        "fault lose at 1s for 1s to nobody",
        "strike stop on g7 at 1s",
        "strike starve at 1s for 1s",
        "strike clock on gateways",
        "list deaf at 1s for 1s on hosts",
        "strike kill on zone:hall-9 at 1s",
        "fault mend at 1s for 1s",
        "fault double at 1s for 1s what streams",
        "list late for 1s",
    ]
    with pytest.raises(ConfigurationError) as raised:
        script(tmp_path, *wrong)
    lines = [mistake.line for mistake in raised.value.mistakes]
    assert sorted(set(lines)) == list(range(4, 4 + len(wrong)))
    assert sum(line == 8 for line in lines) == 2  # no such gateway, and no span


def test_the_scripts_that_come_with_the_program_can_be_read_as_days_or_clusters(tmp_path):
    assert read_script("small-cluster").cluster.emulators == 1
    assert read_script("fleet-cluster").day.gateways == 200
    assert read_script("short-day").cluster is None
    assert script(tmp_path, "strike kill on g0 at 1s").cluster is not None


TERMS = DayTerms(
    request_classes={"p": RequestClassTerms.from_track("pure", "all", 0)},
    places={"h": HostPlace("z", "r")},
)


def day(*run, gateway=0, at=900):
    """A task of gateway `gateway` that reaches the host at `at` ms; how often rule 3 is broken."""
    arrival = {"at": at * MILLI, "what": "task", "id": "t", "track": "p", "mark": "k", "work": 1}
    end = {
        "at": SECOND,
        "what": "answer",
        "id": "t",
        "track": "p",
        "outcome": "delivered",
        "status": 200,
        "asked": 0,
        "patience": SECOND,
        "gateway": gateway,
    }
    up = {"at": 0, "what": "up", "warm": True}
    return [broken.rule for broken in judge(TERMS, {"mh00": [[up, arrival]]}, [end], run)]


def notified(at, state, gateway):
    return {"at": at * MILLI, "what": "told", "host": "mh00", "state": state, "gateway": gateway}


def test_rule_3_counts_from_when_that_gateway_was_notified():
    run = [
        notified(0, "active", 0),
        notified(0, "active", 1),
        notified(100, "gone", 0),
        notified(800, "gone", 1),
    ]
    assert day(*run) == [3]
    assert day(*run, gateway=1) == []
    assert day(*run, gateway=1, at=1500) == [1, 3]


def test_what_a_fault_may_have_delayed_is_excused_and_nothing_else(tmp_path):
    line = script(tmp_path, "fault hold at 1s for 1s from mh00 to g0 what streams").link_faults[0]
    allowance = allowance_of(line)
    fault = {
        "what": "fault",
        "id": "f",
        "late": allowance.lateness,
        "slack": allowance.after_end,
        **late_ways(line, ["mh00"], ["g0"]),
    }

    def held(begin):
        return [
            notified(0, "gone", 0),
            notified(0, "gone", 1),
            fault | {"on": True, "at": begin * MILLI},
            fault | {"on": False, "at": 850 * MILLI},
        ]

    # sent before the grace was over, for all that the arrival shows; or surely after it
    assert day(*held(400)) == []
    assert day(*held(400), gateway=1) == [3]
    assert day(*held(800)) == [3]
    short = fault | {"late": 20 * MILLI, "on": True, "at": 0}  # a delay, which is on all the time
    assert day(notified(0, "gone", 0), short) == [3]
    assert day(notified(0, "gone", 0), short, at=570) == []
    double = script(tmp_path, "fault double at 1s for 1s").link_faults[0]
    assert "ways" not in late_ways(double, ["mh00"], ["g0"])
