"""The calendar of idle deadlines."""

from hypothesis import given
from hypothesis import strategies as st

from gaproute.connections import Calendar
from gaproute.connections.calendar import SLOT_WIDTH_NS
from gaproute.http1 import Limits

MILLI, SECOND = 1_000_000, 1_000_000_000
HEAD = b"GET / HTTP/1.1\r\nHost: g\r\n\r\n"
LIMITS = Limits(idle_time=60 * SECOND)


@given(st.lists(st.integers(1, 10**9), max_size=60), st.lists(st.integers(0, 5 * 10**8), max_size=20))
def test_nothing_is_taken_early_nothing_is_lost_and_little_late(dues, steps):
    calendar, now, taken = Calendar(), 0, []
    for number, due in enumerate(dues):
        calendar.add(number, due)
    for step in [*steps, 2 * 10**9]:
        now += step
        for thing, _ in calendar.take_due(now, 1000):
            assert dues[thing] <= now
            taken.append(thing)
        assert all(due + SLOT_WIDTH_NS > now for number, due in enumerate(dues) if number not in taken)
    assert sorted(taken) == list(range(len(dues)))
    assert calendar.next_due() is None
    assert not calendar.slots


def test_no_more_are_taken_at_once_than_asked_for_and_the_rest_come_next():
    calendar = Calendar()
    for number in range(10):
        calendar.add(number, 5)
    assert [thing for thing, _ in calendar.take_due(SECOND, 4)] == [0, 1, 2, 3]
    assert len(calendar.take_due(SECOND, 100)) == 6


@given(st.lists(st.integers(1, 10**9), min_size=1, max_size=60))
def test_the_first_are_those_that_are_due_first_and_stay(dues):
    calendar = Calendar()
    for number, due in enumerate(dues):
        calendar.add(number, due)
    first = calendar.earliest(5)
    slots = sorted(calendar.slot_of(due) for due in dues)
    assert sorted(calendar.slot_of(dues[thing]) for thing in first) == slots[:5]
    assert len(calendar.take_due(2 * 10**9, 1000)) == len(dues)
