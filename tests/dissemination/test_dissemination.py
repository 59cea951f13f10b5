"""A few hundred gateways on a simulated network: how soon all have a change, and how many bytes they send."""

import pytest

from benchmarks.scale.dissemination_fleet import DisseminationFleet
from benchmarks.scale.stub_document import FLEET, WHOLE_BYTES, change_from
from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination import bounds
from gaproute.shared.dissemination.invariants import check
from gaproute.shared.dissemination.messages import NO_VERSION
from gaproute.units import MILLI, SECOND

GATEWAY_COUNT = 300
CHANGE_INTERVAL = 1_878 * MILLI  # 46,000 a day


def all_have(fleet, version):
    return all(
        gateway.disseminator.document.version >= version for gateway in fleet.gateways if gateway.alive
    )


def run_until_all_have(fleet, version, seconds):
    """Runs until all gateways have the version; returns how many seconds it took, at most `seconds`."""
    start = fleet.now
    steps = 0
    while not all_have(fleet, version):
        steps += 1
        assert steps <= 20 * seconds, "not all gateways have the version in time"
        fleet.run(start + steps * SECOND // 20)
    for gateway in fleet.gateways:
        assert check(gateway.disseminator) == []
    return (max(gateway.taken_at for gateway in fleet.gateways) - start) / SECOND


@pytest.mark.parametrize("loss", [0, 50, 200])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_gateways_have_a_change_within_three_seconds(loss, seed):
    fleet = DisseminationFleet(GATEWAY_COUNT, seed, loss)
    fleet.run(fleet.now + 2 * SECOND)
    version = fleet.publish(fleet.gateways[17])
    run_until_all_have(fleet, version, 3)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_with_a_tenth_of_slow_gateways_all_have_a_change_within_three_seconds(seed):
    fleet = DisseminationFleet(GATEWAY_COUNT, seed, 50, slow=100)
    assert sum(gateway.slow for gateway in fleet.gateways) > 10
    run_until_all_have(fleet, fleet.publish(fleet.gateways[17]), 3)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_change_reaches_all_gateways_if_its_source_dies_after_one_push(seed):
    fleet = DisseminationFleet(GATEWAY_COUNT, seed)
    source = fleet.gateways[40]
    sends = source.disseminator.publish(fleet.now, change_from(Version(1, 1)))
    fleet.handle(source, sends[:1])
    source.alive = False
    run_until_all_have(fleet, Version(1, 2), 3)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_at_46000_changes_a_day_no_gateway_sends_more_than_its_budget(seed):
    fleet = DisseminationFleet(GATEWAY_COUNT, seed, 50)
    start, changes = fleet.now, 16
    for number in range(changes):
        fleet.run(start + number * CHANGE_INTERVAL)
        version = fleet.publish(fleet.gateways[0])
    fleet.run(start + changes * CHANGE_INTERVAL)
    assert all_have(fleet, Version(version.term, version.number - 1))
    seconds = (fleet.now - start) / SECOND
    assert max(fleet.traffic.sent) / seconds < bounds.MESSAGE_BYTES_PER_SECOND
    assert (max(fleet.traffic.sent) + max(fleet.traffic.received)) / seconds < 4_000
    assert not any(gateway.disseminator.rejections["lower version"] for gateway in fleet.gateways)


def test_without_changes_a_gateway_sends_about_one_short_message_per_second():
    fleet = DisseminationFleet(GATEWAY_COUNT, 1)
    fleet.run(fleet.now + 20 * SECOND)
    assert sum(fleet.traffic.messages) / GATEWAY_COUNT / 20 < 1.1
    assert max(fleet.traffic.sent) / 20 < 110


@pytest.mark.parametrize("loss", [0, 200])
def test_a_new_gateway_fetches_the_complete_document_while_changes_arrive(loss):
    fleet = DisseminationFleet(GATEWAY_COUNT, 4, loss)
    new_gateway = fleet.gateways[7].disseminator
    new_gateway.document.version = NO_VERSION
    start = fleet.now
    for number in range(10):
        fleet.run(start + number * CHANGE_INTERVAL)
        fleet.publish(fleet.gateways[0])
        if new_gateway.document.version > NO_VERSION:
            break
    version = fleet.gateways[0].disseminator.document.version
    run_until_all_have(fleet, version, 10)


def test_a_region_that_was_cut_off_catches_up_within_the_budgets():
    fleet = DisseminationFleet(GATEWAY_COUNT, 5)
    fleet.links.cut = lambda one, other: (one.region == 2) != (other.region == 2)
    cut_off = [gateway for gateway in fleet.gateways if gateway.region == 2]
    start, changes = fleet.now, 2 * bounds.MAX_LOG_CHANGES
    for number in range(changes):
        fleet.run(start + number * SECOND // 4)
        fleet.publish(fleet.gateways[0])
    fleet.run(fleet.now + 3 * SECOND)
    assert all(gateway.disseminator.document.version == Version(1, 1) for gateway in cut_off)
    fleet.links.cut, reconnected_at = None, fleet.now
    version = fleet.gateways[0].disseminator.document.version
    assert version == Version(1, 1 + changes)
    fleet.traffic.forget_seconds()
    run_until_all_have(fleet, version, 20)
    sent = max(max(second) for second in fleet.traffic.sent_in.values())
    received = max(max(second) for second in fleet.traffic.received_in.values())
    assert (
        sent
        <= bounds.MESSAGE_BYTES_PER_SECOND
        + bounds.MESSAGE_BURST_BYTES
        + bounds.ANSWER_BYTES_PER_SECOND
        + bounds.ANSWER_BURST_BYTES
    )
    assert received <= WHOLE_BYTES + 10_000
    assert fleet.now - reconnected_at < 20 * SECOND


def test_each_gateway_knows_how_many_gateways_are_behind_a_version():
    fleet = DisseminationFleet(GATEWAY_COUNT, 6)
    version = fleet.publish(fleet.gateways[0])
    run_until_all_have(fleet, version, 3)
    fleet.run(fleet.now + 12 * SECOND)
    for gateway in fleet.gateways:
        propagation = gateway.disseminator.version_reports.propagation(fleet.now, version)
        assert propagation.reporters > 0
        assert propagation.behind == 0
        assert propagation.agreed_for > 8 * SECOND
        of_newer = gateway.disseminator.version_reports.propagation(fleet.now, Version(2, 0))
        assert of_newer.behind == propagation.reporters
    assert fleet.gateways[0].disseminator.document.fleet == FLEET


def test_a_new_gateway_whose_source_dies_between_parts_fetches_from_another():
    fleet = DisseminationFleet(GATEWAY_COUNT, 8)
    new_gateway = fleet.gateways[7].disseminator
    new_gateway.document.version = NO_VERSION
    start = fleet.now
    while not new_gateway.assembly.data:
        fleet.run(fleet.now + SECOND // 100)
    assert fleet.now - start < 3 * SECOND
    fleet.gateway_of(new_gateway.fetch.source).alive = False
    run_until_all_have(fleet, Version(1, 1), 20)
