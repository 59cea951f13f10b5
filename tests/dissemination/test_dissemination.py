"""A few hundred gateways on a simulated network: how soon all hold a change, and what it costs."""

import pytest

from benchmarks.scale.dissemination_fleet import DisseminationFleet
from benchmarks.scale.stub_document import FLEET, WHOLE_BYTES, change_from
from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination import bounds
from gaproute.shared.dissemination.bounds import MILLISECOND, SECOND
from gaproute.shared.dissemination.invariants import check
from gaproute.shared.dissemination.messages import NOTHING

COUNT = 300
CHANGE_INTERVAL = 1_878 * MILLISECOND  # 46,000 a day


def all_hold(net, version):
    return all(node.disseminator.document.version >= version for node in net.nodes if node.alive)


def play_until_all_hold(net, version, seconds):
    """Seconds until all hold the version; the test fails where it takes longer."""
    start = net.now
    steps = 0
    while not all_hold(net, version):
        steps += 1
        assert steps <= 20 * seconds, "not all hold it"
        net.run(start + steps * SECOND // 20)
    for node in net.nodes:
        assert check(node.disseminator) == []
    return (max(node.taken_at for node in net.nodes) - start) / SECOND


@pytest.mark.parametrize("loss", [0, 50, 200])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_hold_a_change_within_three_seconds(loss, seed):
    net = DisseminationFleet(COUNT, seed, loss)
    net.run(net.now + 2 * SECOND)
    version = net.publish(net.nodes[17])
    play_until_all_hold(net, version, 3)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_tenth_of_slow_gateways_keeps_nobody_beyond_three_seconds(seed):
    net = DisseminationFleet(COUNT, seed, 50, slow=100)
    assert sum(node.slow for node in net.nodes) > 10
    play_until_all_hold(net, net.publish(net.nodes[17]), 3)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_source_that_dies_after_one_push_left_nobody_behind(seed):
    net = DisseminationFleet(COUNT, seed)
    source = net.nodes[40]
    sends = source.disseminator.publish(net.now, change_from(Version(1, 1)))
    net.handle(source, sends[:1])
    source.alive = False
    play_until_all_hold(net, Version(1, 2), 3)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_at_46000_changes_a_day_no_gateway_spends_more_than_its_budget(seed):
    net = DisseminationFleet(COUNT, seed, 50)
    start, changes = net.now, 16
    for number in range(changes):
        net.run(start + number * CHANGE_INTERVAL)
        version = net.publish(net.nodes[0])
    net.run(start + changes * CHANGE_INTERVAL)
    assert all_hold(net, Version(version.term, version.number - 1))
    seconds = (net.now - start) / SECOND
    assert max(net.sent) / seconds < bounds.MESSAGE_RATE
    assert (max(net.sent) + max(net.received)) / seconds < 4_000
    assert not any(node.disseminator.rejections["lower version"] for node in net.nodes)


def test_at_rest_a_gateway_says_one_short_thing_a_second():
    net = DisseminationFleet(COUNT, 1)
    net.run(net.now + 20 * SECOND)
    assert sum(net.messages) / COUNT / 20 < 1.1
    assert max(net.sent) / 20 < 110


@pytest.mark.parametrize("loss", [0, 200])
def test_a_newcomer_takes_the_whole_document_while_changes_come(loss):
    net = DisseminationFleet(COUNT, 4, loss)
    newcomer = net.nodes[7].disseminator
    newcomer.document.version = NOTHING
    start = net.now
    for number in range(10):
        net.run(start + number * CHANGE_INTERVAL)
        net.publish(net.nodes[0])
        if newcomer.document.version > NOTHING:
            break
    version = net.nodes[0].disseminator.document.version
    play_until_all_hold(net, version, 10)


def test_a_region_cut_off_catches_up_without_a_storm():
    net = DisseminationFleet(COUNT, 5)
    net.cut = lambda one, other: (one.region == 2) != (other.region == 2)
    cut_off = [node for node in net.nodes if node.region == 2]
    start, changes = net.now, 2 * bounds.LOG_CHANGES
    for number in range(changes):
        net.run(start + number * SECOND // 4)
        net.publish(net.nodes[0])
    net.run(net.now + 3 * SECOND)
    assert all(node.disseminator.document.version == Version(1, 1) for node in cut_off)
    net.cut, healed = None, net.now
    version = net.nodes[0].disseminator.document.version
    assert version == Version(1, 1 + changes)
    net.forget_seconds()
    play_until_all_hold(net, version, 20)
    sent = max(max(second) for second in net.sent_in.values())
    received = max(max(second) for second in net.received_in.values())
    assert sent <= bounds.MESSAGE_RATE + bounds.MESSAGE_BURST + bounds.SERVE_RATE + bounds.SERVE_BURST
    assert received <= WHOLE_BYTES + 10_000
    assert net.now - healed < 20 * SECOND


def test_each_gateway_knows_who_is_behind_and_that_nobody_is():
    net = DisseminationFleet(COUNT, 6)
    version = net.publish(net.nodes[0])
    play_until_all_hold(net, version, 3)
    net.run(net.now + 12 * SECOND)
    for node in net.nodes:
        propagation = node.disseminator.version_reports.propagation(net.now, version)
        assert propagation.reporters > 0
        assert propagation.behind == 0
        assert propagation.agreed_for > 8 * SECOND
        later = node.disseminator.version_reports.propagation(net.now, Version(2, 0))
        assert later.behind == propagation.reporters
    assert net.nodes[0].disseminator.document.fleet == FLEET


def test_a_newcomer_whose_source_dies_amid_the_parts_takes_them_from_another():
    net = DisseminationFleet(COUNT, 8)
    newcomer = net.nodes[7].disseminator
    newcomer.document.version = NOTHING
    start = net.now
    while not newcomer.assembly.data:
        net.run(net.now + SECOND // 100)
    assert net.now - start < 3 * SECOND
    net.node(newcomer.fetch.source).alive = False
    play_until_all_hold(net, Version(1, 1), 20)
