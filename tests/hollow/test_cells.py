"""Hollow gateways that go by cells, at two sizes on the simulated clock: what a gateway holds and sends does
not grow with the fleet. All figures are counts of a fixed seed, the same on every machine."""

import pytest

from gaproute.decisions.cells import invariants as cell_invariants
from gaproute.hollow.cells import CELL_PARTS, CellFleet
from gaproute.hollow.cells.plan import GATEWAYS, HOSTS
from gaproute.shared.dissemination import invariants as table_invariants
from gaproute.shared.membership import MemberState

SMALL, LARGE, SEED = 99, 297, 1
FULL = 3  # cells of the large fleet whose gateways have all parts
HOSTS_PLAYED = 32  # of a cell
SETTLE, COUNTED = 3, 2  # simulated seconds
STEEPER = 1.1  # times the small fleet's figure, for a cost that does not depend on the size
BUDGET = 4096  # bytes a second that a gateway may spend
CHANGES_A_DAY, DAY = 46_000, 86_400  # of the configuration; seconds
CHANGES_COUNTED = 5


class Costs:
    """Counts of one fleet's gateways that have all parts; rates are a second, of a gateway."""

    def __init__(self, size):
        self.fleet = CellFleet(size, seed=SEED, hosts=HOSTS_PLAYED, full_cells=FULL)
        self.fleet.run(SETTLE)
        gateways = self.fleet.full_gateways()
        before, sent = self.fleet.totals(gateways), self.sent(gateways)
        self.fleet.run(COUNTED)
        after = self.fleet.totals(gateways)
        self.counts, self.number = after, len(gateways)
        self.rates = {name: (after[name] - before[name]) / COUNTED / self.number for name in after}
        self.busiest = max(map(int.__sub__, self.sent(gateways), sent)) / COUNTED

    @staticmethod
    def sent(gateways):
        return [sum(part.get("bytes", 0) for part in each.counters().values()) for each in gateways]


@pytest.fixture(scope="module")
def small():
    costs = Costs(SMALL)
    yield costs
    costs.fleet.close()


@pytest.fixture(scope="module")
def large():
    costs = Costs(LARGE)
    yield costs
    costs.fleet.close()


def test_all_gateways_counted_hold_whole_cells(small, large):
    assert small.number == large.number == FULL * GATEWAYS
    assert len(large.fleet.gateways) == LARGE


@pytest.mark.parametrize("part", ["membership", "tables", "demand"])
@pytest.mark.parametrize("cost", ["messages", "bytes"])
def test_a_gateways_cost_does_not_grow_with_the_fleet(small, large, part, cost):
    name = f"{part}.{cost}"
    assert 0 < large.rates[name] <= STEEPER * small.rates[name]


@pytest.mark.parametrize("entries", ["membership.entries", "hosts.entries", "demand.entries"])
def test_what_a_gateway_holds_does_not_grow_with_the_fleet(small, large, entries):
    assert 0 < large.counts[entries] <= STEEPER * small.counts[entries]


def test_members_are_the_other_gateways_of_the_own_cell(small, large):
    for costs in (small, large):
        assert costs.counts["membership.entries"] == costs.number * (GATEWAYS - 1)


def test_the_table_held_has_a_row_for_each_cell(small, large):
    for costs in (small, large):
        assert costs.counts["tables.rows"] == costs.number * costs.fleet.plan.cells


def test_the_busiest_gateway_sends_less_than_its_budget(small, large):
    assert max(small.busiest, large.busiest) < BUDGET


def test_the_busiest_gateway_stays_within_its_budget_while_the_table_changes_all_day():
    """A row changes as often as the configuration of 16,000 gateways does."""
    fleet = CellFleet(SMALL, seed=SEED, hosts=HOSTS_PLAYED)
    fleet.run(SETTLE)
    gateways = fleet.full_gateways()
    before = Costs.sent(gateways)
    for number in range(CHANGES_COUNTED):
        fleet.publish(number % fleet.plan.cells, HOSTS_PLAYED - 1 - number % 2)
        fleet.run(DAY / CHANGES_A_DAY)
    grown = map(int.__sub__, Costs.sent(gateways), before)
    assert max(grown) < BUDGET * CHANGES_COUNTED * DAY / CHANGES_A_DAY
    fleet.close()


def test_every_call_finds_a_way_once_the_fleet_has_started(small, large):
    for costs in (small, large):
        rates = costs.rates
        assert rates["hosts.known"] > 0
        assert rates["hosts.entered"] > 0
        assert rates["hosts.calls"] == pytest.approx(rates["hosts.known"] + rates["hosts.entered"])
        assert rates["hosts.failed"] == rates["hosts.unreached"] == 0


def test_what_a_gateway_holds_is_within_its_bounds(large):
    for gateway in large.fleet.full_gateways():
        assert not list(cell_invariants.view_bounded(gateway.parts["hosts"].cellular))
        assert not table_invariants.check(gateway.parts["tables"].transport.disseminator)


def test_a_changed_row_reaches_all_and_their_decisions(large):
    version = large.fleet.publish(2, HOSTS_PLAYED - 1)
    assert large.fleet.run_until(lambda: large.fleet.all_have_version(version), 5) is not None
    for gateway in large.fleet.full_gateways():
        row = gateway.parts["hosts"].cellular.table.by_name[large.fleet.plan.cell_name(2)]
        assert row.hosts == HOSTS_PLAYED - 1


def test_a_death_is_known_in_its_cell_alone():
    makers = {
        name: make for name, make in CELL_PARTS.items() if name != "demand"
    }  # nine tenths of all events
    fleet = CellFleet(SMALL, seed=SEED, hosts=HOSTS_PLAYED, part_factories=makers)
    fleet.run(SETTLE)
    name = fleet.rows[4].name  # of the second cell
    fleet.kill(name)
    cell = [gateway.parts["membership"].membership for gateway in fleet.gateways_of_cell(1)]
    assert (
        fleet.run_until(lambda: all(held.members[name].state >= MemberState.DEAD for held in cell), 60)
        is not None
    )
    for other in (0, 2):
        for gateway in fleet.gateways_of_cell(other):
            assert name not in gateway.parts["membership"].membership.members
    fleet.close()


def test_a_newcomer_without_a_table_gets_it_and_its_hosts():
    fleet = CellFleet(66, seed=SEED, hosts=HOSTS_PLAYED)
    fleet.run(SETTLE)
    comer = fleet.start_newcomer(3)
    carrier, hosts = comer.parts["tables"].transport, comer.parts["hosts"]
    assert carrier.table() is None
    assert not hosts.is_ready
    assert fleet.run_until(lambda: hosts.is_ready, 10) is not None
    assert carrier.table().version == fleet.gateways[fleet.rows[0].name].parts["tables"].version
    assert comer.parts["tables"].pull_client.pulls > 0
    own = comer.parts["membership"].membership
    assert fleet.run_until(lambda: len(own.table.alive) == GATEWAYS, 20) is not None
    fleet.close()


def test_gateways_that_share_tables_read_each_version_once():
    fleet = CellFleet(66, seed=SEED, hosts=HOSTS_PLAYED, full_cells=0)
    fleet.run(1.5)
    version = fleet.publish(1, HOSTS_PLAYED - 1)
    assert fleet.run_until(lambda: fleet.all_have_version(version), 5) is not None
    tables = {id(gateway.parts["tables"].transport.table()) for gateway in fleet.gateways.values()}
    assert len(tables) == 1
    assert len(fleet.shared_tables) == 2
    assert all(gateway.parts["tables"].pull_server.handler for gateway in fleet.gateways.values())
    fleet.close()


def test_a_zone_that_is_gone_and_back_ends_with_the_table_of_the_others():
    fleet = CellFleet(99, seed=SEED, hosts=HOSTS_PLAYED)
    fleet.run(SETTLE)
    zone = fleet.rows_of_zone(1)
    for row in zone:
        fleet.kill(row.name)
    fleet.run(2)
    version = fleet.publish(2, HOSTS_PLAYED - 1)
    for row in zone:
        fleet.start(row, has_table=False)
    assert fleet.run_until(lambda: fleet.all_have_version(version), 30) is not None
    fleet.run(2)
    assert all(gateway.parts["hosts"].is_ready for gateway in fleet.full_gateways())
    fleet.close()


def test_the_cells_of_a_fleet_are_as_large_as_planned():
    plan = CellFleet(SMALL, seed=SEED, full_cells=0).plan
    assert plan.table().cells[0].hosts == HOSTS
    assert [len(plan.gateways(cell)) for cell in range(plan.cells)] == [GATEWAYS] * FULL
