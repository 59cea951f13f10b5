"""What an entry gateway answers to a call for a cell that it does not know, and what the gateway that
forwarded it makes of each answer: decisions alone."""

from dataclasses import replace

import pytest
from cells_tables import cell, cells, table
from helpers import TERMS, Drive, row, task

from gaproute import interface as face
from gaproute.decisions.cells.attempt_recorder import MIN_MEAN_DURATION
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.entries import MAX_HOPS, CellUnknown, EntrySelector, Forwarded
from gaproute.decisions.cells.location import GatewayLocation

MILLI, SECOND = 1_000_000, 1_000_000_000
IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT = 0, 1, 2
ADVICE = min(TERMS.retry_after_limit, TERMS.request_classes[0].latency_objective)


def bare(**options):
    """A gateway of zone 0 without a table; `options`: terms that differ."""
    terms = TERMS._replace(hedging_allowed=False, **options)
    return CellularGateway(7, terms, 0, GatewayLocation("gateway1", "region0", "zone0"))


def fleet(count=26, entries=2, **options):
    """The same, with a table of several cells; it knows the hosts of one."""
    made = bare(**options)
    made.adopt(0, table(cells(count, entries=entries)))
    made.update_hosts(0, [row(f"cell0-{host}") for host in "abc"], complete=True, cell="cell0")
    return made


def homed(made, name, number=1):
    """Functions whose first home is the cell."""
    found = (f"f{place}" for place in range(100_000) if made.homes.first(f"f{place}") == name)
    return [next(found) for _ in range(number)]


def forwarded(made, name, hops=1, asked=None):
    """The first action for a request that was forwarded here for the cell."""
    return next(made.serve(0, asked or task("t"), Forwarded(name, hops)))


# The entry


def test_an_entry_without_a_table_does_not_know_the_cell():
    assert forwarded(bare(), "cell0") == CellUnknown(ADVICE, face.RejectReason.CELL_UNKNOWN)


def test_an_entry_of_another_single_cell_does_not_know_the_cell():
    made = bare()
    made.adopt(0, table([cell("only")]))
    assert isinstance(forwarded(made, "only"), CellUnknown)  # its host list has not come
    made.update_hosts(0, [row("a")], complete=True, cell="only")
    assert isinstance(forwarded(made, "cell7"), CellUnknown)
    assert forwarded(made, "only").host == "a"


def test_an_entry_says_whether_it_does_not_know_the_cell_or_refuses():
    made = fleet()
    assert isinstance(forwarded(made, "nowhere"), CellUnknown)
    assert isinstance(forwarded(made, "cell7", MAX_HOPS), CellUnknown)
    made.health.record_unreachable(0, "cell0")
    refused = forwarded(made, "cell0")
    assert isinstance(refused, face.Reject)
    assert not isinstance(refused, CellUnknown)
    made.update_hosts(0, [], complete=True, cell="cell0")
    made.health.faults.clear()
    assert isinstance(forwarded(made, "cell0"), CellUnknown)  # no host to send it to


@pytest.mark.parametrize(
    ("request_class", "result", "unknown"),
    [
        (IDEMPOTENT, face.Result.CONNECT_FAILED, True),
        (NON_IDEMPOTENT, face.Result.NOT_LOADED, True),
        (
            IDEMPOTENT,
            face.Result.RESET,
            False,
        ),  # it may have run, and that must not look like a proof that it did not
        (IDEMPOTENT, face.Result.FULL, False),
    ],
)
def test_an_entry_that_cannot_forward_does_not_know_the_cell_where_nothing_ran(
    request_class, result, unknown
):
    made = fleet()
    serve = made.serve(0, task("t", request_class=request_class), Forwarded("cell7", 1))
    action, attempts = next(serve), 0
    while isinstance(action, face.Attempt):
        serve.send(attempts)
        outcome = face.Outcome(
            "t", attempts, action.host, result, MILLI, False, face.InstanceStatus.UNKNOWN, None, None
        )
        made.attempt_ended(MILLI, outcome)
        action, attempts = serve.send((MILLI, outcome)), attempts + 1
    assert isinstance(action, CellUnknown) == unknown
    assert action.retry_after == ADVICE


# The gateway that forwards


@pytest.mark.parametrize("request_class", [IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT])
def test_where_an_entry_does_not_know_the_cell_the_next_one_of_the_cell_is_asked(request_class):
    made = fleet()
    drive = Drive(made, task("t", homed(made, "cell7")[0], request_class))
    drive.hears(10 * MILLI, face.Result.NOT_LOADED)
    assert drive.wishes[0].forwarded.cell == "cell7"
    assert len(set(drive.sent)) == 2
    drive.hears(20 * MILLI, face.Result.OK, 1)
    assert drive.ended
    assert not made.health.is_faulty("cell7")


def test_an_entry_that_does_not_know_a_cell_is_passed_over_for_that_cell_alone():
    made, rows = fleet(), cells(26)
    rows[20] = replace(rows[20], entries=rows[7].entries)  # the same gateways lead into both
    made.adopt(0, table(rows, number=2))
    name, again = homed(made, "cell7", 2)
    drive = Drive(made, task("t", name))
    drive.hears(10 * MILLI, face.Result.NOT_LOADED)
    ignorant, other = drive.sent
    drive.hears(20 * MILLI, face.Result.OK, 1)
    assert Drive(made, task("u", again), now=30 * MILLI).sent == [other]
    assert made.entries.pick(30 * MILLI, rows[20]) == made.entries.order(rows[20])[0]
    late = Drive(made, task("v", again), now=2 * SECOND)
    assert late.sent == [made.entries.order(rows[7])[0].name]
    if late.sent == [ignorant]:
        late.hears(2 * SECOND, face.Result.OK)
        assert not made.entries.unknown_cells


def test_a_cell_that_no_entry_knows_has_no_way_in_and_its_calls_move_at_once():
    made = fleet()
    made.spill.tokens = 0  # nothing may move that was refused for load
    name = homed(made, "cell7")[0]
    drive = Drive(made, task("t", name, NON_IDEMPOTENT))
    for attempt in range(2):
        drive.hears(10 * MILLI, face.Result.NOT_LOADED, attempt)
    assert drive.wishes[0].forwarded.cell == made.homes.order(name, 2)[1]
    assert made.health.is_faulty("cell7")
    assert not made.health.records


def test_entries_that_do_not_know_the_cell_are_no_refusals_of_it():
    made = fleet(entries=4)
    for number, name in enumerate(homed(made, "cell7", 12)):
        now = number * 100 * SECOND
        drive = Drive(made, task(f"t{number}", name), now)
        drive.hears(now, face.Result.NOT_LOADED)
        drive.hears(now, face.Result.OK, 1)
        assert not made.health.is_faulty("cell7")


def test_what_is_remembered_of_entries_that_do_not_know_cells_is_bounded_by_the_table():
    ways, rows = EntrySelector("gateway1"), cells(3)
    for each in rows:
        ways.record_cell_unknown(0, each.entries[0].name, each.name)
        ways.record_cell_unknown(0, "another", each.name)
    ways.adopt(table(rows[:2]))
    assert set(ways.unknown_cells) == {(each.entries[0].name, each.name) for each in rows[:2]}


@pytest.mark.parametrize("result", [face.Result.FULL, face.Result.NOT_LOADED, face.Result.CONNECT_FAILED])
def test_a_call_that_all_cells_rejected_ends_with_the_retry_after_of_its_class(result):
    made, attempt = fleet(), 0
    drive = Drive(made, task("t", homed(made, "cell7")[0], NON_IDEMPOTENT))
    while not drive.ended:
        drive.hears(10 * MILLI, result, attempt)
        attempt += 1
    (ending,) = drive.wishes
    assert isinstance(ending, face.Reject)
    assert ending.retry_after == ADVICE > 0


def test_a_call_that_no_cell_may_take_ends_with_the_retry_after_of_its_class():
    made = fleet(count=2)
    for name in ("cell0", "cell1"):
        made.health.record_unreachable(0, name)
    assert Drive(made, task("t", request_class=NON_IDEMPOTENT)).wishes == [
        face.Reject(ADVICE, face.RejectReason.NO_CELL_AVAILABLE)
    ]


def test_loads_of_forwarded_calls_are_no_usual_answer_times():
    """A cell that loads is not taken for a slow one once its entries report what calls found there."""
    made = fleet()
    name = homed(made, "cell7")[0]
    for number in range(20):
        drive = Drive(made, task(f"t{number}", name), number * SECOND)
        drive.hears(number * SECOND, face.Result.OK, found=face.InstanceStatus.WARM, took=50 * MILLI)
    usual = made.demand.mean_duration(name)
    for number in range(20, 40):
        drive = Drive(made, task(f"t{number}", name), number * SECOND)
        drive.hears(number * SECOND, face.Result.OK, found=face.InstanceStatus.BEGAN_LOAD, took=2 * SECOND)
    assert made.demand.mean_duration(name) == usual
    assert not made.health.is_faulty("cell7")


@pytest.mark.parametrize(("took", "slow"), [(4 * MIN_MEAN_DURATION, False), (40 * MIN_MEAN_DURATION, True)])
def test_a_stall_of_some_milliseconds_is_no_slow_cell_where_answers_are_quick(took, slow):
    """Eight answers that came in one stall of this gateway would else show each cell as slow."""
    made = fleet()
    for _ in range(2_000):
        made.demand.record_duration("any", MILLI)
    for number, name in enumerate(homed(made, "cell7", 8)):
        now = number * SECOND // 10
        drive = Drive(made, task(f"t{number}", name), now)
        drive.hears(now, face.Result.OK, found=face.InstanceStatus.WARM, took=took)
    assert made.health.is_faulty("cell7") == slow
