"""The stand-in change log on one loop, read by the gateway's own follower."""

import msgspec
import pytest
from helpers import makers

from gaproute.decisions.chance import RandomGenerator
from gaproute.discovery.changelog.watcher import ChangeLogWatcher
from gaproute.standins.platform.change_log import ChangeLogServer
from gaproute.standins.platform.host_list import VersionedHostList, member
from tests.standins.test_platform_host import ANY, MILLI, Bench


@pytest.fixture
def bench():
    for make in makers(Bench):
        yield make()


def follow(bench, where, last):
    events = []
    follower = ChangeLogWatcher(bench.loop, where, last, events.append, RandomGenerator(1))
    bench.closing.append(follower.close)
    return follower, events


def changelog(bench, gateways):
    made, listing = (
        ChangeLogServer(bench.loop, [ANY] * gateways, bench.tap, bench.said.append),
        VersionedHostList(),
    )
    bench.closing += [feed.close for feed in made.feeds]
    made.command(listing.change(member("h", "127.0.0.1:9")))
    return made, listing


def drain(made, listing):
    made.command(listing.change(member("h", "127.0.0.1:9", "draining")))


def test_each_gateway_gets_each_event_and_one_that_is_withheld_counts_once_it_is_sent(bench):
    made, listing = changelog(bench, 2)
    events = [follow(bench, where, 1)[1] for where in bench.said[0]["addresses"]]
    bench.until(lambda: len(bench.seen("asked")) == 2)
    made.command({"trouble": "hold", "gateways": [1]})
    drain(made, listing)
    bench.until(lambda: events[0])
    assert not events[1]
    assert [event["gateway"] for event in bench.seen("told", state="draining")] == [0]
    made.command({"trouble": "hold", "on": False, "gateways": [1]})
    bench.until(lambda: events[1])
    assert [event["gateway"] for event in bench.seen("told", state="draining")] == [0, 1]
    assert msgspec.json.decode(events[1][0].fleet.members[0])["phase"] == "Terminating"


def test_a_late_event_counts_when_it_is_sent(bench):
    made, listing = changelog(bench, 1)
    _, events = follow(bench, bench.said[0]["address"], 1)
    bench.until(lambda: bench.seen("asked"))
    made.command({"trouble": "late", "by": 60 * MILLI})
    began = bench.loop.now()
    drain(made, listing)
    bench.until(lambda: events)
    assert bench.seen("told", state="draining")[0]["at"] - began >= 60 * MILLI


@pytest.mark.parametrize("trouble", ["silent", "off", "elsewhere"])
def test_on_a_dead_way_an_event_counts_after_a_while(bench, trouble):
    made, listing = changelog(bench, 1)
    made.command({"trouble": trouble, "counts": 150 * MILLI})
    drain(made, listing)
    for _ in range(3):
        made.feeds[0].upkeep()
    assert not bench.seen("told", state="draining")
    bench.rest(160 * MILLI)
    made.feeds[0].upkeep()
    assert len(bench.seen("told", state="draining")) == 1


def test_a_log_that_has_moved_is_followed_from_the_last_number(bench):
    made, listing = changelog(bench, 1)
    follower, events = follow(bench, bench.said[0]["address"], 1)
    bench.until(lambda: bench.seen("asked"))
    made.command({"do": "move"})
    drain(made, listing)
    assert bench.said[-1]["address"] != bench.said[0]["address"]
    follower.set_address(bench.said[-1]["address"])
    bench.until(lambda: events)
    assert [event.seq for event in events] == [2]
    assert bench.seen("asked")[-1]["last"] == 1


def test_the_whole_list_at_any_time_leaves_out_what_has_gone():
    listing = VersionedHostList()
    listing.change(member("a", ANY), member("b", ANY))
    listing.change(member("a", ANY, "gone"))
    known = listing.snapshot()
    assert known["seq"] == 2
    assert [each["id"] for each in known["results"][0]["fleet"]["members"]] == ["b"]
