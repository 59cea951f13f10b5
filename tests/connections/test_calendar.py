"""The calendar of idle deadlines returns items on time, in order and at most as many as asked for."""

from hypothesis import given
from hypothesis import strategies as st

from gaproute.connections import Calendar
from gaproute.connections.calendar import SLOT_WIDTH_NS
from gaproute.http1 import Limits

MILLI, SECOND = 1_000_000, 1_000_000_000
HEAD = b"GET / HTTP/1.1\r\nHost: g\r\n\r\n"
LIMITS = Limits(idle_timeout=60 * SECOND)


@given(st.lists(st.integers(1, 10**9), max_size=60), st.lists(st.integers(0, 5 * 10**8), max_size=20))
def test_items_are_taken_once_never_early_and_less_than_a_slot_late(dues, steps):
    calendar, now, taken = Calendar(), 0, []
    for number, due in enumerate(dues):
        calendar.add(number, due)
    for step in [*steps, 2 * 10**9]:
        now += step
        for item, _ in calendar.take_due(now, 1000):
            assert dues[item] <= now
            taken.append(item)
        assert all(due + SLOT_WIDTH_NS > now for number, due in enumerate(dues) if number not in taken)
    assert sorted(taken) == list(range(len(dues)))
    assert calendar.next_due() is None
    assert not calendar.slots


def test_take_due_returns_at_most_the_limit_and_the_rest_at_the_next_call():
    calendar = Calendar()
    for number in range(10):
        calendar.add(number, 5)
    assert [item for item, _ in calendar.take_due(SECOND, 4)] == [0, 1, 2, 3]
    assert len(calendar.take_due(SECOND, 100)) == 6


@given(st.lists(st.integers(1, 10**9), min_size=1, max_size=60))
def test_earliest_returns_the_items_of_the_first_slots_without_removing_them(dues):
    calendar = Calendar()
    for number, due in enumerate(dues):
        calendar.add(number, due)
    earliest = calendar.earliest(5)
    slots = sorted(calendar.slot_of(due) for due in dues)
    assert sorted(calendar.slot_of(dues[item]) for item in earliest) == slots[:5]
    assert len(calendar.take_due(2 * 10**9, 1000)) == len(dues)
