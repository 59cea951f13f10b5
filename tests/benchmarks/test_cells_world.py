"""Many gateways of cells together: random tables, versions, losses, cuts and ends; rules that always hold."""

from collections import Counter
from dataclasses import replace
from functools import partial
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as some

from benchmarks.fleet.clock import SECOND
from benchmarks.scale.cells.fleet import Shape, bare_cell, make_table, with_entries
from benchmarks.scale.cells.terms import CALL_TIME
from benchmarks.scale.cells.world import CellWorld
from gaproute.decisions.cells import invariants
from gaproute.decisions.cells.table import EntryGateway, split_cell


def tables(shape, random):
    """Versions of a table: cells that come, go and are split; the entries of some are others' or nobody's."""
    rows = with_entries([bare_cell(number, shape) for number in range(shape.cells)], shape)
    versions = [make_table(shape, 1, rows)]
    for number in range(2, 5):
        rows = list(versions[-1].cells)
        match random.randrange(4):
            case 0 if len(rows) > 3:
                rows.remove(random.choice(rows))
            case 1:
                old = random.choice([row for row in rows if row.hosts > 1])
                rows.remove(old)
                rows += split_cell(old, f"split{number}", old.entries)
            case 2:
                rows += with_entries([bare_cell(100 + number, shape)], shape)
            case _:
                at = random.randrange(len(rows))
                other = random.choice(rows)
                entries = random.choice([(), other.entries])
                rows[at] = replace(rows[at], entries=entries)
        versions.append(make_table(shape, number, rows))
    return versions


def disturb(world, versions, random):
    """One thing that happens to the fleet."""
    gateways, hosts = list(world.gateways.values()), list(world.hosts.values())
    match random.randrange(6):
        case 0:
            gateway = random.choice(gateways)
            before = gateway.decisions.table
            newer = [each for each in versions if each.version > before.version]
            if newer:
                world.adopt(gateway, random.choice(newer))
                world.violations += invariants.version_grows(before, gateway.decisions.table)
        case 1:
            host = random.choice(hosts)
            host.come_back() if not host.is_up else host.go_down()
        case 2:
            cell = random.choice(world.table.cells).name
            for name in world.hosts_of[cell]:
                world.hosts[name].go_down()
            for gateway in gateways:
                if cell in gateway.decisions.cells_to_follow():
                    world.publish_hosts(gateway, cell)
        case 3:
            zones = set(random.sample(sorted(world.network.regions), 2))
            world.network.heal() if world.network.is_cut else world.network.cut_off(zones)
        case 4:
            world.network.loss = random.choice([0.0, 0.02, 0.3])
        case _:
            random.choice(gateways).is_up = random.random() < 0.7


@settings(max_examples=25, deadline=None)
@given(some.integers(0, 1 << 32))
def test_the_rules_hold_whatever_happens(seed):
    """Calls run once where they must, hops are bounded, requests end, views stay bounded, homes agree."""
    random = Random(seed)
    shape = Shape(cells=random.randrange(4, 20), hosts=3, gateways=16, entries=3, zones=6, regions=3)
    versions = tables(shape, random)
    world = CellWorld(shape, versions[0], range(16), 20 * SECOND, seed, checking=True)
    for cell in versions[-1].cells + versions[1].cells + versions[2].cells:
        if cell.name not in world.hosts_of:
            world.add_cell(cell)
    asked, ended, ever_down = Counter(), Counter(), set()
    gateways = list(world.gateways.values())
    for step in range(1, 500):
        world.clock.run(step * SECOND // 50)
        gateway = random.choice(gateways)
        if gateway.is_up:
            asked[gateway.name] += 1
            on_end = partial(lambda name, *end: ended.update([name]), gateway.name)
            world.call(gateway, f"f{random.randrange(40)}", random.randrange(2), on_end=on_end)
        if random.random() < 0.05:
            disturb(world, versions, random)
        ever_down.update(gateway.name for gateway in gateways if not gateway.is_up)
    world.clock.run(world.clock.now + 3 * CALL_TIME)
    assert not world.violations, world.violations[:3]
    for gateway in gateways:
        assert not invariants.find_violations(gateway.decisions, ["f1", "f2"])
        if gateway.name not in ever_down:
            assert ended[gateway.name] == asked[gateway.name]
            assert not gateway.requests
            assert not gateway.decisions.recorder.attempts


def test_entries_that_do_not_know_the_cell_cannot_make_a_loop():
    """The table names two gateways as the entries of all cells; neither lies in the zone of any."""
    shape = Shape(cells=2, hosts=3, gateways=6, zones=3, regions=3)
    entries = (EntryGateway("gateway2", "address"), EntryGateway("gateway5", "address"))
    rows = [replace(bare_cell(number, shape), entries=entries) for number in range(2)]
    world = CellWorld(shape, make_table(shape, 1, rows), range(6), 20 * SECOND, checking=True)
    ended = []
    for name in ("gateway2", "gateway5"):
        assert world.gateways[name].decisions.cells_to_follow() == ()
        world.call(world.gateways[name], "f", on_end=lambda *end: ended.append(end))
    world.clock.run(3 * CALL_TIME)
    assert [ending for ending, _ in ended] == ["declined", "declined"]
    assert not world.violations
    assert world.counts["forwards"] <= 2 * 2 * 2  # two cells each, two hops
