"""Attempts that are overdue."""

from helpers import (
    Drive,
    gateway,
    task,
)

from gaproute import interface as face


def test_attempts_twice_overdue_in_silence_count_against_their_host_at_once():
    made = gateway()
    drive = Drive(made, task(request_class=2))
    host = made.hosts_by_id[drive.sent[0]]
    while not host.overdue:
        drive.late(drive.wishes[-1].until)
    assert host.bad_results == 0
    drive.late(drive.wishes[-1].until)
    assert host.bad_results == 1


def test_an_overdue_attempt_keeps_its_place_and_nothing_else_goes_out():
    made = gateway()
    drive = Drive(made, task())
    while not drive.ended:
        assert not any(isinstance(action, (face.Attempt, face.Cancel)) for action in drive.wishes[1:])
        drive.late(drive.wishes[-1].until)
    assert len(drive.sent) == 1
