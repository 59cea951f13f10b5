"""Overdue attempts."""

from helpers import (
    Drive,
    task,
)
from helpers import gateway as make_gateway

from gaproute import interface


def test_an_attempt_overdue_at_two_checks_counts_as_one_failure_of_its_silent_host():
    gateway = make_gateway()
    drive = Drive(gateway, task(request_class=2))
    host = gateway.hosts_by_id[drive.sent[0]]
    while not host.overdue:
        drive.late(drive.wishes[-1].until)
    assert host.bad_results == 0
    drive.late(drive.wishes[-1].until)
    assert host.bad_results == 1


def test_an_overdue_attempt_is_neither_cancelled_nor_repeated():
    gateway = make_gateway()
    drive = Drive(gateway, task())
    while not drive.ended:
        assert not any(
            isinstance(action, (interface.Attempt, interface.Cancel)) for action in drive.wishes[1:]
        )
        drive.late(drive.wishes[-1].until)
    assert len(drive.sent) == 1
