"""Deduplicated calls whose forwarding broke off: sent to another entry only within their window."""

import signal

import cells_tables
import pytest
from helpers import TERMS, Drive, task

from gaproute import interface as face
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.cells.remote_cells import MAX_TRANSIT_TIME

MILLI = 1_000_000
IDEMPOTENT_WITH_KEY = 1
LIMIT = TERMS.request_classes[IDEMPOTENT_WITH_KEY].deduplication_window - MAX_TRANSIT_TIME


def broken_off(result=face.Result.RESET, time_left=LIMIT, **options):
    """A deduplicated call whose first attempt to an entry ended so; `options`: what differs in its class."""
    tracks = list(TERMS.request_classes)
    tracks[IDEMPOTENT_WITH_KEY] = tracks[IDEMPOTENT_WITH_KEY]._replace(**options)
    terms = TERMS._replace(hedging_allowed=False, request_classes=tuple(tracks))
    made = CellularGateway(7, terms, 0, GatewayLocation("gateway1", "region0", "zone0"))
    made.adopt(0, cells_tables.table(cells_tables.cells(26)))
    name = next(name for name in map("f{}".format, range(1_000)) if made.homes.first(name) == "cell7")
    asked = task("t", name, IDEMPOTENT_WITH_KEY, time_left=time_left)
    drive = Drive(made, asked)
    drive.hears(10 * MILLI, result)
    return drive


def test_a_deduplicated_call_goes_to_another_entry_of_the_cell_where_its_whole_time_lies_in_the_window():
    drive = broken_off()
    assert drive.wishes[0].forwarded.cell == "cell7"
    assert len(set(drive.sent)) == 2
    drive.hears(20 * MILLI, face.Result.OK, 1)
    assert drive.ended


@pytest.mark.parametrize(
    "result", [face.Result.FULL, face.Result.NOT_LOADED, face.Result.CONNECT_FAILED, face.Result.RESET]
)
def test_a_deduplicated_call_that_broke_off_stays_in_its_cell_and_is_never_declined(result):
    drive = broken_off()
    assert [type(action) for action in drive.hears(20 * MILLI, result, 1)] == [face.Fail]
    assert drive.ended
    assert len(drive.sent) == 2


@pytest.mark.parametrize(
    "options",
    [
        {"time_left": LIMIT + 1},  # an entry might send it when the first run is forgotten
        {"idempotency_scope": face.IdempotencyScope.ZONE},
        {"idempotency_scope": face.IdempotencyScope.CELL},
        {"result": face.Result.ERROR},  # the entry answered: it tried again itself as far as that is allowed
        {"result": face.Result.TIMEOUT},
        {"idempotency": face.Idempotency.NON_IDEMPOTENT},
    ],
)
def test_else_a_call_that_broke_off_is_not_sent_again(options):
    drive = broken_off(**options)
    assert [type(action) for action in drive.wishes] == [face.Fail]
    assert len(drive.sent) == 1


@pytest.mark.parametrize(("track", "status", "sendings"), [("plan", 200, 2), ("rack-plan", 504, 1)])
def test_a_deduplicated_call_goes_to_another_entry_under_the_same_mark(cells, track, status, sendings):
    """Only where all hosts drop repeats; a cell has hosts of several racks. The entry is killed."""
    fleet = cells({"a1": ("a1", ("ga",)), "b1": ("b1", ("gc", "gd"))})
    fleet.write_table()
    for name in ("ga", "gc", "gd"):
        fleet.start(name, "a1" if name == "ga" else "b1")
    fleet.up("ga", "gc", "gd")
    servers = [host.model_server for name, host in fleet.hosts.items() if name.startswith("b1")]
    for server in servers:
        server.faults.replace("hang")
    call = fleet.ask("ga", fleet.homed(track, "b1"), "t1")
    fleet.until(lambda: fleet.came("t1"))
    (entry,) = [name for name in ("gc", "gd") if fleet.cell_status(name)["forwarded_in"]]
    for server in servers:
        server.faults.replace()
    fleet.stop(entry, signal.SIGKILL)
    assert fleet.wait(call).status == status
    came = [event for tap in fleet.taps.values() for event in tap.events if event.get("id") == "t1"]
    marks = [event["mark"] for event in came if event["what"] == "task"]
    assert len(marks) == sendings
    assert len(set(marks)) == 1
    assert marks[0].startswith("ga-")
    assert {name[:2] for name in fleet.came("t1")} == {"b1"}
