"""The cell table between gateways on loopback sockets: two and three in one process."""

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
from gaproute.peers import word_pb2
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


class Record:
    """Events as they come."""

    def __init__(self):
        self.events = []

    def event(self, level, what, **fields):
        self.events.append((what, fields))


class Gateway:
    """One gateway's membership, peers' address and table transport."""

    def __init__(self, loop, name, seed, fleet=FLEET, path=None):
        self.record, self.name = Record(), name
        self.peer_server = PeerServer(loop, parse_address("127.0.0.1:0"), None, None, ())
        self.membership = MembershipTransport(
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
            CellTableChannels(self.membership, HttpPullListener(self.peer_server), PullClient(loop)),
            RandomGenerator(seed + 100),
            self.record,
        )
        self.taken = []
        self.transport.on_table(lambda taken: self.taken.append(taken.version))

    @property
    def peer(self):
        return Peer(self.name, self.peer_server.address)

    def refusals(self):
        return [fields["error"] for what, fields in self.record.events if what == "peer_cell_table_rejected"]

    def close(self):
        self.transport.stop()
        self.membership.close()
        self.peer_server.close()


class Fleet:
    """Gateways on one loop that are each other's configured peers."""

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

    def until(self, condition, within=10 * SECOND):
        ends = self.loop.now() + within

        def watch():
            while not condition():
                assert self.loop.now() < ends, "it did not come about"
                yield self.loop.sleep(2 * MILLI)

        self.loop.run(self.loop.spawn(watch()).done)

    def until_all_hold(self, wanted):
        self.until(lambda: all(gateway.transport.table() == wanted for gateway in self.gateways))


@pytest.fixture
def fleet():
    made = Fleet()
    yield made
    for gateway in made.gateways:
        gateway.close()
    made.loop.close()


def published(fleet, made=FIRST):
    """The fleet's first gateway publishes a table, and all hold it."""
    fleet.gateways[0].transport.publish(made)
    fleet.until_all_hold(made)


def next_change(held, **changes):
    version = Version(held.version.term, held.version.number + 1)
    row = replace(held.cells[3], **changes)
    return TableChange(FLEET, held.version, version, (row,))


def test_two_gateways_hold_a_table_and_a_change_of_it(fleet):
    one, two = fleet.add("one"), fleet.add("two")
    assert two.transport.table() is None
    published(fleet)
    change = next_change(FIRST, capacity=7.5)
    one.transport.publish_change(change)
    fleet.until_all_hold(apply_change(FIRST, change))
    assert one.taken == two.taken == [Version(1, 1), Version(1, 2)]
    assert not one.refusals()
    assert not two.refusals()
    fleet.until(lambda: one.transport.propagation(Version(1, 2)).agreed_for is not None)
    assert one.transport.propagation(Version(1, 3)).behind == 1


def test_three_gateways_hold_what_any_of_them_publishes(fleet):
    gateways = [fleet.add(name) for name in ("one", "two", "three")]
    published(fleet)
    held = FIRST
    for number in range(30):
        change = next_change(held, capacity=10.0 + number)
        held = apply_change(held, change)
        gateways[number % 3].transport.publish_change(change)
        fleet.until_all_hold(held)
    assert held.version == Version(1, 31)
    assert all(gateway.taken == sorted(set(gateway.taken)) for gateway in gateways)


def test_a_newcomer_pulls_a_large_table_in_parts(fleet):
    one, chance = fleet.add("one"), RandomGenerator(3)
    rows = [replace(row, capacity=1.0 + chance.below(1 << 30) / 1_000) for row in cells(2_000, entries=0)]
    large = table(rows, number=5)
    one.transport.publish(large)
    fleet.add("two")
    fleet.until_all_hold(large)
    assert one.transport.disseminator.pull_server.answer_bytes > 2 * MAX_PART_BYTES


def test_one_that_was_away_while_many_changes_came_catches_up(fleet):
    one = fleet.add("one")
    published(fleet)
    held = FIRST
    fleet.add("two")
    fleet.until_all_hold(held)
    two = fleet.gateways[1]
    heard = two.membership.handlers.pop(PayloadKind.CELL_TABLE)
    for number in range(40):
        change = next_change(held, capacity=10.0 + number)
        held = apply_change(held, change)
        one.transport.publish_change(change)
        fleet.loop.run(fleet.loop.sleep(2 * MILLI))
    assert two.transport.table() == FIRST
    two.membership.handlers[PayloadKind.CELL_TABLE] = heard
    fleet.until_all_hold(held)
    assert [snapshot.version for snapshot in one.transport.disseminator.pull_server.snapshots] == [
        FIRST.version
    ]


def test_the_table_serves_on_when_all_others_are_gone_and_survives_a_restart(fleet, tmp_path):
    one, two = fleet.add("one"), fleet.add("two", path=tmp_path / "cells.table")
    published(fleet)
    fleet.remove(one)
    fleet.loop.run(fleet.loop.sleep(100 * MILLI))
    assert two.transport.table() == FIRST
    fleet.remove(two)
    again = fleet.add("two", path=tmp_path / "cells.table")
    assert again.transport.table() == FIRST
    assert again.taken == [Version(1, 1)]
    third = fleet.add("three")
    fleet.until(lambda: third.transport.table() == FIRST)


def test_a_file_that_is_torn_or_of_another_fleet_is_quarantined_and_the_table_is_heard(fleet, tmp_path):
    path = tmp_path / "cells.table"
    one = fleet.add("one")
    published(fleet)
    for number, content in enumerate((b"torn", None)):
        if content is None:
            lone = Gateway(fleet.loop, "lone", 77, fleet="south", path=path)
            lone.transport.publish(replace(FIRST, fleet="south"))
            lone.transport.stop()
            lone.close()
        else:
            path.write_bytes(content)
        two = fleet.add(f"two{number}", path=path)
        assert two.transport.storage.file.counts.quarantined == 1
        assert two.transport.table() is None
        assert [what for what, _ in two.record.events] == ["cell_table_file_fault"]
        fleet.until_all_hold(FIRST)
        fleet.remove(two)
        assert path.exists()
    assert one.transport.table() == FIRST


def test_another_fleet_noise_and_a_lower_table_are_refused_and_logged_once(fleet):
    one, two, south = fleet.add("one"), fleet.add("two"), fleet.add("three", fleet="south")
    one.transport.publish(FIRST)
    fleet.until(lambda: two.transport.table() == FIRST)
    south.transport.publish(replace(FIRST, fleet="south", version=Version(9, 9)))
    host, port = two.peer_server.address.rsplit(":", 1)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        for body in (b"", b"noise" * 50, b"\x01" * 900) * 5:
            datagram = word_pb2.Word(version=1, kind=PayloadKind.CELL_TABLE, weak=body)
            datagram.sender.name = "stranger"
            stranger.sendto(datagram.SerializeToString(), (host, int(port)))
    fleet.until(lambda: {"other fleet", "not understood"} <= set(two.refusals()))
    assert len(two.refusals()) == len(set(two.refusals()))
    with pytest.raises(DocumentError):
        one.transport.publish(FIRST)
    with pytest.raises(DocumentError):
        one.transport.publish(replace(FIRST, fleet="south", version=Version(2, 1)))
    with pytest.raises(TableError):
        one.transport.publish_change(next_change(replace(FIRST, version=Version(0, 1))))
    assert one.transport.table() == two.transport.table() == FIRST


def test_one_who_announces_what_it_cannot_give_holds_nobody_up(fleet):
    one, two = fleet.add("one"), fleet.add("two")
    published(fleet)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as liar, socket.socket() as silent:
        silent.bind(("127.0.0.1", 0))
        silent.listen()
        where = f"127.0.0.1:{silent.getsockname()[1]}"
        for reported_address in (where, "127.0.0.1:1", "nowhere", "127.0.0.1:99999"):
            absurd = Announcement(FLEET, Version(1 << 40, 1), 7)
            datagram = word_pb2.Word(version=1, kind=7, weak=wire.encode_datagram(absurd, reported_address))
            datagram.sender.name = f"liar-{reported_address}"
            host, port = two.peer_server.address.rsplit(":", 1)
            liar.sendto(datagram.SerializeToString(), (host, int(port)))
        fleet.until(lambda: two.transport.disseminator.fetch.source is not None)
        change = next_change(FIRST, capacity=7.5)
        one.transport.publish_change(change)
        fleet.until_all_hold(apply_change(FIRST, change))


def test_pulls_that_are_none_are_answered_by_an_error(fleet):
    one = fleet.add("one")
    published(fleet)
    answers = []
    for pull in (Pull("south", Version(0, 1)), Pull(FLEET, Version(0, 1), True), Pull(FLEET, Version(0, 1))):
        one.transport.pull_client.ask(one.peer_server.address, pull, answers.append)
        fleet.until(lambda: one.transport.pull_client.exchange is None)
    assert answers[0] is None
    assert answers[1].version == Version(1, 1)
    assert answers[2].changes == ()


def test_a_stopped_transport_neither_sends_nor_receives(fleet):
    one, two = fleet.add("one"), fleet.add("two")
    published(fleet)
    two.transport.stop()
    one.transport.publish_change(next_change(FIRST, capacity=3.0))
    fleet.loop.run(fleet.loop.sleep(300 * MILLI))
    assert two.transport.table() == FIRST
    assert two.transport.timer is None
    two.transport.start()
    fleet.until_all_hold(one.transport.table())


def test_a_table_that_could_not_be_read_at_the_start_is_taken_before_it_is_written_over(
    fleet, tmp_path, monkeypatch
):
    """Others know an older table only: this gateway was the one to which the newer one was given."""
    monkeypatch.setattr(table_storage, "RETRY_INTERVAL", 100 * MILLI)
    path = tmp_path / "cells.table"
    newer = table(cells(26, entries=0), number=5)
    before = fleet.add("one", path=path)
    before.transport.publish(newer)
    fleet.until(lambda: before.transport.storage.written == newer.version)
    fleet.remove(before)
    fleet.add("two").transport.publish(FIRST)
    disk = FaultyDisk(tmp_path, FaultPlan(Script.of(*[("read", each, IO_ERROR) for each in range(1, 4)])))
    with disk.installed(files):
        again = fleet.add("one", path=path)
        fleet.until_all_hold(newer)
    assert disk.open_descriptors == 0
    assert len(disk.plan.log) == 3
    assert [what for what, _ in again.record.events].count("cell_table_file_fault") == 1


def test_a_table_is_served_while_the_disk_fails_and_written_once_it_does_not(fleet, tmp_path, monkeypatch):
    monkeypatch.setattr(table_storage, "RETRY_INTERVAL", 100 * MILLI)
    path = tmp_path / "cells.table"
    faults = [("fsync", each, IO_ERROR) for each in range(1, 4)] + [("write", 4, DISK_FULL)]
    disk = FaultyDisk(tmp_path, FaultPlan(Script.of(*faults)))
    with disk.installed(files):
        one = fleet.add("one", path=path)
        fleet.add("two")
        published(fleet)
        fleet.until(lambda: one.transport.storage.written == FIRST.version)
    assert len(disk.plan.log) == 4
    assert disk.open_descriptors == 0
    assert [what for what, _ in one.record.events].count("cell_table_file_fault") == 1


def test_a_table_is_on_disk_soon_after_it_was_accepted_and_later_ones_not_each_at_once(fleet, tmp_path):
    path = tmp_path / "cells.table"
    one = fleet.add("one", path=path)
    fleet.add("two")
    ends = fleet.loop.now() + SECOND // 2
    fleet.until(lambda: fleet.loop.now() > ends)  # several turns without a table
    published(fleet)
    fleet.until(lambda: one.transport.storage.written == FIRST.version, within=5 * SECOND)
    assert one.transport.storage.write_at > fleet.loop.now() + 50 * SECOND
    one.transport.publish_change(next_change(FIRST, capacity=7.5))
    ends = fleet.loop.now() + 2 * SECOND
    fleet.until(lambda: fleet.loop.now() > ends)
    assert one.transport.storage.written == FIRST.version
    assert one.transport.storage.file.counts.written == 1
