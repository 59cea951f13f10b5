"""What control parts may send together in any second."""

from gaproute.decisions.chance import Chance
from gaproute.shared.control_budget import (
    LIMIT,
    MOST,
    RESERVED,
    SECOND,
    ControlBudget,
    ControlPart,
    SecondWindow,
)

MEMBERSHIP, TABLE, SERVING, DEMAND = (
    ControlPart.MEMBERSHIP,
    ControlPart.TABLE,
    ControlPart.SERVING,
    ControlPart.DEMAND,
)


def test_a_window_holds_the_bytes_of_the_last_second():
    window = SecondWindow()
    for number in range(10):
        window.add(number * SECOND // 10, 100)
    assert window.spent(SECOND - 1) == 1_000 and window.spent(SECOND) == 900
    assert window.wait(SECOND, 900) == 0 and window.wait(SECOND, 700) == 2 * SECOND // 10
    assert window.spent(5 * SECOND) == 0 and not window.sent


def test_what_others_reserved_is_kept_free_until_it_was_sent():
    budget = ControlBudget()
    assert budget.room(0, DEMAND) == LIMIT - RESERVED[MEMBERSHIP] - RESERVED[TABLE]
    budget.spend(0, TABLE, RESERVED[TABLE])
    assert budget.room(0, DEMAND) == LIMIT - RESERVED[MEMBERSHIP] - RESERVED[TABLE]
    budget.spend(0, TABLE, 100)
    assert budget.room(0, DEMAND) == LIMIT - RESERVED[MEMBERSHIP] - RESERVED[TABLE] - 100
    budget.spend(0, DEMAND, 500)
    assert budget.room(0, TABLE) == LIMIT - RESERVED[MEMBERSHIP] - RESERVED[TABLE] - 100 - 500
    assert budget.room(2 * SECOND, TABLE) == LIMIT - RESERVED[MEMBERSHIP]


def test_a_reservation_ends_with_its_time():
    budget = ControlBudget()
    free = budget.room(0, DEMAND)
    budget.reserve(SERVING, 1_000, SECOND)
    assert budget.room(0, DEMAND) == free - 1_000 and budget.room(SECOND, DEMAND) == free


def test_answers_have_a_bound_of_their_own_and_a_wait_until_they_are_below_it():
    budget = ControlBudget()
    assert budget.wait(0, SERVING, MOST[SERVING]) == 0
    budget.spend(0, SERVING, 1_000)
    assert budget.room(0, SERVING) == MOST[SERVING] - 1_000
    assert budget.wait(SECOND // 4, SERVING, MOST[SERVING]) == 3 * SECOND // 4


def test_no_second_is_above_the_limit_whoever_sends_when():
    chance, budget, window, greatest = Chance(5), ControlBudget(), SecondWindow(), 0
    for _ in range(20_000):
        now = len(window.sent) and window.sent[-1][0]
        now += chance.below(SECOND // 30)
        part, amount = ControlPart(chance.below(len(ControlPart))), 30 + chance.below(1_500)
        if chance.below(20) == 0:
            budget.reserve(SERVING, MOST[SERVING], now + SECOND)
        window.spent(now)
        if part == MEMBERSHIP:
            amount = min(amount, RESERVED[MEMBERSHIP])
            if not budget.within_reserved(now, part, amount):
                continue
        elif budget.wait(now, part, amount):
            continue
        budget.spend(now, part, amount)
        window.add(now, amount)
        greatest = max(greatest, window.spent(now))
    assert LIMIT * 9 // 10 < greatest <= LIMIT
    assert all(len(each.sent) < 200 for each in budget.windows.values())
