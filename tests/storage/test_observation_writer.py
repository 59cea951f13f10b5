"""The writer of observations: its writes, their CPU budget, and the observations that the next run reads."""

import itertools

import pytest
from helpers import MILLI, SECOND, gateway
from observation_stores import OUTAGES

from gaproute.appliance.observation_writer import MAX_ROWS_PER_WRITE, ObservationWriter
from gaproute.appliance.status import warm_instances
from gaproute.decisions.reports.cpu_budget import MIN_SLICE_INTERVAL, SLICE_CPU_TIME
from gaproute.decisions.reports.host_history import HostHistory
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.loop.polling import SteppedClock
from gaproute.storage.observation_store import MIN_BACKOFF


def front_address(appliance):
    return parse_address(appliance.fronts[0].address)


def test_a_gateway_whose_store_is_unavailable_at_its_start_serves_and_writes_later(fleet, tmp_path, disk):
    made, start = fleet
    disk.set_fault(*OUTAGES[0])
    gateway_alone = start("alone", f"memory {tmp_path / 'g.memory'}", listen=False)
    made.at = front_address(gateway_alone)
    assert made.wait(made.ask("lamp", "w1")).status == 200
    store = gateway_alone.peers.observation_writer.store
    made.until(lambda: store.backoff > MIN_BACKOFF)  # a second attempt has failed
    disk.fault = None
    assert made.wait(made.ask("lamp", "w2")).status == 200
    made.until(lambda: any(subject[0] == "warm" for subject, _, _ in store.read(99)))
    assert [what for what, _ in gateway_alone.record.events].count("observation_store_unavailable") == 1


def test_observations_of_failed_writes_are_written_by_the_first_write_that_succeeds(open_store, disk):
    clock = SteppedClock()
    clock.wall = 10**18
    loop = Loop(clock)
    writer = ObservationWriter(loop, open_store(clock), gateway(), HostHistory(), ("t",), lambda: 0)

    def run(span):
        end = clock.now + span
        loop.call_at(end, lambda: None)
        while clock.now < end:
            loop.turn()
        return {subject[1] for subject, _, _ in writer.store.read(9)}

    hosts = {"h1": ("active", 5)}
    writer.host_history.update(clock.now, hosts)
    assert run(SECOND) == {"h1"}
    disk.set_fault(*OUTAGES[0])
    writer.host_history.update(clock.now + 1, hosts | {"h2": ("active", 6)})
    assert run(2 * SECOND) == set()
    assert writer.store.failed
    disk.fault = None
    assert run(writer.store.retry_at - clock.now + SECOND // 2 + 1) == {"h1", "h2"}
    writer.close()
    loop.close()


def test_a_gateway_without_peers_restores_the_observations_of_its_earlier_run(fleet, tmp_path):
    made, start = fleet
    line = f"memory {tmp_path / 'g.memory'}"
    first = start("alone", line, listen=False)
    made.at = front_address(first)
    assert made.wait(made.ask("lamp", "w1")).status == 200
    made.until(lambda: first.peers.observation_writer.store.written >= 1)
    first.close()
    loads = len(made.seen("loaded"))
    second = start("alone", line, listen=False)
    assert second.peers.observations.by_subject
    assert [row["by"] for row in warm_instances(second)] == ["past life"]
    made.at = front_address(second)
    assert made.wait(made.ask("lamp", "w2")).status == 200
    assert len(made.seen("loaded")) == loads
    known = second.core.gateway
    assert known.answer_times.load_times or known.functions_by_name["lamp"].answer_times


def test_a_gateway_whose_store_has_no_directory_serves(fleet):
    made, start = fleet
    gateway_alone = start("alone", "memory /nowhere/at/all", listen=False)
    made.at = front_address(gateway_alone)
    assert made.wait(made.ask("lamp", "w1")).status == 200
    assert any(what == "observation_store_unavailable" for what, _ in gateway_alone.record.events)


@pytest.fixture
def writer(open_store):
    """A writer on a stepped clock, whose CPU time is the next value of `ticks` at each reading."""
    loop = Loop(SteppedClock())
    writer = ObservationWriter(
        loop, open_store(), gateway(), HostHistory(), ("t",), lambda: next(writer.ticks)
    )
    writer.ticks = itertools.repeat(0)
    yield writer
    writer.close()
    loop.close()


def warm_observations(count):
    return iter([(("warm", "x", f"f{number}"), (4, 0), SECOND) for number in range(count)])


def test_writing_is_limited_to_its_share_of_cpu_time(writer):
    writer.cpu_budget.available_cpu_time = -5 * MILLI
    assert writer.write_slice(warm_observations(1)) is False
    assert writer.store.written == 0
    writer.cpu_budget.available_cpu_time = 5 * MILLI
    assert writer.write_slice(warm_observations(1))
    assert writer.store.written == 1


def test_a_slice_ends_at_its_cpu_time_or_row_limit_and_the_next_one_continues(writer):
    writer.ticks = itertools.count(0, SLICE_CPU_TIME // 20)
    observations = warm_observations(30)
    assert not writer.write_slice(observations)
    assert writer.store.written == 11
    writer.ticks = itertools.repeat(0)
    assert not writer.write_slice(observations)
    assert writer.store.written == 11
    writer.loop.clock.now += MIN_SLICE_INTERVAL
    assert writer.write_slice(observations)
    assert writer.store.written == 30
    writer.loop.clock.now += MIN_SLICE_INTERVAL
    assert not writer.write_slice(warm_observations(2 * MAX_ROWS_PER_WRITE))
    assert writer.store.written == 30 + MAX_ROWS_PER_WRITE
