"""Dissemination of the cell table between two or three gateways in one process, on loopback sockets."""

import socket
from dataclasses import replace
from functools import partial

import pytest
from cells_tables import FLEET, cells, table

from gaproute.decisions.cells.change import TableChange, apply_change
from gaproute.decisions.cells.errors import TableError
from gaproute.decisions.cells.version import Version
from gaproute.decisions.chance import RandomGenerator
from gaproute.faultinjection.disk import FaultyDisk
from gaproute.faultinjection.disk_faults import DISK_FULL, IO_ERROR
from gaproute.faultinjection.plan import FaultPlan, Script
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.loop.datagrams import DatagramSocket
from gaproute.peers import datagram_pb2
from gaproute.peers.membership import MembershipTransport
from gaproute.peers.membership_wire import PayloadKind
from gaproute.peers.peer_server import PeerServer
from gaproute.peers.tables import (
    CellTableChannels,
    CellTableSettings,
    CellTableTransport,
    table_storage,
    wire,
)
from gaproute.peers.tables.pull_exchange import HttpPullListener, PullClient
from gaproute.shared.dissemination import DocumentError, Peer
from gaproute.shared.dissemination.bounds import MAX_PART_BYTES
from gaproute.shared.dissemination.messages import Announcement, Pull
from gaproute.storage import files

MILLI, SECOND = 1_000_000, 1_000_000_000
FIRST = table(cells(26, entries=0), number=1)


class EventRecord:
    """Records the events of one gateway."""

    def __init__(self):
        self.events = []

    def event(self, level, name, **fields):
        self.events.append((name, fields))


class Gateway:
    """One gateway's membership transport, peer server and cell table transport."""

    def __init__(self, loop, name, seed, fleet=FLEET, path=None):
        self.record, self.name = EventRecord(), name
        self.peer_server = PeerServer(loop, parse_address("127.0.0.1:0"), None, None, ())
        self.membership_transport = MembershipTransport(
            loop,
            name,
            self.peer_server.address,
            RandomGenerator(seed),
            self.record,
            partial(DatagramSocket, loop),
        )
        self.transport = CellTableTransport(
            loop,
            CellTableSettings(name, fleet, path=path),
            CellTableChannels(
                self.membership_transport, HttpPullListener(self.peer_server), PullClient(loop)
            ),
            RandomGenerator(seed + 100),
            self.record,
        )
        self.received_versions = []
        self.transport.add_table_callback(lambda received: self.received_versions.append(received.version))

    @property
    def peer(self):
        return Peer(self.name, self.peer_server.address)

    def rejection_reasons(self):
        return [fields["error"] for what, fields in self.record.events if what == "peer_cell_table_rejected"]

    def close(self):
        self.transport.stop()
        self.membership_transport.close()
        self.peer_server.close()


class Fleet:
    """Gateways on one loop, each of which has all others as configured peers."""

    def __init__(self):
        self.loop, self.gateways = Loop(), []

    def add(self, name, **options):
        gateway = Gateway(self.loop, name, len(self.gateways) + 1, **options)
        self.gateways.append(gateway)
        gateway.transport.start()
        for each in self.gateways:
            each.transport.set_peers(tuple(other.peer for other in self.gateways if other is not each))
        return gateway

    def remove(self, gateway):
        self.gateways.remove(gateway)
        gateway.close()

    def wait_until(self, condition, timeout=10 * SECOND):
        deadline = self.loop.now() + timeout

        def watch():
            while not condition():
                assert self.loop.now() < deadline, "the condition did not become true in time"
                yield self.loop.sleep(2 * MILLI)

        self.loop.run(self.loop.spawn(watch()).done)

    def wait_until_all_have(self, expected):
        self.wait_until(lambda: all(gateway.transport.table() == expected for gateway in self.gateways))


@pytest.fixture
def fleet():
    fleet = Fleet()
    yield fleet
    for gateway in fleet.gateways:
        gateway.close()
    fleet.loop.close()


def publish_to_all(fleet, published=FIRST):
    """Publishes a table at the fleet's first gateway and waits until all gateways have it."""
    fleet.gateways[0].transport.publish(published)
    fleet.wait_until_all_have(published)


def next_change(current, **changes):
    version = Version(current.version.term, current.version.number + 1)
    row = replace(current.cells[3], **changes)
    return TableChange(FLEET, current.version, version, (row,))


def test_a_table_and_a_change_of_it_reach_the_other_gateway(fleet):
    one, two = fleet.add("one"), fleet.add("two")
    assert two.transport.table() is None
    publish_to_all(fleet)
    change = next_change(FIRST, capacity=7.5)
    one.transport.publish_change(change)
    fleet.wait_until_all_have(apply_change(FIRST, change))
    assert one.received_versions == two.received_versions == [Version(1, 1), Version(1, 2)]
    assert not one.rejection_reasons()
    assert not two.rejection_reasons()
    fleet.wait_until(lambda: one.transport.propagation(Version(1, 2)).agreed_for is not None)
    assert one.transport.propagation(Version(1, 3)).behind == 1


def test_changes_published_at_any_of_three_gateways_reach_all(fleet):
    gateways = [fleet.add(name) for name in ("one", "two", "three")]
    publish_to_all(fleet)
    current = FIRST
    for number in range(30):
        change = next_change(current, capacity=10.0 + number)
        current = apply_change(current, change)
        gateways[number % 3].transport.publish_change(change)
        fleet.wait_until_all_have(current)
    assert current.version == Version(1, 31)
    assert all(gateway.received_versions == sorted(set(gateway.received_versions)) for gateway in gateways)


def test_a_new_gateway_pulls_a_large_table_in_parts(fleet):
    one, random = fleet.add("one"), RandomGenerator(3)
    rows = [replace(row, capacity=1.0 + random.below(1 << 30) / 1_000) for row in cells(2_000, entries=0)]
    large = table(rows, number=5)
    one.transport.publish(large)
    fleet.add("two")
    fleet.wait_until_all_have(large)
    assert one.transport.disseminator.pull_server.answer_bytes > 2 * MAX_PART_BYTES


def test_a_gateway_that_missed_many_datagrams_catches_up_by_changes(fleet):
    one = fleet.add("one")
    publish_to_all(fleet)
    current = FIRST
    fleet.add("two")
    fleet.wait_until_all_have(current)
    two = fleet.gateways[1]
    handler = two.membership_transport.payload_handlers.pop(PayloadKind.CELL_TABLE)
    for number in range(40):
        change = next_change(current, capacity=10.0 + number)
        current = apply_change(current, change)
        one.transport.publish_change(change)
        fleet.loop.run(fleet.loop.sleep(2 * MILLI))
    assert two.transport.table() == FIRST
    two.membership_transport.payload_handlers[PayloadKind.CELL_TABLE] = handler
    fleet.wait_until_all_have(current)
    assert [snapshot.version for snapshot in one.transport.disseminator.pull_server.snapshots] == [
        FIRST.version
    ]


def test_the_table_stays_in_use_without_peers_and_survives_a_restart(fleet, tmp_path):
    one, two = fleet.add("one"), fleet.add("two", path=tmp_path / "cells.table")
    publish_to_all(fleet)
    fleet.remove(one)
    fleet.loop.run(fleet.loop.sleep(100 * MILLI))
    assert two.transport.table() == FIRST
    fleet.remove(two)
    restarted = fleet.add("two", path=tmp_path / "cells.table")
    assert restarted.transport.table() == FIRST
    assert restarted.received_versions == [Version(1, 1)]
    third = fleet.add("three")
    fleet.wait_until(lambda: third.transport.table() == FIRST)


def test_a_torn_file_or_one_of_another_fleet_is_quarantined_and_the_table_comes_from_peers(fleet, tmp_path):
    path = tmp_path / "cells.table"
    one = fleet.add("one")
    publish_to_all(fleet)
    for number, content in enumerate((b"torn", None)):
        if content is None:
            other = Gateway(fleet.loop, "lone", 77, fleet="south", path=path)
            other.transport.publish(replace(FIRST, fleet="south"))
            other.transport.stop()
            other.close()
        else:
            path.write_bytes(content)
        two = fleet.add(f"two{number}", path=path)
        assert two.transport.storage.file.counts.quarantined == 1
        assert two.transport.table() is None
        assert [what for what, _ in two.record.events] == ["cell_table_file_fault"]
        fleet.wait_until_all_have(FIRST)
        fleet.remove(two)
        assert path.exists()
    assert one.transport.table() == FIRST


def test_tables_of_another_fleet_noise_and_older_tables_are_rejected_and_logged_once(fleet):
    one, two, south = fleet.add("one"), fleet.add("two"), fleet.add("three", fleet="south")
    one.transport.publish(FIRST)
    fleet.wait_until(lambda: two.transport.table() == FIRST)
    south.transport.publish(replace(FIRST, fleet="south", version=Version(9, 9)))
    host, port = two.peer_server.address.rsplit(":", 1)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        for body in (b"", b"noise" * 50, b"\x01" * 900) * 5:
            datagram = datagram_pb2.Word(version=1, kind=PayloadKind.CELL_TABLE, weak=body)
            datagram.sender.name = "stranger"
            stranger.sendto(datagram.SerializeToString(), (host, int(port)))
    fleet.wait_until(lambda: {"other fleet", "not understood"} <= set(two.rejection_reasons()))
    assert len(two.rejection_reasons()) == len(set(two.rejection_reasons()))
    with pytest.raises(DocumentError):
        one.transport.publish(FIRST)
    with pytest.raises(DocumentError):
        one.transport.publish(replace(FIRST, fleet="south", version=Version(2, 1)))
    with pytest.raises(TableError):
        one.transport.publish_change(next_change(replace(FIRST, version=Version(0, 1))))
    assert one.transport.table() == two.transport.table() == FIRST


def test_an_announced_version_that_cannot_be_pulled_does_not_delay_others(fleet):
    one, two = fleet.add("one"), fleet.add("two")
    publish_to_all(fleet)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender, socket.socket() as silent:
        silent.bind(("127.0.0.1", 0))
        silent.listen()
        where = f"127.0.0.1:{silent.getsockname()[1]}"
        for reported_address in (where, "127.0.0.1:1", "nowhere", "127.0.0.1:99999"):
            unavailable = Announcement(FLEET, Version(1 << 40, 1), 7)
            datagram = datagram_pb2.Word(
                version=1, kind=7, weak=wire.encode_datagram(unavailable, reported_address)
            )
            datagram.sender.name = f"liar-{reported_address}"
            host, port = two.peer_server.address.rsplit(":", 1)
            sender.sendto(datagram.SerializeToString(), (host, int(port)))
        fleet.wait_until(lambda: two.transport.disseminator.fetch.source is not None)
        change = next_change(FIRST, capacity=7.5)
        one.transport.publish_change(change)
        fleet.wait_until_all_have(apply_change(FIRST, change))


def test_a_pull_of_another_fleet_gets_no_answer_and_valid_pulls_do(fleet):
    one = fleet.add("one")
    publish_to_all(fleet)
    answers = []
    for pull in (Pull("south", Version(0, 1)), Pull(FLEET, Version(0, 1), True), Pull(FLEET, Version(0, 1))):
        one.transport.pull_client.send_pull(one.peer_server.address, pull, answers.append)
        fleet.wait_until(lambda: one.transport.pull_client.open_exchange is None)
    assert answers[0] is None
    assert answers[1].version == Version(1, 1)
    assert answers[2].changes == ()


def test_a_stopped_transport_neither_sends_nor_receives(fleet):
    one, two = fleet.add("one"), fleet.add("two")
    publish_to_all(fleet)
    two.transport.stop()
    one.transport.publish_change(next_change(FIRST, capacity=3.0))
    fleet.loop.run(fleet.loop.sleep(300 * MILLI))
    assert two.transport.table() == FIRST
    assert two.transport.timer is None
    two.transport.start()
    fleet.wait_until_all_have(one.transport.table())


def test_a_file_that_could_not_be_read_at_startup_is_read_before_it_is_overwritten(
    fleet, tmp_path, monkeypatch
):
    """The peers have only an older table: the newer one was published at this gateway while it was alone."""
    monkeypatch.setattr(table_storage, "RETRY_INTERVAL", 100 * MILLI)
    path = tmp_path / "cells.table"
    newer = table(cells(26, entries=0), number=5)
    before = fleet.add("one", path=path)
    before.transport.publish(newer)
    fleet.wait_until(lambda: before.transport.storage.written_version == newer.version)
    fleet.remove(before)
    fleet.add("two").transport.publish(FIRST)
    disk = FaultyDisk(tmp_path, FaultPlan(Script.of(*[("read", each, IO_ERROR) for each in range(1, 4)])))
    with disk.installed(files):
        restarted = fleet.add("one", path=path)
        fleet.wait_until_all_have(newer)
    assert disk.open_descriptors == 0
    assert len(disk.plan.log) == 3
    assert [what for what, _ in restarted.record.events].count("cell_table_file_fault") == 1


def test_a_table_is_disseminated_while_the_disk_fails_and_written_after_it_recovers(
    fleet, tmp_path, monkeypatch
):
    monkeypatch.setattr(table_storage, "RETRY_INTERVAL", 100 * MILLI)
    path = tmp_path / "cells.table"
    faults = [("fsync", each, IO_ERROR) for each in range(1, 4)] + [("write", 4, DISK_FULL)]
    disk = FaultyDisk(tmp_path, FaultPlan(Script.of(*faults)))
    with disk.installed(files):
        one = fleet.add("one", path=path)
        fleet.add("two")
        publish_to_all(fleet)
        fleet.wait_until(lambda: one.transport.storage.written_version == FIRST.version)
    assert len(disk.plan.log) == 4
    assert disk.open_descriptors == 0
    assert [what for what, _ in one.record.events].count("cell_table_file_fault") == 1


def test_the_first_table_is_written_soon_and_later_ones_at_intervals(fleet, tmp_path):
    path = tmp_path / "cells.table"
    one = fleet.add("one", path=path)
    fleet.add("two")
    deadline = fleet.loop.now() + SECOND // 2
    fleet.wait_until(lambda: fleet.loop.now() > deadline)  # several turns without a table
    publish_to_all(fleet)
    fleet.wait_until(lambda: one.transport.storage.written_version == FIRST.version, timeout=5 * SECOND)
    assert one.transport.storage.next_write_at > fleet.loop.now() + 50 * SECOND
    one.transport.publish_change(next_change(FIRST, capacity=7.5))
    deadline = fleet.loop.now() + 2 * SECOND
    fleet.wait_until(lambda: fleet.loop.now() > deadline)
    assert one.transport.storage.written_version == FIRST.version
    assert one.transport.storage.file.counts.written == 1
