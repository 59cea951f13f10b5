"""How an entry gateway decides on forwarded requests, and how the forwarding gateway handles its answers."""

from dataclasses import replace

import pytest
from cells_tables import cell, cells, table
from helpers import ROUTING_SETTINGS, Drive, row, task

from gaproute import interface as face
from gaproute.decisions.cells.attempt_recorder import MIN_MEAN_DURATION
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.entries import MAX_HOPS, CellUnknown, EntrySelector, Forwarded
from gaproute.decisions.cells.location import GatewayLocation

MILLI, SECOND = 1_000_000, 1_000_000_000
IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT = 0, 1, 2
ADVICE = min(ROUTING_SETTINGS.retry_after_limit, ROUTING_SETTINGS.request_classes[0].latency_objective)


def make_gateway_without_table(**options):
    """A gateway in zone 0 that has no table; `options`: changed routing settings."""
    routing_settings = ROUTING_SETTINGS._replace(hedging_allowed=False, **options)
    return CellularGateway(7, routing_settings, 0, GatewayLocation("gateway1", "region0", "zone0"))


def make_gateway(count=26, entries=2, **options):
    """A gateway in zone 0 with a table of `count` cells, which knows the hosts of cell0."""
    gateway = make_gateway_without_table(**options)
    gateway.adopt(0, table(cells(count, entries=entries)))
    gateway.update_hosts(0, [row(f"cell0-{host}") for host in "abc"], complete=True, cell="cell0")
    return gateway


def functions_with_home(gateway, name, number=1):
    """Names of functions whose first home is the cell."""
    found = (f"f{place}" for place in range(100_000) if gateway.homes.first(f"f{place}") == name)
    return [next(found) for _ in range(number)]


def first_action_for_forwarded(gateway, name, hops=1):
    """The first action for a request that was forwarded to the gateway for the cell."""
    return next(gateway.serve(0, task("t"), Forwarded(name, hops)))


# Decisions of the entry gateway


def test_an_entry_without_a_table_does_not_know_the_cell():
    assert first_action_for_forwarded(make_gateway_without_table(), "cell0") == CellUnknown(
        ADVICE, face.RejectReason.CELL_UNKNOWN
    )


def test_an_entry_of_another_single_cell_does_not_know_the_cell():
    gateway = make_gateway_without_table()
    gateway.adopt(0, table([cell("only")]))
    # Its host list has not arrived
    assert isinstance(first_action_for_forwarded(gateway, "only"), CellUnknown)
    gateway.update_hosts(0, [row("a")], complete=True, cell="only")
    assert isinstance(first_action_for_forwarded(gateway, "cell7"), CellUnknown)
    assert first_action_for_forwarded(gateway, "only").host == "a"


def test_an_entry_distinguishes_an_unknown_cell_from_a_rejection():
    gateway = make_gateway()
    assert isinstance(first_action_for_forwarded(gateway, "nowhere"), CellUnknown)
    assert isinstance(first_action_for_forwarded(gateway, "cell7", MAX_HOPS), CellUnknown)
    gateway.health.record_unreachable(0, "cell0")
    rejection = first_action_for_forwarded(gateway, "cell0")
    assert isinstance(rejection, face.Reject)
    assert not isinstance(rejection, CellUnknown)
    gateway.update_hosts(0, [], complete=True, cell="cell0")
    gateway.health.faults.clear()
    assert isinstance(first_action_for_forwarded(gateway, "cell0"), CellUnknown)  # no host is active


@pytest.mark.parametrize(
    ("request_class", "result", "unknown"),
    [
        (IDEMPOTENT, face.Result.CONNECT_FAILED, True),
        (NON_IDEMPOTENT, face.Result.NOT_LOADED, True),
        # It may have run, which the answer must not deny
        (IDEMPOTENT, face.Result.RESET, False),
        (IDEMPOTENT, face.Result.FULL, False),
    ],
)
def test_an_entry_whose_forwarding_failed_reports_an_unknown_cell_only_if_nothing_ran(
    request_class, result, unknown
):
    gateway = make_gateway()
    serve = gateway.serve(0, task("t", request_class=request_class), Forwarded("cell7", 1))
    action, attempts = next(serve), 0
    while isinstance(action, face.Attempt):
        serve.send(attempts)
        outcome = face.Outcome(
            "t", attempts, action.host, result, MILLI, False, face.InstanceStatus.UNKNOWN, None, None
        )
        gateway.attempt_ended(MILLI, outcome)
        action, attempts = serve.send((MILLI, outcome)), attempts + 1
    assert isinstance(action, CellUnknown) == unknown
    assert action.retry_after == ADVICE


# Decisions of the gateway that forwards


@pytest.mark.parametrize("request_class", [IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT])
def test_a_request_goes_to_the_next_entry_if_one_does_not_know_the_cell(request_class):
    gateway = make_gateway()
    drive = Drive(gateway, task("t", functions_with_home(gateway, "cell7")[0], request_class))
    drive.hears(10 * MILLI, face.Result.NOT_LOADED)
    assert drive.wishes[0].forwarded.cell == "cell7"
    assert len(set(drive.sent)) == 2
    drive.hears(20 * MILLI, face.Result.OK, 1)
    assert drive.ended
    assert not gateway.health.is_faulty("cell7")


def test_an_entry_that_does_not_know_a_cell_is_avoided_for_that_cell_only():
    gateway, rows = make_gateway(), cells(26)
    rows[20] = replace(rows[20], entries=rows[7].entries)  # both cells have the same entries
    gateway.adopt(0, table(rows, number=2))
    name, second_name = functions_with_home(gateway, "cell7", 2)
    drive = Drive(gateway, task("t", name))
    drive.hears(10 * MILLI, face.Result.NOT_LOADED)
    unknowing_entry, other = drive.sent
    drive.hears(20 * MILLI, face.Result.OK, 1)
    assert Drive(gateway, task("u", second_name), now=30 * MILLI).sent == [other]
    assert gateway.entries.pick(30 * MILLI, rows[20]) == gateway.entries.ordered_entries(rows[20])[0]
    late = Drive(gateway, task("v", second_name), now=2 * SECOND)
    assert late.sent == [gateway.entries.ordered_entries(rows[7])[0].name]
    if late.sent == [unknowing_entry]:
        late.hears(2 * SECOND, face.Result.OK)
        assert not gateway.entries.unknown_cells


def test_a_cell_that_no_entry_knows_is_unreachable_and_its_requests_move_at_once():
    gateway = make_gateway()
    gateway.spill.tokens = 0  # no request may move that was rejected for load
    name = functions_with_home(gateway, "cell7")[0]
    drive = Drive(gateway, task("t", name, NON_IDEMPOTENT))
    for attempt in range(2):
        drive.hears(10 * MILLI, face.Result.NOT_LOADED, attempt)
    assert drive.wishes[0].forwarded.cell == gateway.homes.order(name, 2)[1]
    assert gateway.health.is_faulty("cell7")
    assert not gateway.health.records


def test_answers_of_entries_that_do_not_know_the_cell_do_not_count_as_its_rejections():
    gateway = make_gateway(entries=4)
    for number, name in enumerate(functions_with_home(gateway, "cell7", 12)):
        now = number * 100 * SECOND
        drive = Drive(gateway, task(f"t{number}", name), now)
        drive.hears(now, face.Result.NOT_LOADED)
        drive.hears(now, face.Result.OK, 1)
        assert not gateway.health.is_faulty("cell7")


def test_stored_unknown_cells_of_entries_are_bounded_by_the_table():
    selector, rows = EntrySelector("gateway1"), cells(3)
    for each in rows:
        selector.record_cell_unknown(0, each.entries[0].name, each.name)
        selector.record_cell_unknown(0, "another", each.name)
    selector.adopt(table(rows[:2]))
    assert set(selector.unknown_cells) == {(each.entries[0].name, each.name) for each in rows[:2]}


@pytest.mark.parametrize("result", [face.Result.FULL, face.Result.NOT_LOADED, face.Result.CONNECT_FAILED])
def test_a_request_that_all_cells_rejected_ends_with_the_retry_after_of_its_class(result):
    gateway, attempt = make_gateway(), 0
    drive = Drive(gateway, task("t", functions_with_home(gateway, "cell7")[0], NON_IDEMPOTENT))
    while not drive.ended:
        drive.hears(10 * MILLI, result, attempt)
        attempt += 1
    (answer,) = drive.wishes
    assert isinstance(answer, face.Reject)
    assert answer.retry_after == ADVICE > 0


def test_a_request_for_which_no_cell_is_usable_ends_with_the_retry_after_of_its_class():
    gateway = make_gateway(count=2)
    for name in ("cell0", "cell1"):
        gateway.health.record_unreachable(0, name)
    assert Drive(gateway, task("t", request_class=NON_IDEMPOTENT)).wishes == [
        face.Reject(ADVICE, face.RejectReason.NO_CELL_AVAILABLE)
    ]


def test_forwarded_requests_that_wait_for_a_load_do_not_count_for_the_mean_duration():
    """Otherwise a cell that loads instances would count as slow; entries report what requests found there."""
    gateway = make_gateway()
    name = functions_with_home(gateway, "cell7")[0]
    for number in range(20):
        drive = Drive(gateway, task(f"t{number}", name), number * SECOND)
        drive.hears(number * SECOND, face.Result.OK, found=face.InstanceStatus.WARM, took=50 * MILLI)
    mean_before = gateway.demand.mean_duration(name)
    for number in range(20, 40):
        drive = Drive(gateway, task(f"t{number}", name), number * SECOND)
        drive.hears(number * SECOND, face.Result.OK, found=face.InstanceStatus.BEGAN_LOAD, took=2 * SECOND)
    assert gateway.demand.mean_duration(name) == mean_before
    assert not gateway.health.is_faulty("cell7")


@pytest.mark.parametrize(("took", "slow"), [(4 * MIN_MEAN_DURATION, False), (40 * MIN_MEAN_DURATION, True)])
def test_a_stall_of_some_milliseconds_does_not_make_a_cell_with_fast_answers_slow(took, slow):
    """Otherwise eight answers that arrive during one stall of this gateway would make every cell slow."""
    gateway = make_gateway()
    for _ in range(2_000):
        gateway.demand.record_duration("any", MILLI)
    for number, name in enumerate(functions_with_home(gateway, "cell7", 8)):
        now = number * SECOND // 10
        drive = Drive(gateway, task(f"t{number}", name), now)
        drive.hears(now, face.Result.OK, found=face.InstanceStatus.WARM, took=took)
    assert gateway.health.is_faulty("cell7") == slow
