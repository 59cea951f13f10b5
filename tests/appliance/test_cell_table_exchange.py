"""The cell table among gateway processes: sent to peers, stored on disk, passed on without its source."""

import signal

import pytest

CELLS = {"a1": ("a1", ("ga",)), "b1": ("b1", ("gc", "gd"))}
NAMES = ("ga", "gc", "gd")
ZONES = dict(zip(NAMES, ("a1", "b1", "b1"), strict=True))
OK = 200


class TableReplicas:
    """Three gateways that are peers of each other; only `ga` has a table file."""

    def __init__(self, fleet):
        self.fleet = fleet
        fleet.write_table()
        for name in NAMES:
            self.start(name)
        fleet.up(*NAMES)

    def start(self, name):
        fleet = self.fleet
        peers = [f"peer {other} {fleet.entries[other]}" for other in NAMES if other != name]
        table = fleet.table if name == "ga" else fleet.folder / "none"
        fleet.start(
            name,
            ZONES[name],
            table=table,
            table_file=fleet.folder / f"{name}.copy",
            more="\n".join(peers),
        )

    def request_reaches_other_cell(self, name, request_class):
        """Whether a request at the gateway `name` reaches a host in the other cell."""
        fleet = self.fleet
        cell = "b1" if name == "ga" else "a1"
        call = f"{name} {fleet.number} {request_class}"
        answer = fleet.wait(fleet.ask(name, fleet.homed(request_class, cell), call))
        return answer.status == OK and [host[:2] for host in fleet.came(call)] == [cell]


@pytest.fixture
def replicas(cells):
    return TableReplicas(cells(CELLS))


def test_gateways_use_a_table_from_a_peer_like_one_from_a_file(replicas):
    assert all(replicas.request_reaches_other_cell(name, "order") for name in NAMES)
    replicas.fleet.write_table()
    replicas.fleet.up(*NAMES)
    assert all(replicas.request_reaches_other_cell(name, "check") for name in NAMES)
    assert not any(replicas.fleet.events(name, "internal_error") for name in NAMES)


def test_a_gateway_restarted_without_peers_uses_the_table_stored_on_disk(replicas):
    fleet = replicas.fleet
    fleet.stop("gc")
    fleet.stop("ga")
    fleet.stop("gd")
    replicas.start("gc")
    fleet.up("gc")
    answer = fleet.wait(fleet.ask("gc", fleet.homed("order", "b1"), "t1"))
    assert answer.status == OK
    assert fleet.came("t1")


def test_a_gateway_restarted_with_an_old_table_on_disk_adopts_the_newer_table(replicas):
    fleet = replicas.fleet
    fleet.stop("gc")
    fleet.write_table()
    fleet.up("ga", "gd")
    replicas.start("gc")
    fleet.up("gc")
    assert replicas.request_reaches_other_cell("gc", "order")


def test_a_table_is_passed_on_when_its_source_is_killed_while_it_sends(replicas):
    fleet = replicas.fleet
    fleet.write_table()
    fleet.until(lambda: "1.2" in (current_version(fleet, "gc"), current_version(fleet, "gd")))
    fleet.stop("ga", signal.SIGKILL)
    fleet.up("gc", "gd")
    replicas.start("ga")
    fleet.up("ga")
    assert all(replicas.request_reaches_other_cell(name, "order") for name in NAMES)


def current_version(fleet, name):
    return fleet.cell_status(name).get("version")


def test_a_truncated_stored_table_is_quarantined_and_replaced_by_one_from_peers(replicas):
    fleet = replicas.fleet
    fleet.stop("gc")
    table_file = fleet.folder / "gc.copy"
    table_file.write_bytes(table_file.read_bytes()[:-3])
    replicas.start("gc")
    fleet.up("gc")
    assert replicas.request_reaches_other_cell("gc", "order")
    assert list(fleet.folder.glob("gc.copy.broken-*"))


def test_different_tables_of_the_same_version_are_detected_and_a_newer_table_replaces_both(cells):
    fleet = cells(CELLS)
    fleet.write_table()
    other = fleet.folder / "other.table"
    fleet.replace(other, fleet.table_text(CELLS | {"b1": ("b1", ("gc",))}))
    for name, table in (("ga", fleet.table), ("gc", other)):
        peer = {"ga": "gc", "gc": "ga"}[name]
        fleet.start(name, ZONES[name], table=table, more=f"peer {peer} {fleet.entries[peer]}")
    fleet.up("ga", "gc")
    fleet.until(
        lambda: any("sent" in reason for name in ("ga", "gc") for reason in rejection_counts(fleet, name))
    )
    for name in ("ga", "gc"):
        assert fleet.wait(fleet.ask(name, fleet.homed("order", "b1"), name)).status == OK
    fleet.write_table()
    fleet.up("ga", "gc")


def rejection_counts(fleet, name):
    return fleet.cell_status(name)["refused"]
