"""Hosts by the host list."""

from helpers import (
    Drive,
    gateway,
    row,
    task,
)

from gaproute.interface import Result


def test_a_host_missing_from_a_whole_list_is_gone():
    made = gateway()
    made.update_hosts(1, [row("a")], complete=True)
    assert [worker.id for worker in made.hosts_by_id.values() if worker.active] == ["a"]


def test_a_host_that_left_the_list_is_forgotten_once_nothing_is_out_to_it():
    made = gateway(row("a"), row("b"))
    drive = Drive(made, task())
    held = drive.sent[0]
    made.update_hosts(1, [row("a" if held == "b" else "b")], complete=True)
    made.forget_departed_hosts()
    assert held in made.hosts_by_id, "its answer is still to be recorded"
    assert held in made.functions_by_name["f"].last_used
    drive.hears(2, Result.OK)
    made.forget_departed_hosts()
    assert held not in made.hosts_by_id
    assert held not in made.functions_by_name["f"].last_used
    assert held not in made.functions_by_name["f"].proven_at
    assert Drive(made, task("u")).sent[0] != held


def test_a_thousand_hosts_replaced_leave_no_trace():
    made = gateway(row("a"))
    for number in range(1000):
        made.update_hosts(number, [row(f"h{number}")], complete=True)
        made.forget_departed_hosts()
    assert list(made.hosts_by_id) == ["h999"]
