"""Host lists of cells followed from sources: which cells, in what bounds, which hosts come into force."""

import socket

import pytest
from followed_cells import SECOND, event, host, hosts

from gaproute.appliance.followed_lists import MAX_CELLS, MAX_HOSTS_FOLLOWED, MAX_LOGGED_REJECTIONS
from gaproute.loop import Stream
from gaproute.standins.platform.host_list import member

# Which cells


def test_only_wanted_cells_are_followed_and_a_cell_let_go_is_fetched_anew(followed_cells):
    made = followed_cells(zones={"a1": "a"})
    source = made.sources[0]
    source.publish("b1", *hosts("yz"))
    made.begin(a1=hosts("wx"))
    assert (made.names("a1"), made.names("b1"), source.poll_counts) == ("wx", "", {"a1": 1})
    made.lists.set_cells({"a1": "a", "b1": "b"})
    made.until(lambda: made.names("b1") == "yz")
    made.lists.set_cells({"b1": "b"})
    made.until(lambda: source.follower_count("a1") == 0)
    assert made.lists_in_force == {"b1": {"y": "active", "z": "active"}}
    source.publish("a1", host("w", "gone"))
    made.lists.set_cells({"a1": "a", "b1": "b"})
    made.until(lambda: made.names("a1") == "x")
    assert source.poll_counts == {"a1": 2, "b1": 1}
    assert made.failures == []
    assert made.count == 0


def test_a_change_is_reported_by_host_and_nothing_is_reported_that_changes_nothing(followed_cells):
    made = followed_cells()
    made.begin(a1=hosts("wx"), b1=hosts("y"))
    source, adoptions = made.sources[0], made.adoptions
    source.publish("a1", host("w", "draining"))
    made.until(lambda: made.lists_in_force["a1"] == {"w": "draining", "x": "active"})
    source.publish("a1", host("w", "draining"))
    source.publish("b1", host("y"))
    made.passes(SECOND)
    assert made.adoptions == adoptions + 1
    source.publish("a1", host("w", "gone"))
    made.until(lambda: made.lists_in_force["a1"] == {"x": "active"})


def test_cells_followed_and_hosts_of_all_lists_are_bounded(followed_cells):
    cells = [f"c{number}" for number in range(MAX_CELLS + 6)]
    made = followed_cells(zones=dict.fromkeys(cells, "a"))
    for number, cell in enumerate(cells):
        made.sources[0].publish(cell, member(f"h{number}", f"127.0.0.1:{number + 1}", zone=""))
    made.lists.set_cells(made.zones)
    made.until(lambda: len(made.lists_in_force) == MAX_CELLS)
    assert set(made.lists.followed) == set(made.lists_in_force) == set(cells[:MAX_CELLS])
    many = [member(f"n{number}", f"127.0.1.1:{number + 1}", zone="a") for number in range(1_200)]
    for number, cell in enumerate(cells[:3]):
        members = [
            dict(each, id=f"{each['id']}-{number}", host_port=f"127.0.{number}.2:{place + 1}")
            for place, each in enumerate(many)
        ]
        made.sources[0].publish(cell, *members)
    made.passes(SECOND)
    sizes = [len(made.lists_in_force.get(cell, ())) for cell in cells[:3]]
    assert sizes[0] == 1_024
    assert sum(map(len, made.lists_in_force.values())) <= MAX_HOSTS_FOLLOWED
    assert made.count > 1_000
    assert len(made.refused) <= 4 * MAX_LOGGED_REJECTIONS + MAX_CELLS


# Hosts that do not go together


def test_a_host_that_moves_is_refused_in_the_one_cell_until_the_other_lets_go(followed_cells):
    made = followed_cells()
    made.begin(a1=hosts("wx"), b1=hosts("y"))
    source = made.sources[0]
    source.publish("b1", host("x"), host("z"))
    made.until(lambda: made.names("b1") == "yz")
    assert made.names("a1") == "wx"
    assert [(each.cell, each.host) for each in made.refused] == [("b1", "x")]
    source.publish("a1", host("x", "draining"))
    made.until(lambda: made.lists_in_force["a1"]["x"] == "draining")
    source.publish("a1", host("x", "gone"))
    made.until(lambda: made.names("b1") == "xyz")
    assert made.names("a1") == "w"
    assert made.count == 1


def test_a_drain_is_heard_of_a_host_that_is_refused_otherwise(followed_cells):
    made = followed_cells()
    made.begin(a1=hosts("wx"), b1=hosts("y"))
    source = made.sources[0]
    source.publish("a1", host("w", "draining", zone="moon"))
    source.publish("a1", host("x", "draining") | {"host_port": "nowhere"})
    source.publish("b1", host("y", "draining") | {"size": "large"})
    made.until(lambda: made.lists_in_force["b1"] == {"y": "draining"})
    assert made.lists_in_force["a1"] == {"w": "draining", "x": "draining"}
    assert made.count == 3
    source.publish("a1", host("w", "gone", zone="moon"), {"id": "x", "phase": "Gone"})
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
def test_a_wrong_member_spoils_no_other_and_is_reported_once(followed_cells, wrong):
    made = followed_cells()
    made.begin(a1=hosts("wx"), b1=hosts("y"))
    for seq, state in enumerate(("draining", "active", "draining"), 2):
        members = [wrong, host("w", state), host("v")]
        made.sources[0].send("a1", event(seq, members, complete=False))
        made.until(lambda state=state: made.lists_in_force["a1"]["w"] == state)
    assert made.names("a1") == "vwx"
    assert len(made.refused) == 1
    assert made.count >= 1
    made.passes(SECOND)
    assert made.failures == []


def test_a_whole_list_without_hosts_leaves_the_last_good_one(followed_cells):
    made = followed_cells()
    made.begin(a1=hosts("wx"), b1=hosts("y"))
    made.sources[0].send("a1", event(9, []))
    made.until(lambda: made.count == 1)
    assert made.names("a1") == "wx"
    assert made.refused[0].reason == "a complete list without hosts"


def test_after_a_stop_news_of_hosts_comes_before_the_calls_that_came_meanwhile(followed_cells):
    made = followed_cells(zones={"a1": "a"})
    made.begin(a1=hosts("wx"))
    near, far = socket.socketpair()
    near.setblocking(False)
    before, seen = made.lists_in_force, []
    stream = Stream(
        made.loop, near, lambda data: seen.append(made.lists_in_force["a1"]["w"]), lambda error: None
    )
    far.send(b"a call")
    made.sources[0].publish("a1", host("w", "draining"))
    assert made.lists_in_force is before  # neither has been read yet
    made.clock.now += 3 * SECOND
    made.until(lambda: seen)
    assert seen == ["draining"]
    stream.abort()
    far.close()
