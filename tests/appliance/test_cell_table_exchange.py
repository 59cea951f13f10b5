"""The cell table between processes of the program: sent to others, stored on disk, passed on when its
source is killed."""

import signal

import pytest

CELLS = {"a1": ("a1", ("ga",)), "b1": ("b1", ("gc", "gd"))}
NAMES = ("ga", "gc", "gd")
ZONES = dict(zip(NAMES, ("a1", "b1", "b1"), strict=True))
OK = 200


class TableReplicas:
    """Three gateways of which `ga` alone has a table file; each knows all others as peers."""

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

    def reaches(self, name, track):
        """Whether a call at that gateway reaches its copy in the other cell."""
        fleet = self.fleet
        cell = "b1" if name == "ga" else "a1"
        call = f"{name} {fleet.number} {track}"
        answer = fleet.wait(fleet.ask(name, fleet.homed(track, cell), call))
        return answer.status == OK and [host[:2] for host in fleet.came(call)] == [cell]


@pytest.fixture
def replicas(cells):
    return TableReplicas(cells(CELLS))


def test_a_table_that_came_from_a_peer_counts_as_one_from_the_file(replicas):
    assert all(replicas.reaches(name, "order") for name in NAMES)
    replicas.fleet.write_table()
    replicas.fleet.up(*NAMES)
    assert all(replicas.reaches(name, "check") for name in NAMES)
    assert not any(replicas.fleet.events(name, "internal_error") for name in NAMES)


def test_a_gateway_restarted_alone_serves_by_the_table_stored_on_disk(replicas):
    fleet = replicas.fleet
    fleet.stop("gc")
    fleet.stop("ga")
    fleet.stop("gd")
    replicas.start("gc")
    fleet.up("gc")
    answer = fleet.wait(fleet.ask("gc", fleet.homed("order", "b1"), "t1"))
    assert answer.status == OK
    assert fleet.came("t1")


def test_a_gateway_restarted_with_an_old_table_on_disk_takes_the_newer_one(replicas):
    fleet = replicas.fleet
    fleet.stop("gc")
    fleet.write_table()
    fleet.up("ga", "gd")
    replicas.start("gc")
    fleet.up("gc")
    assert replicas.reaches("gc", "order")


def test_a_table_is_passed_on_when_its_source_is_killed_while_it_sends(replicas):
    fleet = replicas.fleet
    fleet.write_table()
    fleet.until(lambda: "1.2" in (held(fleet, "gc"), held(fleet, "gd")))
    fleet.stop("ga", signal.SIGKILL)
    fleet.up("gc", "gd")
    replicas.start("ga")
    fleet.up("ga")
    assert all(replicas.reaches(name, "order") for name in NAMES)


def held(fleet, name):
    return fleet.cell_status(name).get("version")


def test_a_stored_table_that_is_torn_is_quarantined_and_the_gateway_asks_others(replicas):
    fleet = replicas.fleet
    fleet.stop("gc")
    table_file = fleet.folder / "gc.copy"
    table_file.write_bytes(table_file.read_bytes()[:-3])
    replicas.start("gc")
    fleet.up("gc")
    assert replicas.reaches("gc", "order")
    assert list(fleet.folder.glob("gc.copy.broken-*"))


def test_two_tables_of_one_version_are_distinguished_until_a_newer_one_comes(cells):
    fleet = cells(CELLS)
    fleet.write_table()
    other = fleet.folder / "other.table"
    fleet.replace(other, fleet.table_text(CELLS | {"b1": ("b1", ("gc",))}))
    for name, table in (("ga", fleet.table), ("gc", other)):
        peer = {"ga": "gc", "gc": "ga"}[name]
        fleet.start(name, ZONES[name], table=table, more=f"peer {peer} {fleet.entries[peer]}")
    fleet.up("ga", "gc")
    fleet.until(lambda: any("sent" in reason for name in ("ga", "gc") for reason in refused(fleet, name)))
    for name in ("ga", "gc"):
        assert fleet.wait(fleet.ask(name, fleet.homed("order", "b1"), name)).status == OK
    fleet.write_table()
    fleet.up("ga", "gc")


def refused(fleet, name):
    return fleet.cell_status(name)["refused"]
