"""Raft nodes and lease clients on sockets and on disk; what a peer may not send."""

from functools import partial

import msgspec
import pytest
from raft_net import SECOND, Chance

from gaproute.http1 import Exchange
from gaproute.loop import Loop
from gaproute.loop.addresses import address
from gaproute.peers.raft import (
    HostedNode,
    NodeEnvironment,
    NodeStorage,
    RaftGroupView,
    RaftTransport,
    wire,
)
from gaproute.peers.raft.transport import BURST
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


class Record:
    def __init__(self):
        self.events = []

    def event(self, level, what, **fields):
        self.events.append((level, what, fields))


class Group:
    def __init__(self, folder, names=("a", "b", "c")):
        self.folder, self.names, self.loop, self.peers, self.hosts = folder, names, Loop(), {}, {}
        for number, name in enumerate((*names, "h")):
            self.start(name, number)

    def start(self, name, number=9):
        disk = RaftLogFile(self.folder / name, lambda text: None).open() if name in self.names else None
        host = HostedNode(
            NodeEnvironment(
                self.loop,
                Record(),
                Chance(number),
                partial(RaftTransport, self.loop, name, self.peers),
            ),
            RaftGroupView(name, self.names),
            NodeStorage(LeaseTable(initial_wait=False), disk),
        )
        host.disk = disk
        self.peers[name] = host.transport.listen(self.peers.get(name, "127.0.0.1:0"))
        self.hosts[name] = host

    def end(self, name):
        host = self.hosts.pop(name)
        host.close()
        if host.disk is not None:
            host.disk.close()

    def until(self, done, within=20 * SECOND):
        end = self.loop.now() + within
        while not done():
            assert self.loop.now() < end, "out of time"
            self.loop.turn()

    def close(self):
        for name in list(self.hosts):
            self.end(name)
        self.loop.close()

    @property
    def leader(self):
        return next(
            (name for name in self.names if name in self.hosts and self.hosts[name].node.is_leader), None
        )


@pytest.fixture
def group(tmp_path):
    made = Group(tmp_path)
    yield made
    made.close()


def post(group, to, body):
    came = []
    data = b"POST /keepers HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    Exchange(group.loop, data, lambda answer, fault: came.append(answer)).connect(
        address(group.peers[to]), SECOND, 4096, 4096, lambda link: came.append(link)
    )
    group.until(lambda: len(came) == 2)
    came[0].abort()
    return came[1].status


def test_a_lease_over_sockets_outlives_the_leader_and_a_restart(group):
    holder = group.hosts["h"].client
    lease = holder.acquire(group.loop.now(), "host-7", 10 * SECOND)
    group.hosts["h"].run_due()
    group.until(lambda: lease.state == "held")
    assert lease.is_valid_at(group.loop.now())
    assert lease.fencing_token == 1
    gone = group.leader
    agreed, incarnation = group.hosts[gone].node.commit_index, group.hosts[gone].node.incarnation
    group.end(gone)
    other = holder.acquire(group.loop.now(), "host-8", 10 * SECOND)
    group.hosts["h"].run_due()
    group.until(lambda: other.state == "held")
    assert lease.is_valid_at(group.loop.now())
    assert other.fencing_token == 2
    group.start(gone)
    node = group.hosts[gone].node
    assert node.incarnation == incarnation
    assert node.log.last_index >= agreed - 1
    group.until(lambda: len(node.machine.leases) == 2)
    assert not any(host.node.violations for host in group.hosts.values() if host.node)
    assert "leader" in [
        fields["role"]
        for _, what, fields in group.hosts[group.leader].record.events
        if what == "raft_role_changed"
    ]


@pytest.mark.parametrize("harm", ["of another gateway", "torn"])
def test_a_file_that_cannot_be_trusted_is_set_aside_and_the_node_catches_up_anew(group, harm):
    group.until(lambda: group.leader)
    name, other = [each for each in group.names if each != group.leader]
    incarnation = group.hosts[name].node.incarnation
    group.end(name)
    path = group.folder / name
    if harm == "torn":
        data = bytearray(path.read_bytes())
        data[len(data) // 3] ^= 1
        path.write_bytes(data)
    else:
        path.write_bytes((group.folder / other).read_bytes())
    group.start(name)
    host = group.hosts[name]
    assert host.node.incarnation not in (incarnation, group.hosts[other].node.incarnation)
    assert host.node.store.is_blank
    assert [what for _, what, _ in host.record.events] == ["raft_log_discarded"]
    assert len(list(group.folder.glob(f"{name}.*"))) >= 2  # the lock, and what was set aside
    group.until(lambda: host.node.is_member)


def test_bad_batches_are_counted_by_reason_and_change_nothing(group):
    group.until(lambda: group.leader)
    host = group.hosts["a"]
    good = wire.encode_message(AppendEntriesResponse(1, 1, True, 1))
    for body, reason in (
        (b"", "noise"),
        (b"\xff" * 65536, "noise"),
        (b"\x93\x07" + b"x", "version"),
        (wire.encode_batch("nobody", [good]), "stranger"),
        (wire.encode_batch("a", [good]), "stranger"),
        (wire.encode_batch("b", [good[:-1]]), "noise"),
        (wire.encode_batch("b", [good] * 65), "noise"),
        (wire.encode_batch("b", [msgspec.msgpack.encode([5, -1, 1, True, 1])]), "noise"),
        (wire.encode_batch("b", [wire.encode_message(Request(1, 1, b"x" * 4096))]), "noise"),
        (b"\x93\x01\xa1b" + b"\x91" * 5000, "noise"),
    ):
        before = host.transport.counts[f"refused: {reason}"]
        assert post(group, "a", body) == 400
        assert host.transport.counts[f"refused: {reason}"] == before + 1, body[:20]
    term = host.node.term
    assert (
        post(
            group, "a", wire.encode_batch("h", [wire.encode_message(RequestVote(term + 1, 1, 99, 99, False))])
        )
        == 204
    )
    assert host.node.rejections["stranger"] == 1
    assert host.node.term == term
    assert post(group, "h", wire.encode_batch("b", [good])) == 204
    assert group.hosts["h"].transport.counts["refused: no keeper here"] == 1


def test_a_flood_is_refused_and_the_queue_to_a_dead_peer_is_bounded(group):
    group.until(lambda: group.leader)
    flood = wire.encode_batch("h", [wire.encode_message(Reply(1, 1, "busy"))] * wire.MAX_MESSAGES)
    answers = [post(group, "a", flood) for _ in range(BURST // wire.MAX_MESSAGES + 2)]
    assert answers[0] == 204
    assert answers[-1] == 429
    transport = group.hosts["h"].transport
    group.peers["dead"] = "127.0.0.1:1"
    for _ in range(1000):
        transport.send("dead", BootstrapProbe(1, 0, True))
    assert len(transport.states["dead"].queue) == 256
    assert transport.counts["lost"] >= 744
    large = AppendEntries(1, 1, 1, 1, 1, tuple(Entry(1, 0, body=b"x" * 2048) for _ in range(64)))
    for _ in range(100):
        transport.send("dead", large)
    assert transport.states["dead"].queued_bytes <= 2 * wire.MAX_BATCH_BYTES


def test_every_message_comes_back_as_it_was():
    for message in (
        BootstrapProbe(1, 2, True),
        AppendEntries(1, 2, 3, 4, 5, (Entry(1, 0, 2, 3, b"x"),)),
        Reply(1, 2, "done", b"y"),
    ):
        assert wire.decode_batch(wire.encode_batch("a", [wire.encode_message(message)])) == ("a", [message])
