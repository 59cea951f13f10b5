"""The cells in the view of a gateway, and the entry gateways that it uses for other cells."""

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


def make_view(name="gateway1", zone=0, **options):
    view = CellView(0, GatewayLocation(name, f"region{zone % 5}", f"zone{zone}"), **options)
    view.adopt(table(cells(490)))
    return view


def test_each_cell_of_a_zone_is_in_the_views_of_tens_of_gateways():
    """1,230 gateways in a zone of 38 cells."""
    counts = Counter(name for number in range(1230) for name in make_view(f"gateway{number}").cell_names())
    assert len(counts) == 38
    assert min(counts.values()) >= 32
    assert max(counts.values()) <= 110


def test_assigned_cells_change_little_with_the_table():
    changed = 0
    for number in range(200):
        view = make_view(f"gateway{number}")
        before = set(view.assigned)
        view.adopt(table(cells(489), number=2))
        changed += len(before - set(view.assigned))
    assert changed <= 200 * ASSIGNED_CELLS * 1.5 / 38 + 10


def test_a_cell_is_assigned_to_its_entries():
    rows = cells(490)
    rows[26] = replace(rows[26], entries=(EntryGateway("gateway1", "a"),))
    view = make_view()
    view.adopt(table(rows, number=2))
    assert "cell26" in view.assigned


def send_requests(view, name, rate, begin, seconds):
    for step in range(int(rate * seconds)):
        now = int((begin + step / rate) * SECOND)
        view.record_request(now, name)
        view.review(now)


def test_a_cell_with_steady_requests_is_added_and_an_unused_one_removed():
    view = make_view()
    send_requests(view, "cell1", 2 * MIN_ADD_REQUESTS_PER_SECOND, 0, 120)
    assert view.extra == ("cell1",)
    assert view.cell_names() == view.assigned + ("cell1",)
    send_requests(view, "cell2", 0.5, 120, 200)  # reviews go on
    assert view.extra == ("cell1",)  # the long-term rate is still high
    send_requests(view, "cell2", 0.5, 320, 7200)
    assert view.extra == ()


def test_the_view_rarely_changes_at_a_rate_near_the_threshold():
    view, changes = make_view(), []
    for step in range(40_000):
        now = int(step / MIN_ADD_REQUESTS_PER_SECOND * SECOND) + (step * 7919 % 50) * SECOND // 100
        view.record_request(now, "cell1")
        if view.review(now):
            changes.append(now)
    assert len(changes) <= 2


def test_the_view_is_bounded_by_hosts():
    view = make_view()
    for step in range(60_000):
        now = step * SECOND // 400
        view.record_request(now, f"cell{1 + step % 20}")
        view.review(now)
    assert MAX_HOSTS_IN_VIEW - 51 < view.host_count() <= MAX_HOSTS_IN_VIEW


def test_one_cell_larger_than_the_bound_is_assigned():
    view = CellView(0, GatewayLocation("g", "region0", "zone0"), max_hosts=100)
    view.adopt(table([cell("a", hosts=900), cell("b", hosts=900)]))
    assert len(view.cell_names()) == 1


def test_a_cell_that_left_the_table_leaves_the_view():
    view = make_view()
    send_requests(view, "cell1", 2 * MIN_ADD_REQUESTS_PER_SECOND, 0, 120)
    view.adopt(table([row for row in cells(490) if row.name != "cell1"], number=2))
    assert view.extra == ()
    assert "cell1" not in view.request_counts


ENTRIES = tuple(EntryGateway(f"entry{number}", f"address{number}") for number in range(32))
CELL = replace(cell("cell0"), entries=ENTRIES)


def test_gateways_spread_over_the_entries_and_each_uses_the_same_one():
    counts = Counter(EntrySelector(f"gateway{number}").pick(0, CELL).name for number in range(16_000))
    assert len(counts) == 32
    assert max(counts.values()) <= 1.2 * 500
    selector = EntrySelector("gateway1")
    assert len({selector.pick(now, CELL).name for now in range(100)}) == 1


def test_a_removed_entry_moves_only_the_gateways_that_used_it():
    remaining = replace(CELL, entries=ENTRIES[1:])
    for number in range(500):
        selector = EntrySelector(f"gateway{number}")
        before = selector.pick(0, CELL)
        assert before is ENTRIES[0] or EntrySelector(f"gateway{number}").pick(0, remaining) == before


def test_an_entry_that_failed_is_avoided_for_a_while():
    selector = EntrySelector("gateway1")
    first, second = selector.ordered_entries(CELL)[:2]
    selector.record_failure(0, first.name)
    assert selector.pick(0, CELL) == second
    assert selector.pick(MIN_BACKOFF, CELL) == first
    now = MIN_BACKOFF
    for _ in range(9):
        selector.record_failure(now, first.name)
        now = selector.backoffs[first.name].retry_at
    assert selector.backoffs[first.name].duration == MAX_BACKOFF
    selector.record_answer(now, first.name)
    assert selector.pick(now, CELL) == first


def test_an_overdue_request_is_no_failure_of_an_entry_that_answered_others_since():
    selector = EntrySelector("gateway1")
    selector.record_answer(5, "entry1")
    selector.record_overdue(9, "entry1", sent_at=4)
    assert not selector.backoffs
    selector.record_overdue(9, "entry1", sent_at=6)
    assert "entry1" in selector.backoffs


def test_no_entry_is_picked_if_none_is_usable():
    selector = EntrySelector("entry0")
    one = replace(CELL, entries=ENTRIES[:1])
    assert selector.pick(0, one) is None
    assert selector.has_no_usable_entry(0, one)
    for entry in ENTRIES:
        selector.record_failure(0, entry.name)
    assert selector.pick(0, CELL) is None


def test_the_stored_state_of_entries_is_bounded_by_the_table():
    selector = EntrySelector("gateway1")
    for number in range(10_000):
        selector.record_failure(0, f"gone{number}")
        selector.record_answer(0, f"other{number}")
    selector.adopt(table([CELL, cell("cell1")]))
    assert not selector.backoffs
    assert not selector.last_answered


def test_a_trimmed_row_has_the_entries_that_the_gateway_uses():
    all_entries, trimmed = EntrySelector("gateway1").ordered_entries(CELL), trim_entries(CELL, "gateway1")
    assert EntrySelector("gateway1").ordered_entries(trimmed) == all_entries[:MAX_ENTRIES_USED_PER_CELL]
    own = trim_entries(CELL, "entry7")
    assert ENTRIES[7] in own.entries
    assert (
        EntrySelector("entry7").ordered_entries(own)
        == EntrySelector("entry7").ordered_entries(CELL)[:MAX_ENTRIES_USED_PER_CELL]
    )
    assert trim_entries(trimmed, "gateway1") is trimmed


def test_a_holder_that_trims_has_the_same_table_after_a_change_as_from_complete_rows():
    holder = TableHolder(FLEET, lambda cell: trim_entries(cell, "gateway1"))
    holder.replace(table([CELL, cell("cell1")]))
    row = replace(cell("cell2"), entries=ENTRIES)
    holder.apply(TableChange(FLEET, holder.table.version, Version(1, 2), (row,)))
    assert all(len(each.entries) <= MAX_ENTRIES_USED_PER_CELL for each in holder.table.cells)
    other_holder = TableHolder(FLEET, lambda cell: trim_entries(cell, "gateway1"))
    other_holder.replace(table([CELL, cell("cell1"), row], number=2))
    assert other_holder.table == holder.table
