"""The CPU time that sending and storing observations may take."""

from helpers import MILLI

from gaproute.decisions.reports.cpu_budget import CPU_BURST, CPU_SHARE, MIN_SLICE_INTERVAL, CpuBudget


def test_telling_takes_a_share_of_the_time_and_a_small_burst():
    budget = CpuBudget(0)
    assert budget.allows_slice(0)
    budget.deduct(0, CPU_BURST + MILLI)
    assert not budget.allows_slice(0)
    assert not budget.allows_slice(round(0.9 * MILLI / CPU_SHARE))
    assert budget.allows_slice(budget.retry_delay(0) + MILLI)


def test_two_slices_are_never_told_on_end():
    budget = CpuBudget(0)
    budget.deduct(0, MILLI)
    assert not budget.allows_slice(MIN_SLICE_INTERVAL - 1)
    assert budget.allows_slice(MIN_SLICE_INTERVAL)


def test_those_put_off_come_again_one_after_the_other():
    budget = CpuBudget(0)
    budget.deduct(0, MILLI)
    assert [budget.retry_delay(0) for _ in range(3)] == [
        MIN_SLICE_INTERVAL,
        2 * MIN_SLICE_INTERVAL,
        3 * MIN_SLICE_INTERVAL,
    ]
    budget.deduct(0, 2 * CPU_BURST)
    waits = [budget.retry_delay(0) for _ in range(3)]
    assert waits[0] > 1000 * MILLI
    assert waits[2] - waits[1] == waits[1] - waits[0] == 100 * MILLI
