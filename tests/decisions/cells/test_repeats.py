"""Requests with an idempotency key whose connection to an entry broke: when they are sent again."""

import signal

import cells_tables
import pytest
from helpers import ROUTING_SETTINGS, Drive, task

from gaproute import interface as face
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.cells.remote_cells import MAX_TRANSIT_TIME

MILLI = 1_000_000
IDEMPOTENT_WITH_KEY = 1
MAX_TIME_LEFT = ROUTING_SETTINGS.request_classes[IDEMPOTENT_WITH_KEY].deduplication_window - MAX_TRANSIT_TIME


def drive_after_first_attempt(result=face.Result.RESET, time_left=MAX_TIME_LEFT, **options):
    """Drives a request with a key whose first attempt ended with `result`; `options` change its class."""
    request_classes = list(ROUTING_SETTINGS.request_classes)
    request_classes[IDEMPOTENT_WITH_KEY] = request_classes[IDEMPOTENT_WITH_KEY]._replace(**options)
    routing_settings = ROUTING_SETTINGS._replace(
        hedging_allowed=False, request_classes=tuple(request_classes)
    )
    gateway = CellularGateway(7, routing_settings, 0, GatewayLocation("gateway1", "region0", "zone0"))
    gateway.adopt(0, cells_tables.table(cells_tables.cells(26)))
    name = next(name for name in map("f{}".format, range(1_000)) if gateway.homes.first(name) == "cell7")
    request = task("t", name, IDEMPOTENT_WITH_KEY, time_left=time_left)
    drive = Drive(gateway, request)
    drive.hears(10 * MILLI, result)
    return drive


def test_a_request_with_a_key_goes_to_another_entry_if_its_deadline_lies_in_the_repeat_window():
    drive = drive_after_first_attempt()
    assert drive.wishes[0].forwarded.cell == "cell7"
    assert len(set(drive.sent)) == 2
    drive.hears(20 * MILLI, face.Result.OK, 1)
    assert drive.ended


@pytest.mark.parametrize(
    "result", [face.Result.FULL, face.Result.NOT_LOADED, face.Result.CONNECT_FAILED, face.Result.RESET]
)
def test_a_request_with_a_key_whose_connection_broke_stays_in_its_cell_and_is_never_rejected(result):
    drive = drive_after_first_attempt()
    assert [type(action) for action in drive.hears(20 * MILLI, result, 1)] == [face.Fail]
    assert drive.ended
    assert len(drive.sent) == 2


@pytest.mark.parametrize(
    "options",
    [
        {"time_left": MAX_TIME_LEFT + 1},  # an entry might send it when hosts have dropped the key
        {"idempotency_scope": face.IdempotencyScope.ZONE},
        {"idempotency_scope": face.IdempotencyScope.CELL},
        {"result": face.Result.ERROR},  # the entry answered: it made the allowed retries itself
        {"result": face.Result.TIMEOUT},
        {"idempotency": face.Idempotency.NON_IDEMPOTENT},
    ],
)
def test_other_requests_whose_connection_broke_are_not_sent_again(options):
    drive = drive_after_first_attempt(**options)
    assert [type(action) for action in drive.wishes] == [face.Fail]
    assert len(drive.sent) == 1


@pytest.mark.parametrize(("model_kind", "status", "attempt_count"), [("plan", 200, 2), ("rack-plan", 504, 1)])
def test_a_request_with_a_key_goes_to_another_entry_with_the_same_request_id(
    cells, model_kind, status, attempt_count
):
    """Only if all hosts share the keys, as a cell has hosts of several racks. The first entry is killed."""
    fleet = cells({"a1": ("a1", ("ga",)), "b1": ("b1", ("gc", "gd"))})
    fleet.write_table()
    for name in ("ga", "gc", "gd"):
        fleet.start(name, "a1" if name == "ga" else "b1")
    fleet.up("ga", "gc", "gd")
    servers = [host.model_server for name, host in fleet.hosts.items() if name.startswith("b1")]
    for server in servers:
        server.faults.replace("hang")
    answer = fleet.ask("ga", fleet.homed(model_kind, "b1"), "t1")
    fleet.until(lambda: fleet.came("t1"))
    (entry,) = [name for name in ("gc", "gd") if fleet.cell_status(name)["forwarded_in"]]
    for server in servers:
        server.faults.replace()
    fleet.stop(entry, signal.SIGKILL)
    assert fleet.wait(answer).status == status
    came = [event for tap in fleet.taps.values() for event in tap.events if event.get("id") == "t1"]
    marks = [event["mark"] for event in came if event["what"] == "task"]
    assert len(marks) == attempt_count
    assert len(set(marks)) == 1
    assert marks[0].startswith("ga-")
    assert {name[:2] for name in fleet.came("t1")} == {"b1"}
