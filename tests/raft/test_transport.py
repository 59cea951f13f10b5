"""Raft nodes and lease clients with sockets and log files, and the rejection of invalid messages."""

from functools import partial

import msgspec
import pytest
from raft_net import SECOND, Chance

from gaproute.http1 import Exchange
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.peers.raft import (
    ConfiguredRaftGroup,
    NodeEnvironment,
    NodeStorage,
    RaftNodeRunner,
    RaftTransport,
    wire,
)
from gaproute.peers.raft.transport import MAX_MESSAGE_BURST
from gaproute.shared.leases import LeaseTable
from gaproute.shared.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    BootstrapProbe,
    Entry,
    Reply,
    Request,
    RequestVote,
)
from gaproute.storage.raft_log_file import RaftLogFile


class EventRecord:
    def __init__(self):
        self.events = []

    def event(self, level, event_name, **fields):
        self.events.append((level, event_name, fields))


class Group:
    def __init__(self, folder, names=("a", "b", "c")):
        self.folder, self.names, self.loop, self.peers, self.node_runners = folder, names, Loop(), {}, {}
        for number, name in enumerate((*names, "h")):
            self.start(name, number)

    def start(self, name, number=9):
        disk = RaftLogFile(self.folder / name, lambda text: None).open() if name in self.names else None
        hosted = RaftNodeRunner(
            NodeEnvironment(
                self.loop,
                EventRecord(),
                Chance(number),
                partial(RaftTransport, self.loop, name, self.peers),
            ),
            ConfiguredRaftGroup(name, self.names),
            NodeStorage(LeaseTable(initial_wait=False), disk),
        )
        hosted.disk = disk
        self.peers[name] = hosted.transport.listen(self.peers.get(name, "127.0.0.1:0"))
        self.node_runners[name] = hosted

    def stop(self, name):
        hosted = self.node_runners.pop(name)
        hosted.close()
        if hosted.disk is not None:
            hosted.disk.close()

    def run_until(self, condition, timeout=20 * SECOND):
        deadline = self.loop.now() + timeout
        while not condition():
            assert self.loop.now() < deadline, "timed out"
            self.loop.turn()

    def close(self):
        for name in list(self.node_runners):
            self.stop(name)
        self.loop.close()

    @property
    def leader(self):
        return next(
            (
                name
                for name in self.names
                if name in self.node_runners and self.node_runners[name].node.is_leader
            ),
            None,
        )


@pytest.fixture
def group(tmp_path):
    group = Group(tmp_path)
    yield group
    group.close()


def post(group, to, body):
    results = []
    request = b"POST /keepers HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    Exchange(group.loop, request, lambda response, error: results.append(response)).connect(
        parse_address(group.peers[to]), SECOND, 4096, 4096, lambda connection: results.append(connection)
    )
    group.run_until(lambda: len(results) == 2)
    results[0].abort()
    return results[1].status


def test_a_lease_survives_the_failure_and_the_restart_of_the_leader(group):
    client = group.node_runners["h"].lease_client
    lease = client.acquire(group.loop.now(), "host-7", 10 * SECOND)
    group.node_runners["h"].run_due()
    group.run_until(lambda: lease.state == "held")
    assert lease.is_valid_at(group.loop.now())
    assert lease.fencing_token == 1
    stopped = group.leader
    commit_index, incarnation = (
        group.node_runners[stopped].node.commit_index,
        group.node_runners[stopped].node.incarnation,
    )
    group.stop(stopped)
    other_lease = client.acquire(group.loop.now(), "host-8", 10 * SECOND)
    group.node_runners["h"].run_due()
    group.run_until(lambda: other_lease.state == "held")
    assert lease.is_valid_at(group.loop.now())
    assert other_lease.fencing_token == 2
    group.start(stopped)
    node = group.node_runners[stopped].node
    assert node.incarnation == incarnation
    assert node.log.last_index >= commit_index - 1
    group.run_until(lambda: len(node.machine.leases) == 2)
    assert not any(hosted.node.violations for hosted in group.node_runners.values() if hosted.node)
    assert "leader" in [
        fields["role"]
        for _, event, fields in group.node_runners[group.leader].record.events
        if event == "raft_role_changed"
    ]


@pytest.mark.parametrize("damage", ["of another gateway", "torn"])
def test_an_unusable_log_file_is_quarantined_and_the_node_joins_again(group, damage):
    group.run_until(lambda: group.leader)
    name, other = [name for name in group.names if name != group.leader]
    incarnation = group.node_runners[name].node.incarnation
    group.stop(name)
    path = group.folder / name
    if damage == "torn":
        data = bytearray(path.read_bytes())
        data[len(data) // 3] ^= 1
        path.write_bytes(data)
    else:
        path.write_bytes((group.folder / other).read_bytes())
    group.start(name)
    hosted = group.node_runners[name]
    assert hosted.node.incarnation not in (incarnation, group.node_runners[other].node.incarnation)
    assert hosted.node.store.is_blank
    assert [event for _, event, _ in hosted.record.events] == ["raft_log_discarded"]
    assert len(list(group.folder.glob(f"{name}.*"))) >= 2  # the lock file and the quarantined file
    group.run_until(lambda: hosted.node.is_member)


def test_invalid_batches_are_counted_by_reason_and_ignored(group):
    group.run_until(lambda: group.leader)
    hosted = group.node_runners["a"]
    valid_message = wire.encode_message(AppendEntriesResponse(1, 1, True, 1))
    for body, reason in (
        (b"", "noise"),
        (b"\xff" * 65536, "noise"),
        (b"\x93\x07" + b"x", "version"),
        (wire.encode_batch("nobody", [valid_message]), "stranger"),
        (wire.encode_batch("a", [valid_message]), "stranger"),
        (wire.encode_batch("b", [valid_message[:-1]]), "noise"),
        (wire.encode_batch("b", [valid_message] * 65), "noise"),
        (wire.encode_batch("b", [msgspec.msgpack.encode([5, -1, 1, True, 1])]), "noise"),
        (wire.encode_batch("b", [wire.encode_message(Request(1, 1, b"x" * 4096))]), "noise"),
        (b"\x93\x01\xa1b" + b"\x91" * 5000, "noise"),
    ):
        before = hosted.transport.counts[f"refused: {reason}"]
        assert post(group, "a", body) == 400
        assert hosted.transport.counts[f"refused: {reason}"] == before + 1, body[:20]
    term = hosted.node.term
    assert (
        post(
            group, "a", wire.encode_batch("h", [wire.encode_message(RequestVote(term + 1, 1, 99, 99, False))])
        )
        == 204
    )
    assert hosted.node.rejections["stranger"] == 1
    assert hosted.node.term == term
    assert post(group, "h", wire.encode_batch("b", [valid_message])) == 204
    assert group.node_runners["h"].transport.counts["refused: no keeper here"] == 1


def test_the_rate_of_messages_and_the_queue_to_an_unreachable_peer_are_bounded(group):
    group.run_until(lambda: group.leader)
    full_batch = wire.encode_batch("h", [wire.encode_message(Reply(1, 1, "busy"))] * wire.MAX_BATCH_MESSAGES)
    statuses = [post(group, "a", full_batch) for _ in range(MAX_MESSAGE_BURST // wire.MAX_BATCH_MESSAGES + 2)]
    assert statuses[0] == 204
    assert statuses[-1] == 429
    transport = group.node_runners["h"].transport
    group.peers["dead"] = "127.0.0.1:1"
    for _ in range(1000):
        transport.send("dead", BootstrapProbe(1, 0, True))
    assert len(transport.peer_states["dead"].queue) == 256
    assert transport.counts["lost"] >= 744
    full_message = AppendEntries(1, 1, 1, 1, 1, tuple(Entry(1, 0, body=b"x" * 2048) for _ in range(64)))
    for _ in range(100):
        transport.send("dead", full_message)
    assert transport.peer_states["dead"].queued_bytes <= 2 * wire.MAX_BATCH_BYTES


def test_encoded_messages_decode_to_equal_messages():
    for message in (
        BootstrapProbe(1, 2, True),
        AppendEntries(1, 2, 3, 4, 5, (Entry(1, 0, 2, 3, b"x"),)),
        Reply(1, 2, "done", b"y"),
    ):
        assert wire.decode_batch(wire.encode_batch("a", [wire.encode_message(message)])) == ("a", [message])
