"""Host lists of cells followed from sources: the followed cells, the bounds and the hosts in force."""

import socket

import pytest
from followed_cells import SECOND, event, host, hosts

from gaproute.appliance.followed_lists import MAX_FOLLOWED_CELLS, MAX_FOLLOWED_HOSTS, MAX_LOGGED_REJECTIONS
from gaproute.loop import Stream
from gaproute.standins.platform.host_list import member

# Which cells


def test_only_the_set_cells_are_followed_and_the_list_of_a_cell_set_again_is_fetched_again(followed_cells):
    cells = followed_cells(zones={"a1": "a"})
    source = cells.sources[0]
    source.publish("b1", *hosts("yz"))
    cells.start(a1=hosts("wx"))
    assert (cells.host_names("a1"), cells.host_names("b1"), source.poll_counts) == ("wx", "", {"a1": 1})
    cells.lists.set_cells({"a1": "a", "b1": "b"})
    cells.until(lambda: cells.host_names("b1") == "yz")
    cells.lists.set_cells({"b1": "b"})
    cells.until(lambda: source.follower_count("a1") == 0)
    assert cells.lists_in_force == {"b1": {"y": "active", "z": "active"}}
    source.publish("a1", host("w", "gone"))
    cells.lists.set_cells({"a1": "a", "b1": "b"})
    cells.until(lambda: cells.host_names("a1") == "x")
    assert source.poll_counts == {"a1": 2, "b1": 1}
    assert cells.source_changes == []
    assert cells.rejected_count == 0


def test_only_events_that_change_a_list_are_reported(followed_cells):
    cells = followed_cells()
    cells.start(a1=hosts("wx"), b1=hosts("y"))
    source, changes_before = cells.sources[0], cells.change_count
    source.publish("a1", host("w", "draining"))
    cells.until(lambda: cells.lists_in_force["a1"] == {"w": "draining", "x": "active"})
    source.publish("a1", host("w", "draining"))
    source.publish("b1", host("y"))
    cells.advance(SECOND)
    assert cells.change_count == changes_before + 1
    source.publish("a1", host("w", "gone"))
    cells.until(lambda: cells.lists_in_force["a1"] == {"x": "active"})


def test_the_numbers_of_followed_cells_and_of_hosts_in_all_lists_are_bounded(followed_cells):
    cell_names = [f"c{number}" for number in range(MAX_FOLLOWED_CELLS + 6)]
    cells = followed_cells(zones=dict.fromkeys(cell_names, "a"))
    for number, cell in enumerate(cell_names):
        cells.sources[0].publish(cell, member(f"h{number}", f"127.0.0.1:{number + 1}", zone=""))
    cells.lists.set_cells(cells.zones)
    cells.until(lambda: len(cells.lists_in_force) == MAX_FOLLOWED_CELLS)
    assert set(cells.lists.followed) == set(cells.lists_in_force) == set(cell_names[:MAX_FOLLOWED_CELLS])
    templates = [member(f"n{number}", f"127.0.1.1:{number + 1}", zone="a") for number in range(1_200)]
    for number, cell in enumerate(cell_names[:3]):
        members = [
            dict(template, id=f"{template['id']}-{number}", host_port=f"127.0.{number}.2:{place + 1}")
            for place, template in enumerate(templates)
        ]
        cells.sources[0].publish(cell, *members)
    cells.advance(SECOND)
    sizes = [len(cells.lists_in_force.get(cell, ())) for cell in cell_names[:3]]
    assert sizes[0] == 1_024
    assert sum(map(len, cells.lists_in_force.values())) <= MAX_FOLLOWED_HOSTS
    assert cells.rejected_count > 1_000
    assert len(cells.rejected) <= 4 * MAX_LOGGED_REJECTIONS + MAX_FOLLOWED_CELLS


# Conflicting and invalid hosts


def test_a_host_that_moves_is_rejected_in_its_new_cell_until_the_old_cell_removes_it(followed_cells):
    cells = followed_cells()
    cells.start(a1=hosts("wx"), b1=hosts("y"))
    source = cells.sources[0]
    source.publish("b1", host("x"), host("z"))
    cells.until(lambda: cells.host_names("b1") == "yz")
    assert cells.host_names("a1") == "wx"
    assert [(rejected.cell, rejected.host) for rejected in cells.rejected] == [("b1", "x")]
    source.publish("a1", host("x", "draining"))
    cells.until(lambda: cells.lists_in_force["a1"]["x"] == "draining")
    source.publish("a1", host("x", "gone"))
    cells.until(lambda: cells.host_names("b1") == "xyz")
    assert cells.host_names("a1") == "w"
    assert cells.rejected_count == 1


def test_a_host_drains_even_if_its_member_is_invalid_otherwise(followed_cells):
    cells = followed_cells()
    cells.start(a1=hosts("wx"), b1=hosts("y"))
    source = cells.sources[0]
    source.publish("a1", host("w", "draining", zone="moon"))
    source.publish("a1", host("x", "draining") | {"host_port": "nowhere"})
    source.publish("b1", host("y", "draining") | {"size": "large"})
    cells.until(lambda: cells.lists_in_force["b1"] == {"y": "draining"})
    assert cells.lists_in_force["a1"] == {"w": "draining", "x": "draining"}
    assert cells.rejected_count == 3
    source.publish("a1", host("w", "gone", zone="moon"), {"id": "x", "phase": "Gone"})
    cells.until(lambda: cells.host_names("a1") == "")


@pytest.mark.parametrize(
    "invalid_member",
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
def test_an_invalid_member_affects_no_other_and_is_reported_once(followed_cells, invalid_member):
    cells = followed_cells()
    cells.start(a1=hosts("wx"), b1=hosts("y"))
    for seq, state in enumerate(("draining", "active", "draining"), 2):
        members = [invalid_member, host("w", state), host("v")]
        cells.sources[0].send("a1", event(seq, members, complete=False))
        cells.until(lambda state=state: cells.lists_in_force["a1"]["w"] == state)
    assert cells.host_names("a1") == "vwx"
    assert len(cells.rejected) == 1
    assert cells.rejected_count >= 1
    cells.advance(SECOND)
    assert cells.source_changes == []


def test_a_complete_list_without_hosts_leaves_the_last_good_list_in_force(followed_cells):
    cells = followed_cells()
    cells.start(a1=hosts("wx"), b1=hosts("y"))
    cells.sources[0].send("a1", event(9, []))
    cells.until(lambda: cells.rejected_count == 1)
    assert cells.host_names("a1") == "wx"
    assert cells.rejected[0].reason == "a complete list without hosts"


def test_after_a_stall_waiting_events_are_applied_before_waiting_requests(followed_cells):
    cells = followed_cells(zones={"a1": "a"})
    cells.start(a1=hosts("wx"))
    gateway_end, client_end = socket.socketpair()
    gateway_end.setblocking(False)
    before, states_at_request = cells.lists_in_force, []
    stream = Stream(
        cells.loop,
        gateway_end,
        lambda data: states_at_request.append(cells.lists_in_force["a1"]["w"]),
        lambda error: None,
    )
    client_end.send(b"a call")
    cells.sources[0].publish("a1", host("w", "draining"))
    assert cells.lists_in_force is before  # neither the event nor the request has been read yet
    cells.clock.now += 3 * SECOND
    cells.until(lambda: states_at_request)
    assert states_at_request == ["draining"]
    stream.abort()
    client_end.close()
