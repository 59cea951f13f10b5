"""Which hosts of cells are in force, for any events of the change logs in any order."""

import json

from followed_cells import PORTS
from hypothesis import given, settings
from hypothesis import strategies as st

from gaproute.appliance.cell_endpoints import CellEndpointConverter
from gaproute.config.directives.fleet import HostLine
from gaproute.discovery.cell_members import CellMembers
from gaproute.discovery.cell_reconciler import CellReconciler
from gaproute.discovery.changelog.sse import EventReader
from gaproute.discovery.host_lines import HostLineConverter
from gaproute.discovery.name_numbers import MAX_NUMBERED_NAMES
from gaproute.loop import Loop
from gaproute.standins.event_stream import RESPONSE_HEAD
from gaproute.standins.platform.host_list import member

ZONES = {"a1": "a", "a2": "a", "b1": "b"}
CHANGES = st.tuples(
    st.sampled_from(sorted(ZONES)),
    st.booleans(),  # whether the list is complete
    st.lists(
        st.tuples(
            st.sampled_from(sorted(PORTS)),
            st.integers(1, 4),
            st.sampled_from(("active", "draining", "gone")),
            st.sampled_from(("", "", "a", "b")),
        ),
        max_size=4,
    ),
)


def fleet_update(complete, rows):
    """The fleet update of an event, as it is read from a connection."""
    members = [member(name, f"127.0.0.1:{port}", state, zone) for name, port, state, zone in rows]
    watch_event = {"seq": 1, "fleet": {"complete": complete, "members": members}}
    reader = EventReader()
    return reader.feed(RESPONSE_HEAD + b"data: %b\n\n" % json.dumps(watch_event).encode())[0].fleet


@settings(max_examples=150)
@given(st.lists(CHANGES, max_size=12))
def test_no_name_or_address_is_in_force_twice_and_no_drain_is_lost(changes):
    cells = {cell: CellMembers() for cell in ZONES}
    reconciler, full_reconciler = CellReconciler(), CellReconciler()
    for cell, complete, rows in changes:
        before = reconciler.lines_in_force
        cells[cell].apply(fleet_update(complete, rows))
        reconciler.reconcile({name: members.reported_lines for name, members in cells.items()}, ZONES)
        full_reconciler.reconcile(
            {name: dict(members.reported_lines) for name, members in cells.items()}, ZONES
        )
        in_force, rejected = reconciler.lines_in_force, reconciler.rejection_reasons
        # Skipping unchanged cells gives the same result as processing every cell again.
        assert (in_force, rejected) == (full_reconciler.lines_in_force, full_reconciler.rejection_reasons)
        lines = [line for cell_lines in in_force.values() for line in cell_lines.values()]
        assert len({line.name for line in lines}) == len({line.where for line in lines}) == len(lines)
        assert all(line.zone in ("", ZONES[name]) for name in in_force for line in in_force[name].values())
        # If an event has several members of one host, the last one counts.
        last = {name: (state, zone) for name, _, state, zone in rows}
        for name, (state, _) in last.items():
            if name in before.get(cell, {}):
                assert state == "active" or name not in in_force[cell] or in_force[cell][name].state == state
        for name, members in cells.items():
            assert set(in_force[name]) <= set(members.reported_lines)
            missing = set(members.reported_lines) - set(in_force[name])
            assert missing <= set(rejected.get(name, {}))


@settings(max_examples=80)
@given(st.lists(CHANGES, max_size=6))
def test_the_lines_in_force_stay_the_same_without_new_events(changes):
    cells, reconciler = {cell: CellMembers() for cell in ZONES}, CellReconciler()
    for cell, complete, rows in changes:
        cells[cell].apply(fleet_update(complete, rows))
        reconciler.reconcile({name: members.reported_lines for name, members in cells.items()}, ZONES)
        in_force = {name: list(lines.items()) for name, lines in reconciler.lines_in_force.items()}
        reconciler.reconcile({name: dict(members.reported_lines) for name, members in cells.items()}, ZONES)
        assert {name: list(lines.items()) for name, lines in reconciler.lines_in_force.items()} == in_force


def test_an_address_goes_to_another_host_of_the_cell_once_its_host_is_removed():
    cell, reconciler = CellMembers(), CellReconciler()
    cell.apply(fleet_update(True, [("u", 1, "active", ""), ("v", 2, "active", "")]))
    reconciler.reconcile({"a1": cell.reported_lines}, ZONES)
    cell.apply(fleet_update(False, [("w", 1, "active", "")]))
    reconciler.reconcile({"a1": cell.reported_lines}, ZONES)
    assert set(reconciler.lines_in_force["a1"]) == {"u", "v"}
    assert list(reconciler.rejection_reasons["a1"]) == ["w"]
    cell.apply(fleet_update(False, [("u", 1, "gone", "")]))
    reconciler.reconcile({"a1": cell.reported_lines}, ZONES)
    assert set(reconciler.lines_in_force["a1"]) == {"v", "w"}
    assert reconciler.rejection_reasons == {}


# Conversion of lines to endpoints


def line(name, port, **fields):
    """A line of a host list."""
    return HostLine(name=name, where=f"127.0.0.1:{port}", **fields)


def test_only_changed_lines_are_converted_again():
    endpoints = CellEndpointConverter(Loop(), use_capacities=True)
    lists = {"a1": [line("u", 1), line("v", 2)], "b1": [line("w", 3)]}
    before = endpoints.convert(lists, ZONES)
    lists = {"a1": [line("u", 1), line("v", 2, state="draining")], "b1": lists["b1"]}
    after = endpoints.convert(lists, ZONES)
    assert after["b1"] is before["b1"]
    assert after["a1"][0] is before["a1"][0]
    assert [endpoint.listed.state.value for endpoint in after["a1"]] == ["active", "draining"]
    moved = endpoints.convert(lists, ZONES | {"b1": "a"})  # a newer cell table has the cell in another zone
    assert moved["b1"][0].listed.zone == before["a1"][0].listed.zone != before["b1"][0].listed.zone
    assert endpoints.convert({"b1": lists["b1"]}, ZONES) == {"b1": before["b1"]}
    assert list(endpoints.lists) == ["b1"]


def test_unused_racks_are_deleted_and_no_number_is_reused():
    converter, used_numbers = HostLineConverter(Loop()), set()
    for number in range(3 * MAX_NUMBERED_NAMES):
        staying, new = converter.endpoints([line("u", 1, rack="old"), line("v", 2, rack=f"r{number}")])
        assert staying.listed.cell == 0
        assert new.listed.cell not in used_numbers
        used_numbers.add(new.listed.cell)
        assert len(converter.racks.by_name) <= MAX_NUMBERED_NAMES + 1
