"""Several gateway processes in a fleet of cells when tables differ, gateways fail and files are invalid:
requests are answered, and no non-idempotent request runs twice."""

import signal

import pytest
from cell_fleet import models
from helpers import MILLI

TWO_ENTRIES = {"a1": ("a1", ("ga",)), "b1": ("b1", ("gc", "gd"))}
ONE_ENTRY = TWO_ENTRIES | {"b1": ("b1", ("gc",))}
OK, GATEWAY_TIMEOUT = 200, 504


class RequestLoop:
    """Sends requests for every model to a gateway, one after another, until `finish`."""

    def __init__(self, fleet, name, label=""):
        self.fleet, self.name, self.label = fleet, name, label
        self.statuses, self.sending = {}, True  # {request: its status}
        self.models = [model for pair in zip(models("check"), models("order"), strict=True) for model in pair]
        self.routine = fleet.loop.spawn(self._send_requests())

    def _send_requests(self):
        number = 0
        while self.sending:
            model = self.models[number % len(self.models)]
            call = f"{self.label} {number} {model}"
            answer = yield self.fleet.ask(self.name, model, call)
            self.statuses[call] = answer.status if answer is not None else None
            number += 1
            yield self.fleet.loop.sleep(2 * MILLI)

    def wait_for_more(self, count=40):
        """Waits until `count` further requests are answered."""
        min_count = len(self.statuses) + count
        self.fleet.until(lambda: len(self.statuses) >= min_count)

    def finish(self):
        """Sends no more requests; returns {request: status} once the last one is answered."""
        self.sending = False
        self.fleet.wait(self.routine.done)
        return self.statuses

    def finish_with_statuses(self):
        """Sends no more requests; returns the set of all statuses."""
        return set(self.finish().values())


def start_fleet(fleet, *names, **options):
    """Starts the named gateways and waits until they serve; returns the fleet."""
    fleet.write_table()
    for name in names:
        fleet.start(name, "a1" if name == "ga" else "b1", **options)
    fleet.up(*names)
    return fleet


@pytest.fixture
def two_entries(cells):
    """Two cells in two regions; `ga` is the entry gateway of one, `gc` and `gd` of the other."""
    return start_fleet(cells(TWO_ENTRIES), "ga", "gc", "gd")


@pytest.fixture
def one_entry(cells):
    """As `two_entries`, but `gc` is the only entry gateway of the other cell."""
    return start_fleet(cells(ONE_ENTRY), "ga", "gc")


def forwarding_target(fleet, call):
    """The entry gateway of the only forwarded request, once that request has reached a host."""
    fleet.until(lambda: fleet.came(call))
    (name,) = [name for name in ("gc", "gd") if fleet.cell_status(name)["forwarded_in"]]
    return name


def set_faults(fleet, cell, **faults):
    """Sets the faults of all hosts of the cell, replacing earlier ones."""
    for name, host in fleet.hosts.items():
        if name.startswith(cell):
            host.model_server.faults.replace(*faults)


# Tables that differ


def test_a_gateway_forwards_a_request_that_a_gateway_with_an_older_table_sent_to_it(cells):
    fleet = cells(TWO_ENTRIES | {"c1": ("c1", ("ge",))})
    old_table, new_table = fleet.folder / "old.table", fleet.folder / "new.table"
    fleet.write_table({"a1": ("a1", ("ga",)), "b1": ("b1", ("ge",)), "c1": ("c1", ())}, path=old_table)
    fleet.write_table(path=new_table)
    fleet.write_table(path=fleet.table)
    for name, zone in (("gc", "b1"), ("gd", "b1"), ("ge", "c1")):
        fleet.start(name, zone, table=new_table)
    fleet.up("gc", "gd", "ge", version="1.2")
    # `ga` starts last, as the other gateways send it the newer table within a second of its start
    fleet.start("ga", "a1", table=old_table)  # in the old table `ge` is the entry gateway of b1
    fleet.up("ga", version="1.1")
    answer_promise = fleet.ask("ga", fleet.homed("order", "b1"), "t1")
    assert fleet.wait(answer_promise).status == OK
    assert len(fleet.came("t1")) == 1
    assert fleet.came("t1")[0].startswith("b1")
    statuses = {name: fleet.cell_status(name) for name in ("ga", "gc", "gd", "ge")}
    assert [statuses[name]["forwarded_out"] for name in ("ga", "ge")] == [1, 1]
    assert statuses["gc"]["forwarded_in"] + statuses["gd"]["forwarded_in"] == 1


def test_gateways_that_take_each_other_for_entry_gateways_forward_a_request_twice_at_most(cells):
    fleet = cells({"a1": ("a1", ("gx", "gy")), "b1": ("b1", ("gz",))}, hosts=1)
    tables = {"gx": fleet.folder / "x.table", "gy": fleet.folder / "y.table"}
    for name, other in (("gx", "gy"), ("gy", "gx")):
        fleet.write_table({"a1": ("a1", ()), "b1": ("b1", (other,))}, path=tables[name])
    fleet.write_table()
    for name, table in tables.items():
        fleet.start(name, "a1", table=table)
    fleet.up("gx", version="1.1")
    fleet.up("gy", version="1.2")
    answer = fleet.wait(fleet.ask("gx", fleet.homed("order", "b1"), "t1"))
    # No gateway of this fleet reaches b1, so the request runs in a1 or is rejected
    assert answer.status in (OK, 503)
    assert len(fleet.came("t1")) <= 1
    statuses = {name: fleet.cell_status(name) for name in tables}
    assert [statuses["gx"][counter] for counter in ("forwarded_out", "forwarded_in")] == [1, 1]
    assert [statuses["gy"][counter] for counter in ("forwarded_out", "forwarded_in")] == [1, 1]


# Gateways that fail


def test_an_entry_gateway_without_an_answer_of_its_hosts_answers_within_the_deadline(cells):
    fleet = start_fleet(cells(ONE_ENTRY), "ga", "gc", more="clients way-back 200ms\n")
    set_faults(fleet, "b1", hang=True)
    started_at = fleet.loop.now()
    answer = fleet.wait(fleet.ask("ga", fleet.homed("order", "b1"), "t1", "Gaproute-Limit-Ms: 1000\r\n"))
    assert answer.status == GATEWAY_TIMEOUT
    assert fleet.loop.now() - started_at < 1000 * MILLI
    counts = [fleet.status(name)["counts"] for name in ("ga", "gc")]
    assert all(each["scrapped"] == {"order": 1} and "left" not in each for each in counts)


def test_no_non_idempotent_request_runs_twice_when_an_entry_gateway_is_killed_under_load(two_entries):
    request_loops = [RequestLoop(two_entries, "ga", label=f"c{number}") for number in range(6)]
    for request_loop in request_loops:
        request_loop.wait_for_more(10)
    two_entries.stop("gc", signal.SIGKILL)
    for request_loop in request_loops:
        request_loop.wait_for_more(30)
    statuses = {
        call: status for request_loop in request_loops for call, status in request_loop.finish().items()
    }
    assert {status for call, status in statuses.items() if "check" in call} == {OK}
    assert {status for call, status in statuses.items() if "order" in call} <= {OK, GATEWAY_TIMEOUT}
    assert all(len(two_entries.ran(call)) <= 1 for call in statuses if "order" in call)


def test_a_non_idempotent_request_fails_when_its_entry_gateway_is_killed(one_entry):
    set_faults(one_entry, "b1", hang=True)
    answer_promise = one_entry.ask("ga", one_entry.homed("order", "b1"), "t1")
    one_entry.until(lambda: one_entry.came("t1"))
    one_entry.stop("gc", signal.SIGKILL)
    answer = one_entry.wait(answer_promise)
    assert (answer.status, answer.headers[b"gaproute-outcome"]) == (GATEWAY_TIMEOUT, b"scrapped")
    assert len(one_entry.came("t1")) == 1


def test_an_idempotent_request_is_retried_at_another_entry_gateway_when_its_own_is_killed(two_entries):
    set_faults(two_entries, "b1", hang=True)
    answer_promise = two_entries.ask("ga", two_entries.homed("check", "b1"), "t1")
    failed_entry = forwarding_target(two_entries, "t1")
    set_faults(two_entries, "b1")
    two_entries.stop(failed_entry, signal.SIGKILL)
    assert two_entries.wait(answer_promise).status == OK
    (remaining_entry,) = {"gc", "gd"} - {failed_entry}
    assert two_entries.cell_status(remaining_entry)["forwarded_in"] == 1
    assert two_entries.ran("t1")[0].startswith("b1")


def test_requests_are_served_while_an_entry_gateway_stops_and_restarts(two_entries):
    request_loop = RequestLoop(two_entries, "ga")
    request_loop.wait_for_more()
    two_entries.stop("gc")
    request_loop.wait_for_more(60)
    two_entries.start("gc", "b1")
    two_entries.up("gc")
    request_loop.wait_for_more()
    assert request_loop.finish_with_statuses() == {OK}
    assert all(len(two_entries.ran(call)) == 1 for call in request_loop.statuses if "order" in call)


def restart_without_a_table(fleet):
    """Restarts `ga` without the file of the table; returns the text of the file."""
    fleet.stop("ga")
    text = fleet.table.read_text()
    fleet.table.unlink()
    fleet.start("ga", "a1")
    fleet.until(lambda: fleet.events("ga", "started")[1:])
    return text


def test_a_gateway_restarted_without_a_table_rejects_requests_until_the_table_is_back(one_entry):
    one_entry.stop("gc")  # `gc` would send the table to `ga`
    text = restart_without_a_table(one_entry)
    for cell in ONE_ENTRY:
        answer = one_entry.wait(one_entry.ask("ga", one_entry.homed("order", cell), "t1"))
        assert answer.status == 503
        assert one_entry.came("t1") == []
    assert one_entry.cell_status("ga")["version"] is None
    one_entry.replace(one_entry.table, text)
    one_entry.start("gc", "b1")
    one_entry.up("ga", "gc")
    assert one_entry.wait(one_entry.ask("ga", one_entry.homed("order", "a1"), "t2")).status == OK
    assert one_entry.wait(one_entry.ask("ga", one_entry.homed("order", "b1"), "t3")).status == OK


def test_a_gateway_restarted_without_a_table_file_gets_the_table_from_a_peer(one_entry):
    restart_without_a_table(one_entry)
    assert one_entry.cell_status("gc")["version"] == "1.1"
    assert one_entry.wait(one_entry.ask("gc", one_entry.homed("order", "b1"), "t1")).status == OK
    one_entry.up("ga")
    assert one_entry.cell_status("ga")["version"] == "1.1"
    assert not one_entry.table.exists()
    assert one_entry.wait(one_entry.ask("ga", one_entry.homed("order", "b1"), "t2")).status == OK


# Files that change or are invalid


def test_no_request_is_lost_while_a_cell_is_drained(one_entry):
    request_loop = RequestLoop(one_entry, "ga")
    request_loop.wait_for_more(100)
    one_entry.write_table({"a1": ONE_ENTRY["a1"]})
    one_entry.up("ga", "gc")
    reached = sum(len(one_entry.came(call)) for call in request_loop.statuses)
    earlier_requests = set(request_loop.statuses)
    request_loop.wait_for_more(100)
    assert request_loop.finish_with_statuses() == {OK}
    assert reached >= 100
    later_requests = [call for call in request_loop.statuses if call not in earlier_requests][4:]
    assert {host[:2] for call in later_requests for host in one_entry.came(call)} == {"a1"}
    assert all(len(one_entry.ran(call)) == 1 for call in request_loop.statuses if "order" in call)


def test_no_request_is_lost_while_tables_are_rejected_and_each_rejection_is_counted(one_entry):
    request_loop = RequestLoop(one_entry, "ga")
    request_loop.wait_for_more()
    one_entry.write_table()
    one_entry.up("ga", "gc")
    valid_text = one_entry.table.read_text()
    invalid_texts = {
        "wrong file": valid_text[: len(valid_text) // 2],
        "older": one_entry.table_text(number=1),
        "contradicts": one_entry.table_text({"a1": ONE_ENTRY["a1"], "b1": ("b1", ("ga", "gc"))}),
        "other fleet": one_entry.table_text(number=9, fleet="south"),
    }
    for reason, text in invalid_texts.items():
        one_entry.replace(one_entry.table, text)
        one_entry.until(lambda reason=reason: one_entry.cell_status("ga")["refused"].get(reason) == 1)
        request_loop.wait_for_more(20)
    one_entry.table.unlink()
    request_loop.wait_for_more(20)
    one_entry.write_table()
    one_entry.up("ga", "gc")
    assert request_loop.finish_with_statuses() == {OK}
    rejections = one_entry.cell_status("ga")["refused"]
    assert rejections.pop("wrong file") == 2
    assert rejections == dict.fromkeys(("older", "contradicts", "other fleet"), 1)
    assert len(one_entry.events("ga", "cell_table_rejected")) == 5
    assert not one_entry.events("ga", "peer_cell_table_rejected")
