"""Many gateways of cells together: random tables, versions, losses, cuts and ends; rules that always hold."""

from collections import Counter
from dataclasses import replace
from functools import partial
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as some

from benchmarks.fleet.clock import SECOND
from benchmarks.scale.cells.fleet import Shape, bare_cell, table, with_entries
from benchmarks.scale.cells.world import CALL_TIME, World
from gaproute.decisions.cells import invariants
from gaproute.decisions.cells.table import EntryGateway, split_cell


def tables(shape, random):
    """Versions of a table: cells that come, go and are split; the entries of some are others' or nobody's."""
    rows = with_entries([bare_cell(number, shape) for number in range(shape.cells)], shape)
    versions = [table(shape, 1, rows)]
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
        versions.append(table(shape, number, rows))
    return versions


def trouble(world, versions, random):
    """One thing that happens to the fleet."""
    nodes, hosts = list(world.nodes.values()), list(world.hosts.values())
    match random.randrange(6):
        case 0:
            node = random.choice(nodes)
            held = node.gateway.table
            newer = [each for each in versions if each.version > held.version]
            if newer:
                made = random.choice(newer)
                world.adopt(node, made)
                world.breaches += invariants.version_grows(held, node.gateway.table)
        case 1:
            host = random.choice(hosts)
            host.back() if not host.up else host.fail()
        case 2:
            cell = random.choice(world.table.cells).name
            for name in world.members[cell]:
                world.hosts[name].fail()
            for node in nodes:
                if cell in node.gateway.wanted():
                    world.list_cell(node, cell)
        case 3:
            zones = set(random.sample(sorted(world.regions), 2))
            world.cut.clear() if world.cut else world.cut_off(zones)
        case 4:
            world.loss = random.choice([0.0, 0.02, 0.3])
        case _:
            random.choice(nodes).up = random.random() < 0.7


@settings(max_examples=25, deadline=None)
@given(some.integers(0, 1 << 32))
def test_the_rules_hold_whatever_happens(seed):
    """Effectful calls run once at most, hops are bounded, tasks end, views stay bounded, homes agree."""
    random = Random(seed)
    shape = Shape(cells=random.randrange(4, 20), hosts=3, gateways=16, entries=3, zones=6, regions=3)
    versions = tables(shape, random)
    world = World(shape, versions[0], range(16), 20 * SECOND, seed, checking=True)
    for cell in versions[-1].cells + versions[1].cells + versions[2].cells:
        if cell.name not in world.members:
            world.add_cell(cell)
    asked, ended, ever_down = Counter(), Counter(), set()
    nodes = list(world.nodes.values())
    for step in range(1, 500):
        world.clock.run(step * SECOND // 50)
        node = random.choice(nodes)
        if node.up:
            asked[node.name] += 1
            done = partial(lambda name, *end: ended.update([name]), node.name)
            world.call(node, f"f{random.randrange(40)}", random.randrange(2), done=done)
        if random.random() < 0.05:
            trouble(world, versions, random)
        ever_down.update(node.name for node in nodes if not node.up)
    world.clock.run(world.clock.now + 3 * CALL_TIME)
    assert not world.breaches, world.breaches[:3]
    for node in nodes:
        assert not invariants.check(node.gateway, ["f1", "f2"])
        if node.name not in ever_down:
            assert ended[node.name] == asked[node.name]
            assert not node.held
            assert not node.gateway.recorder.attempts


def test_entries_that_do_not_know_the_cell_cannot_make_a_loop():
    """The table names two gateways as the entries of all cells; neither lies in the zone of any."""
    shape = Shape(cells=2, hosts=3, gateways=6, zones=3, regions=3)
    entries = (EntryGateway("gateway2", "address"), EntryGateway("gateway5", "address"))
    rows = [replace(bare_cell(number, shape), entries=entries) for number in range(2)]
    world = World(shape, table(shape, 1, rows), range(6), 20 * SECOND, checking=True)
    ended = []
    for name in ("gateway2", "gateway5"):
        assert world.nodes[name].gateway.wanted() == ()
        world.call(world.nodes[name], "f", done=lambda *end: ended.append(end))
    world.clock.run(3 * CALL_TIME)
    assert [ending for ending, _ in ended] == ["declined", "declined"]
    assert not world.breaches
    assert world.counts["forwards"] <= 2 * 2 * 2  # two cells each, two hops
