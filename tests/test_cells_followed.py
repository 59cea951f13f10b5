"""Host lists of cells followed from sources: which cells, in what bounds, what a source's faults leave."""

import json
import socket

import pytest
from followed_cells import MILLI, SECOND, FollowedCells, host, hosts
from helpers import makers

from gaproute.appliance.followed_lists import MAX_CELLS, MAX_HOSTS_FOLLOWED, MAX_TOLD
from gaproute.discovery.changelog.cell import FIRST_PAUSE, LONGEST_PAUSE
from gaproute.loop import Listener, Stream
from gaproute.loop.streams import address
from gaproute.standins.cell_source import HEAD, CellSource, Trouble
from gaproute.standins.platform.listing import member


@pytest.fixture
def followed():
    """Makes followed cells and ends them after the test."""
    yield from makers(FollowedCells)


def event(seq, members, complete=True):
    """An event's bytes."""
    told = {"seq": seq, "fleet": {"revision": seq, "complete": complete, "members": members}}
    return b"data: %b\n\n" % json.dumps(told).encode()


# Which cells


def test_only_wanted_cells_are_followed_and_a_cell_let_go_is_fetched_anew(followed):
    made = followed(zones={"a1": "a"})
    source = made.sources[0]
    source.tell("b1", *hosts("yz"))
    made.begin(a1=hosts("wx"))
    assert (made.names("a1"), made.names("b1"), source.asked) == ("wx", "", {"a1": 1})
    made.lists.want({"a1": "a", "b1": "b"})
    made.until(lambda: made.names("b1") == "yz")
    made.lists.want({"b1": "b"})
    made.until(lambda: source.following("a1") == 0)
    assert made.told == {"b1": {"y": "active", "z": "active"}}
    source.tell("a1", host("w", "gone"))
    made.lists.want({"a1": "a", "b1": "b"})
    made.until(lambda: made.names("a1") == "x")
    assert source.asked == {"a1": 2, "b1": 1} and made.troubles == [] and made.count == 0


def test_a_change_is_told_by_host_and_nothing_is_told_that_changes_nothing(followed):
    made = followed()
    made.begin(a1=hosts("wx"), b1=hosts("y"))
    source, tellings = made.sources[0], made.tellings
    source.tell("a1", host("w", "draining"))
    made.until(lambda: made.told["a1"] == {"w": "draining", "x": "active"})
    source.tell("a1", host("w", "draining"))
    source.tell("b1", host("y"))
    made.passes(SECOND)
    assert made.tellings == tellings + 1
    source.tell("a1", host("w", "gone"))
    made.until(lambda: made.told["a1"] == {"x": "active"})


def test_cells_followed_and_hosts_of_all_lists_are_bounded(followed):
    cells = [f"c{number}" for number in range(MAX_CELLS + 6)]
    made = followed(zones=dict.fromkeys(cells, "a"))
    for number, cell in enumerate(cells):
        made.sources[0].tell(cell, member(f"h{number}", f"127.0.0.1:{number + 1}", zone=""))
    made.lists.want(made.zones)
    made.until(lambda: len(made.told) == MAX_CELLS)
    assert set(made.lists.followed) == set(made.told) == set(cells[:MAX_CELLS])
    many = [member(f"n{number}", f"127.0.1.1:{number + 1}", zone="a") for number in range(1_200)]
    for number, cell in enumerate(cells[:3]):
        told = [
            dict(each, id=f"{each['id']}-{number}", host_port=f"127.0.{number}.2:{place + 1}")
            for place, each in enumerate(many)
        ]
        made.sources[0].tell(cell, *told)
    made.passes(SECOND)
    sizes = [len(made.told.get(cell, ())) for cell in cells[:3]]
    assert sizes[0] == 1_024 and sum(map(len, made.told.values())) <= MAX_HOSTS_FOLLOWED
    assert made.count > 1_000 and len(made.refused) <= 4 * MAX_TOLD + MAX_CELLS


# Hosts that do not go together


def test_a_host_that_moves_is_refused_in_the_one_cell_until_the_other_lets_go(followed):
    made = followed()
    made.begin(a1=hosts("wx"), b1=hosts("y"))
    source = made.sources[0]
    source.tell("b1", host("x"), host("z"))
    made.until(lambda: made.names("b1") == "yz")
    assert made.names("a1") == "wx" and [(each.cell, each.host) for each in made.refused] == [("b1", "x")]
    source.tell("a1", host("x", "draining"))
    made.until(lambda: made.told["a1"]["x"] == "draining")
    source.tell("a1", host("x", "gone"))
    made.until(lambda: made.names("b1") == "xyz")
    assert made.names("a1") == "w" and made.count == 1


def test_a_drain_is_heard_of_a_host_that_is_refused_otherwise(followed):
    made = followed()
    made.begin(a1=hosts("wx"), b1=hosts("y"))
    source = made.sources[0]
    source.tell("a1", host("w", "draining", zone="moon"))
    source.tell("a1", host("x", "draining") | {"host_port": "nowhere"})
    source.tell("b1", host("y", "draining") | {"size": "large"})
    made.until(lambda: made.told["b1"] == {"y": "draining"})
    assert made.told["a1"] == {"w": "draining", "x": "draining"} and made.count == 3
    source.tell("a1", host("w", "gone", zone="moon"), {"id": "x", "phase": "Gone"})
    made.until(lambda: made.names("a1") == "")


@pytest.mark.parametrize(
    "wrong",
    [
        {"id": "x"},
        {"id": 7, "host_port": "127.0.0.1:4", "phase": "Ready"},
        host("x") | {"phase": "Asleep"},
        host("x") | {"host_port": "example.org:80"},
        host("x", zone="moon"),
        host("x") | {"id": "../x"},
        host("x") | {"id": "w" * 200},
        host("x") | {"size": 1e300},
        None,
        [[]],
    ],
)
def test_a_wrong_member_spoils_no_other_and_is_told_once(followed, wrong):
    made = followed()
    made.begin(a1=hosts("wx"), b1=hosts("y"))
    for seq, state in enumerate(("draining", "active", "draining"), 2):
        members = [wrong, host("w", state), host("v")]
        made.sources[0].send("a1", event(seq, members, complete=False))
        made.until(lambda state=state: made.told["a1"]["w"] == state)
    assert made.names("a1") == "vwx" and len(made.refused) == 1 and made.count >= 1
    made.passes(SECOND)
    assert made.troubles == []


def test_a_whole_list_without_hosts_leaves_the_last_good_one(followed):
    made = followed()
    made.begin(a1=hosts("wx"), b1=hosts("y"))
    made.sources[0].send("a1", event(9, []))
    made.until(lambda: made.count == 1)
    assert made.names("a1") == "wx" and made.refused[0].reason == "a whole list without hosts"


def test_after_a_stop_news_of_hosts_comes_before_the_calls_that_came_meanwhile(followed):
    made = followed(zones={"a1": "a"})
    made.begin(a1=hosts("wx"))
    near, far = socket.socketpair()
    near.setblocking(False)
    told, seen = made.told, []
    stream = Stream(made.loop, near, lambda data: seen.append(made.told["a1"]["w"]), lambda error: None)
    far.send(b"a call")
    made.sources[0].tell("a1", host("w", "draining"))
    assert made.told is told  # neither has been read yet
    made.clock.now += 3 * SECOND
    made.until(lambda: seen)
    assert seen == ["draining"]
    stream.abort()
    far.close()


# Sources that fail


def test_a_source_killed_while_it_tells_is_followed_again_when_it_comes_back_in_other_numbers(followed):
    made = followed()
    made.begin(a1=hosts("wx"), b1=hosts("y"))
    source = made.sources[0]
    source.trouble = Trouble.TORN
    source.tell("a1", host("w", "draining"))
    source.close()
    made.passes(12 * SECOND)
    assert made.names("a1") == "wx" and made.names("b1") == "y"
    assert sorted(cell for cell, why in made.troubles) == ["a1", "b1"]
    assert made.lists.status()["failing"] == ["a1", "b1"]
    back = CellSource(made.loop, "north", source.address)
    made.sources.append(back)
    back.tell("a1", host("w", "draining"), host("v"))
    back.tell("b1", *hosts("y"))
    made.until(lambda: made.told["a1"] == {"w": "draining", "v": "active"}, LONGEST_PAUSE + SECOND)
    made.until(lambda: made.lists.status()["failing"] == [])
    back.tell("b1", host("y", "draining"))  # number 2, which was never had, after a list that was
    made.until(lambda: made.told["b1"] == {"y": "draining"})
    assert len(made.troubles) == 4 and made.count == 0


def test_a_source_that_kept_its_numbers_tells_only_what_was_missed(followed):
    made = followed()
    made.begin(a1=hosts("wx"), b1=hosts("y"))
    source = made.sources[0]
    source.cut()
    source.tell("a1", host("w", "draining"))
    made.until(lambda: made.told["a1"]["w"] == "draining")
    made.until(lambda: len(source.asked_from) == 4)
    assert sorted(source.asked_from[2:]) == [("a1", 1), ("b1", 1)]


def test_sources_are_tried_in_turn_and_each_tells_its_whole_list(followed):
    made = followed(sources=3)
    made.begin(a1=hosts("wx"), b1=hosts("y"))
    for number in range(3):
        asked = next(source for source in made.sources if source.following("a1"))
        for source in made.sources:
            source.tell("a1", host("w", "draining" if number % 2 == 0 else "active"))
        asked.close()
        made.sources.remove(asked)
        if number < 2:
            made.until(lambda: any(source.following("a1") for source in made.sources), 3 * SECOND)
            assert [last for cell, last in source.asked_from if cell == "a1"][-1] == 0
    made.passes(SECOND)
    assert made.names("a1") == "wx"


@pytest.mark.parametrize("silent", [True, False])
def test_a_source_that_is_silent_or_does_not_know_the_cell_is_left_for_the_next(followed, silent):
    made = followed(sources=2, zones={"a1": "a"})
    for source in made.sources:
        if silent or source is made.sources[0]:
            source.tell("a1", *hosts("wx"))
    if silent:
        made.sources[0].trouble = made.sources[1].trouble = Trouble.SILENT
    made.lists.want(made.zones)
    if silent:
        made.passes(SECOND)
        assert made.told == {}
        made.sources[1].trouble = None
    made.until(lambda: made.names("a1") == "wx", 15 * SECOND)


def test_a_source_of_another_fleet_tells_nothing(followed):
    made = followed(zones={"a1": "a"})
    made.sources[0].fleet = "south"
    made.sources[0].tell("a1", *hosts("wx"))
    made.lists.want(made.zones)
    made.passes(10 * SECOND)
    assert made.told == {} and made.lists.status()["failing"] == ["a1"]
    assert len(made.troubles) == 1 and made.troubles[0][1].endswith("status 404")


def test_gateways_of_one_seed_each_spread_over_sources_and_over_time(followed):
    asked, waits = [0, 0, 0], []
    for seed in range(30):
        made = followed(sources=3, zones={"a1": "a"}, seed=seed)
        made.begin(a1=hosts("wx"))
        for place, source in enumerate(made.sources):
            asked[place] += source.asked["a1"]
        began = made.clock.now
        for source in made.sources:
            source.cut()
        made.until(lambda made=made: made.follower("a1").asked == 2)
        waits.append(made.clock.now - began)
        made.close()
    assert min(asked) >= 5, asked
    assert FIRST_PAUSE // 2 <= min(waits) < 0.65 * FIRST_PAUSE < 0.85 * FIRST_PAUSE < max(waits)
    assert max(waits) <= FIRST_PAUSE + 30 * MILLI


def test_while_no_source_answers_the_tries_become_few(followed):
    made = followed(wheres=["127.0.0.1:1"], zones={"a1": "a"})
    made.lists.want(made.zones)
    made.passes(60 * SECOND)
    assert 8 <= made.follower("a1").asked <= 16 and len(made.troubles) == 1


# Hostile sources


class Hostile:
    """Answers each connection by the bytes that `says` gives, and again with each of its turns."""

    def __init__(self, loop, says):
        self.loop, self.says, self.connections = loop, says, 0
        self.listener = Listener(loop, address("127.0.0.1:0"), self._accept)
        self.address = self.listener.address

    def _accept(self, sock):
        self.connections += 1
        stream = Stream(self.loop, sock, lambda data: None, lambda error: None)

        def say():
            if stream.open:
                for piece in self.says():
                    stream.write(piece)
                self.loop.after(100 * MILLI, say)

        say()


SPEECHES = {
    "trickle without an end": lambda: [b"x"],
    "head without an end": lambda: [b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" * 99],
    "event without an end": lambda: [HEAD, b"data: " + b"[" * 300_000],
    "other status": lambda: [b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"],
    "no http": lambda: [b"SSH-2.0-OpenSSH\r\n"],
    "changes without a list": lambda: [HEAD, event(5, hosts("u"), complete=False)],
    "first change without a list": lambda: [HEAD, event(1, hosts("u"), complete=False)],
    "events that are none": lambda: [HEAD, b"data: {}\n\n", b"data: [1\n\n"],
}


@pytest.mark.parametrize("speech", SPEECHES)
def test_a_hostile_source_leaves_the_last_good_list_and_is_asked_seldom(followed, speech):
    made = followed(zones={"a1": "a"})
    made.begin(a1=hosts("wx"))
    good = made.sources[0]
    hostile = Hostile(made.loop, SPEECHES[speech])
    follower = made.follower("a1")
    follower.sources.append(hostile.address)
    good.close()
    for _ in range(20):
        made.passes(SECOND, 50 * MILLI)
        reader = follower.reader
        assert len(reader.data) + len(reader.rest) + reader.size <= 2 * (1 << 20) + (1 << 16)
    assert made.names("a1") == "wx" and len(made.troubles) == 1
    assert 1 <= hostile.connections <= 12
    hostile.listener.close()


def test_a_flood_of_changes_is_taken_in_no_more_often_than_the_pace(followed):
    made = followed(zones={"a1": "a"})
    made.begin(a1=hosts("wx"))
    before = made.tellings
    for number in range(1_000):
        made.sources[0].tell("a1", host("w", "draining" if number % 2 else "active"))
        if number % 10 == 0:
            made.passes(MILLI, MILLI)
    made.passes(SECOND)
    assert made.told["a1"] == {"w": "draining", "x": "active"}
    assert made.tellings - before <= 6


def test_a_source_that_tells_and_ends_at_once_is_in_trouble_once_and_asked_at_its_pace(followed):
    made = followed(zones={"a1": "a"})
    made.begin(a1=hosts("wx"))
    source = made.sources[0]
    for _ in range(40):
        if source.following("a1"):
            source.cut()
        made.passes(250 * MILLI)
    assert len(made.troubles) == 1 and source.asked["a1"] <= 1 + 10 * SECOND // (FIRST_PAUSE // 2)
    made.until(lambda: made.troubles[-1] == ("a1", None), 5 * SECOND)
