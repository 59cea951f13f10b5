"""Which cells a gateway knows, and its way into the others."""

from collections import Counter
from dataclasses import replace

from cells_tables import FLEET, cell, cells, table

from gaproute.decisions.cells.change import TableChange, TableHolder
from gaproute.decisions.cells.entries import (
    MAX_BACKOFF,
    MAX_ENTRIES_USED_PER_CELL,
    MIN_BACKOFF,
    EntrySelector,
    trim_entries,
)
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.cells.table import EntryGateway
from gaproute.decisions.cells.version import Version
from gaproute.decisions.cells.views import (
    ASSIGNED_CELLS,
    MAX_HOSTS_IN_VIEW,
    MIN_ADD_REQUESTS_PER_SECOND,
    CellView,
)
from gaproute.units import SECOND


def view(name="gateway1", zone=0, **options):
    made = CellView(0, GatewayLocation(name, f"region{zone % 5}", f"zone{zone}"), **options)
    made.adopt(table(cells(490)))
    return made


def test_each_cell_of_a_zone_has_tens_of_gateways():
    """1,230 gateways in a zone of 38 cells."""
    counts = Counter(name for number in range(1230) for name in view(f"gateway{number}").cell_names())
    assert len(counts) == 38
    assert min(counts.values()) >= 32
    assert max(counts.values()) <= 110


def test_the_cells_attended_to_change_little_with_the_table():
    changed = 0
    for number in range(200):
        made = view(f"gateway{number}")
        before = set(made.assigned)
        made.adopt(table(cells(489), number=2))
        changed += len(before - set(made.assigned))
    assert changed <= 200 * ASSIGNED_CELLS * 1.5 / 38 + 10


def test_an_entry_attends_to_its_cell():
    rows = cells(490)
    rows[26] = replace(rows[26], entries=(EntryGateway("gateway1", "a"),))
    made = view()
    made.adopt(table(rows, number=2))
    assert "cell26" in made.assigned


def send(made, name, rate, begin, seconds):
    for step in range(int(rate * seconds)):
        now = int((begin + step / rate) * SECOND)
        made.record_request(now, name)
        made.review(now)


def test_steady_demand_adopts_and_disuse_lets_go():
    made = view()
    send(made, "cell1", 2 * MIN_ADD_REQUESTS_PER_SECOND, 0, 120)
    assert made.extra == ("cell1",)
    assert made.cell_names() == made.assigned + ("cell1",)
    send(made, "cell2", 0.5, 120, 200)  # reviews go on
    assert made.extra == ("cell1",)  # the long count still shows use
    send(made, "cell2", 0.5, 320, 7200)
    assert made.extra == ()


def test_a_rate_at_the_threshold_does_not_flap():
    made, seen = view(), []
    for step in range(40_000):
        now = int(step / MIN_ADD_REQUESTS_PER_SECOND * SECOND) + (step * 7919 % 50) * SECOND // 100
        made.record_request(now, "cell1")
        if made.review(now):
            seen.append(now)
    assert len(seen) <= 2


def test_the_view_is_bounded_by_hosts():
    made = view()
    for step in range(60_000):
        now = step * SECOND // 400
        made.record_request(now, f"cell{1 + step % 20}")
        made.review(now)
    assert MAX_HOSTS_IN_VIEW - 51 < made.host_count() <= MAX_HOSTS_IN_VIEW


def test_one_cell_larger_than_the_bound_is_attended_to():
    made = CellView(0, GatewayLocation("g", "region0", "zone0"), max_hosts=100)
    made.adopt(table([cell("a", hosts=900), cell("b", hosts=900)]))
    assert len(made.cell_names()) == 1


def test_a_cell_that_left_the_table_leaves_the_view():
    made = view()
    send(made, "cell1", 2 * MIN_ADD_REQUESTS_PER_SECOND, 0, 120)
    made.adopt(table([row for row in cells(490) if row.name != "cell1"], number=2))
    assert made.extra == ()
    assert "cell1" not in made.request_counts


WAYS = tuple(EntryGateway(f"entry{number}", f"address{number}") for number in range(32))
CELL = replace(cell("cell0"), entries=WAYS)


def test_gateways_spread_over_the_entries_and_keep_to_their_own():
    counts = Counter(EntrySelector(f"gateway{number}").pick(0, CELL).name for number in range(16_000))
    assert len(counts) == 32
    assert max(counts.values()) <= 1.2 * 500
    ways = EntrySelector("gateway1")
    assert len({ways.pick(now, CELL).name for now in range(100)}) == 1


def test_an_entry_lost_moves_only_its_own_gateways():
    less = replace(CELL, entries=WAYS[1:])
    for number in range(500):
        ways = EntrySelector(f"gateway{number}")
        before = ways.pick(0, CELL)
        assert before is WAYS[0] or EntrySelector(f"gateway{number}").pick(0, less) == before


def test_an_entry_in_doubt_is_passed_over_for_a_while():
    ways = EntrySelector("gateway1")
    first, second = ways.ordered_entries(CELL)[:2]
    ways.record_failure(0, first.name)
    assert ways.pick(0, CELL) == second
    assert ways.pick(MIN_BACKOFF, CELL) == first
    now = MIN_BACKOFF
    for _ in range(9):
        ways.record_failure(now, first.name)
        now = ways.backoffs[first.name].retry_at
    assert ways.backoffs[first.name].duration == MAX_BACKOFF
    ways.record_answer(now, first.name)
    assert ways.pick(now, CELL) == first


def test_late_answers_are_no_proof_against_an_entry_that_answers_others():
    ways = EntrySelector("gateway1")
    ways.record_answer(5, "entry1")
    ways.record_overdue(9, "entry1", sent_at=4)
    assert not ways.backoffs
    ways.record_overdue(9, "entry1", sent_at=6)
    assert "entry1" in ways.backoffs


def test_no_entry_left_is_reported():
    ways = EntrySelector("entry0")
    one = replace(CELL, entries=WAYS[:1])
    assert ways.pick(0, one) is None
    assert ways.has_no_usable_entry(0, one)
    for way in WAYS:
        ways.record_failure(0, way.name)
    assert ways.pick(0, CELL) is None


def test_what_is_remembered_of_entries_is_bounded_by_the_table():
    ways = EntrySelector("gateway1")
    for number in range(10_000):
        ways.record_failure(0, f"gone{number}")
        ways.record_answer(0, f"other{number}")
    ways.adopt(table([CELL, cell("cell1")]))
    assert not ways.backoffs
    assert not ways.last_answered


def test_a_trimmed_row_has_the_entries_that_would_be_used():
    whole, less = EntrySelector("gateway1").ordered_entries(CELL), trim_entries(CELL, "gateway1")
    assert EntrySelector("gateway1").ordered_entries(less) == whole[:MAX_ENTRIES_USED_PER_CELL]
    own = trim_entries(CELL, "entry7")
    assert WAYS[7] in own.entries
    assert (
        EntrySelector("entry7").ordered_entries(own)
        == EntrySelector("entry7").ordered_entries(CELL)[:MAX_ENTRIES_USED_PER_CELL]
    )
    assert trim_entries(less, "gateway1") is less


def test_a_holder_that_trims_takes_changes_as_the_whole_table():
    holder = TableHolder(FLEET, lambda cell: trim_entries(cell, "gateway1"))
    holder.replace(table([CELL, cell("cell1")]))
    row = replace(cell("cell2"), entries=WAYS)
    holder.apply(TableChange(FLEET, holder.table.version, Version(1, 2), (row,)))
    assert all(len(each.entries) <= MAX_ENTRIES_USED_PER_CELL for each in holder.table.cells)
    again = TableHolder(FLEET, lambda cell: trim_entries(cell, "gateway1"))
    again.replace(table([CELL, cell("cell1"), row], number=2))
    assert again.table == holder.table
