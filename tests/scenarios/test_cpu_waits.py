"""What a day notes of the time for which its processes wait for a core."""

import os
from types import SimpleNamespace

import pytest
from helpers import ListTap

from gaproute.scenarios import cpu_waits
from gaproute.scenarios.cpu_waits import CpuWaitSampler, read_cpu_wait

MILLI = 1_000_000


class SampledDayDouble:
    """A day with clients of process 10, gateways 0 and 1 of processes 20 and 21; `waited`: by process, ns."""

    def __init__(self):
        self.now = 0
        self.waited = {10: 0, 20: 0, 21: 0}
        self.loop = SimpleNamespace(now=lambda: self.now)
        self.tap = ListTap(lambda: self.now)
        self.clients = SimpleNamespace(processes=[process(10)])
        self.gateways = SimpleNamespace(processes={0: process(20), 1: process(21)})

    def notes(self):
        return [(each["at"], each["since"], each.get("gateway"), each["by"]) for each in self.tap.events]


def process(pid):
    return SimpleNamespace(child=SimpleNamespace(pid=pid))


@pytest.fixture
def day(monkeypatch):
    made = SampledDayDouble()
    monkeypatch.setattr(cpu_waits, "read_cpu_wait", made.waited.get)
    return made


def test_what_each_process_waited_between_two_samples_is_noted(day):
    sampler = CpuWaitSampler(day)
    day.waited[20] = 5 * MILLI  # before the day
    sampler.sample()
    day.now = 20 * MILLI
    day.waited |= {10: 3 * MILLI, 20: 12 * MILLI}
    sampler.sample()
    assert day.notes() == [(20 * MILLI, 0, None, 3 * MILLI), (20 * MILLI, 0, 0, 7 * MILLI)]


def test_short_waits_are_not_noted(day):
    sampler = CpuWaitSampler(day)
    sampler.sample()
    day.waited[21] = MILLI - 1
    sampler.sample()
    assert day.notes() == []


def test_a_gateway_that_was_started_again_is_counted_anew(day):
    sampler = CpuWaitSampler(day)
    sampler.sample()
    del day.waited[20]  # it has ended
    sampler.sample()
    day.gateways.processes[0] = process(22)
    day.waited[22] = 50 * MILLI
    sampler.sample()
    day.waited[22] += 2 * MILLI
    sampler.sample()
    assert day.notes() == [(0, 0, 0, 2 * MILLI)]


def test_the_kernel_tells_the_wait_of_a_process_and_none_of_one_that_has_ended():
    assert read_cpu_wait(os.getpid()) >= 0
    assert read_cpu_wait(2**30) is None
