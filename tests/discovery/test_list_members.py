"""Members of the change log and lines of the host list: starts that make no sense, members that are wrong."""

import pytest
from scripted import SECOND

from gaproute.config import read_hosts
from gaproute.discovery.changelog import events
from gaproute.discovery.changelog.members import MemberConverter
from gaproute.discovery.host_lines import HostLineConverter
from gaproute.loop import Loop
from gaproute.standins.platform import event, sse


def test_one_wrong_member_spoils_neither_the_others_nor_the_number(follow):
    watch_event = event(2, *[(f"s-{place}", f"127.0.0.1:{place}", "Ready") for place in (1, 2, 3)])
    watch_event["fleet"]["members"][0]["host_port"] = 5
    watch_event["fleet"]["members"][1]["size"] = "4"
    seen = []
    made = follow(lambda last: sse(watch_event) if last == 1 else b"", last=1)
    made.follower.on_event = seen.append
    made.passes(SECOND)
    assert made.log.came == [1]
    assert made.follower.last_seq == 2
    rows = MemberConverter(made.loop, []).endpoints(seen[0].fleet)
    assert [row.listed.host for row in rows] == ["s-2", "s-3"]


def listed(converter, *members, complete=False, **fields):
    """What the converter makes of members, by id; `fields` is in each of them."""
    change = event(1, *members, complete=complete)
    for member in change["fleet"]["members"]:
        member.update(fields)
    return {
        row.listed.host: row
        for row in converter.endpoints(events.decode_initial_events({"results": [change]})[1][0].fleet)
    }


@pytest.fixture
def converter():
    loop = Loop(lambda: 50 * SECOND)
    yield MemberConverter(loop, ["hall-a"], lambda: 1_000_000 * SECOND)
    loop.close()


@pytest.mark.parametrize(
    ("since", "started"),
    [
        (0, None),
        (-5, None),
        (None, None),
        ("nan", None),
        ("999999000", 49 * SECOND),
        (999_999_000.0, 49 * SECOND),
        (10**15, 50 * SECOND),
        (10**300, 50 * SECOND),
        (1_000_000, (50 + 1000 - 1_000_000) * SECOND),
    ],
    ids=str,
)
def test_a_start_that_makes_no_sense_does_no_harm(converter, since, started):
    row = listed(converter, ("s-1", "127.0.0.1:5", "Ready"), up_since_ms=since)["s-1"]
    assert row.listed.started == started


def test_what_is_kept_of_a_host_goes_with_it(converter):
    hosts = [(f"s-{place}", f"127.0.0.1:{place}", "Ready") for place in range(1, 4)]
    first = listed(converter, *hosts, up_since_ms=999_999_000)
    converter.start_times.wall_clock = lambda: 2_000_000 * SECOND  # a step: no time has passed
    assert listed(converter, *hosts, up_since_ms=999_999_000) == first
    assert listed(converter, hosts[0], up_since_ms=1_999_999_000)["s-1"].listed.started == 50 * SECOND
    listed(converter, ("s-1", "127.0.0.1:1", "Gone"))
    listed(converter, hosts[1], complete=True)
    assert list(converter.endpoints_by_host) == ["s-2"]


def test_a_member_that_cannot_be_read_leaves_its_host_as_it_was(converter):
    first = listed(converter, ("s-1", "127.0.0.1:1", "Ready"), complete=True)
    for wrong in (("s-1", 5, "Ready"), ("s-1", "nowhere", "Ready"), ("s-1", "127.0.0.1:1", "Odd")):
        assert listed(converter, wrong, ("s-7", "127.0.0.1:7", None), complete=True) == {"s-1": first["s-1"]}
    assert converter.rejected_count == 6


def test_a_start_of_the_file_goes_with_its_line():
    loop = Loop(lambda: 50 * SECOND)
    made = HostLineConverter(loop, lambda: 100 * SECOND)
    lines = read_hosts("l", "".join(f"host {name} 127.0.0.1:1 zone z rack r started 90\n" for name in "ab"))
    assert [row.listed.started for row in made.endpoints(lines)] == [40 * SECOND] * 2
    made.endpoints(lines[1:])
    assert list(made.start_times.starts_by_host) == ["b"]
    loop.close()
