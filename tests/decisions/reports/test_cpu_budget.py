"""The limit of the CPU time for sending and storing observations."""

from helpers import MILLI

from gaproute.decisions.reports.cpu_budget import CPU_BURST, CPU_SHARE, MIN_SLICE_INTERVAL, CpuBudget


def test_slices_take_a_share_of_the_elapsed_time_after_a_small_burst():
    budget = CpuBudget(0)
    assert budget.allows_slice(0)
    budget.deduct(0, CPU_BURST + MILLI)
    assert not budget.allows_slice(0)
    assert not budget.allows_slice(round(0.9 * MILLI / CPU_SHARE))
    assert budget.allows_slice(budget.retry_delay(0) + MILLI)


def test_slices_have_a_minimum_interval():
    budget = CpuBudget(0)
    budget.deduct(0, MILLI)
    assert not budget.allows_slice(MIN_SLICE_INTERVAL - 1)
    assert budget.allows_slice(MIN_SLICE_INTERVAL)


def test_requests_that_are_put_off_retry_one_after_the_other():
    budget = CpuBudget(0)
    budget.deduct(0, MILLI)
    assert [budget.retry_delay(0) for _ in range(3)] == [
        MIN_SLICE_INTERVAL,
        2 * MIN_SLICE_INTERVAL,
        3 * MIN_SLICE_INTERVAL,
    ]
    budget.deduct(0, 2 * CPU_BURST)
    delays = [budget.retry_delay(0) for _ in range(3)]
    assert delays[0] > 1000 * MILLI
    assert delays[2] - delays[1] == delays[1] - delays[0] == 100 * MILLI
