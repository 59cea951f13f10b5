"""Restarts with the wall clock stepped by up to an hour: incarnations, gossip, fencing tokens and files."""

import pytest
from raft_net import Net as RaftNetwork

from gaproute.decisions.chance import RandomGenerator
from gaproute.peers.membership import MembershipTransport
from gaproute.shared.gossip import EntryKind, EntrySet, GossipMessage, GossipNode
from gaproute.shared.gossip.messages import KIND_LIMITS, HostEntry, name_key
from gaproute.shared.leases import LeaseClient, LeaseTable
from gaproute.shared.membership import Membership, MemberState
from gaproute.shared.raft import RaftNode
from gaproute.standins.membership_network import MembershipNetwork
from gaproute.storage.cell_table_file import CellTableFile, StoredTable
from gaproute.storage.raft_log_file import RaftLogFile

SECOND = 1_000_000_000
HOUR_MS = 3_600_000
START_MS = 1_800_000_000_000  # ms since 1970 at the first start
STEPS = pytest.mark.parametrize("step", [-HOUR_MS, -5000, 5000, HOUR_MS])


class FourMembers(MembershipNetwork):
    """Four members whose incarnations start at a clock `clock_offset` ms ahead of the network's clock."""

    clock_offset = 0

    def start(self, name, seed, peers):
        incarnation = START_MS + self.now // 1_000_000 + self.clock_offset
        self.start_member(Membership(name, name, RandomGenerator(seed), self.now, incarnation), peers)


# Membership


@STEPS
@pytest.mark.parametrize(
    "away", [SECOND // 2, 40 * SECOND], ids=["before its death is known", "after its death is known"]
)
def test_a_restarted_member_is_alive_to_all_within_seconds_whatever_its_incarnation(step, away):
    network = FourMembers(4)
    network.run(3 * SECOND)
    before = network.nodes["g2"].incarnation
    network.down.add("g2")
    network.run(away)
    assert network.states_of("g2") == {MemberState.ALIVE if away < SECOND else MemberState.DEAD}
    network.clock_offset = step
    network.start("g2", 9, {f"g{number}": f"g{number}" for number in range(4)})
    network.run(3 * SECOND)
    incarnation = network.nodes["g2"].incarnation
    assert incarnation > before
    assert network.states_of("g2") == {MemberState.ALIVE}
    network.run(10 * SECOND)
    known_incarnations = {network.nodes[name].members["g2"].incarnation for name in ("g0", "g1", "g3")}
    assert known_incarnations == {network.nodes["g2"].incarnation}
    assert network.states_of("g2") == {MemberState.ALIVE}


# Gossip


def in_flight(incarnation, sequence, requests):
    entries = (HostEntry(name_key("h1"), requests),)
    return GossipMessage(incarnation, (EntrySet(EntryKind.IN_FLIGHT, 0, sequence, 0, 0.0, entries),))


def test_entries_of_a_lower_incarnation_are_rejected_until_it_exceeds_the_former_one():
    node = GossipNode("me", START_MS, RandomGenerator(7), 0)
    node.set_peers(0, ["a"])
    node.set_hosts(0, {"h1": 1})
    node.receive(0, "a", in_flight(START_MS, 900, 4.0))
    assert node.receive(SECOND, "a", in_flight(START_MS - HOUR_MS, 1, 2.0)) == 0
    assert node.in_flight(SECOND, "h1").received == pytest.approx(4.0, rel=0.03)
    # The entries of the former incarnation expire as usual
    assert node.in_flight(KIND_LIMITS[EntryKind.IN_FLIGHT].max_age + 2 * SECOND, "h1").origin_count == 0
    assert node.receive(2 * SECOND, "a", in_flight(START_MS + 1, 1, 2.0)) == 1


def test_gossip_of_a_gateway_restarted_with_its_clock_an_hour_back_is_accepted_again(fleet, monkeypatch):
    testbed, start = fleet
    clock_offset = [0]

    def wall_clock():
        return (START_MS + clock_offset[0]) * 1_000_000 + testbed.loop.now()

    monkeypatch.setattr(MembershipTransport.__init__, "__defaults__", (wall_clock,))
    second = start("second", "weak-word yes")
    second_address = second.peers.peer_server.address
    third = start("third", f"peer second {second_address}\nweak-word yes")
    node = third.peers.gossip.node
    testbed.until(lambda: "second" in node.table.received_sets)
    before = second.peers.membership_transport.membership.incarnation
    second.close()
    clock_offset[0] = -HOUR_MS
    lines = (
        f"listen peers {second_address}",
        f"peer third {third.peers.peer_server.address}",
        "weak-word yes",
    )
    restarted = start("second", *lines, listen=False)
    assert restarted.peers.membership_transport.membership.incarnation < before
    testbed.until(lambda: node.table.latest_incarnation("second") > before)
    assert restarted.peers.membership_transport.membership.incarnation > before


# Leases


class SteppedRaftNetwork(RaftNetwork):
    """Nodes whose fencing tokens start at the wall clock `fencing_base`, in ms, as after a bootstrap."""

    fencing_base = START_MS

    def start(self, name):
        self.nodes[name] = RaftNode(
            name,
            self.names,
            self.disks[name],
            self.chance,
            self.now,
            LeaseTable(initial_wait=False),
            fencing_base=self.fencing_base,
        )


@STEPS
def test_restarted_nodes_reuse_neither_a_fencing_token_nor_a_session(step):
    network = SteppedRaftNetwork(3, clients=1)
    fencing_tokens, sessions = [], []
    for restart in range(3):
        # As in a new process
        network.clients = {"h0": LeaseClient("h0", network.names, network.chance, network.now)}
        lease = network.clients["h0"].acquire(network.now, f"room-{restart}", 30 * SECOND)
        network.run(10 * SECOND)
        assert lease.is_valid_at(network.now)
        fencing_tokens.append(lease.fencing_token)
        sessions.append(network.clients["h0"].session)
        for name in network.names:
            network.crash(name)
        network.fencing_base += step
        for name in network.names:
            network.start(name)
    assert fencing_tokens == sorted(set(fencing_tokens))
    assert fencing_tokens[0] > START_MS
    assert sessions == sorted(set(sessions))


# Files


@pytest.mark.parametrize("step", [-HOUR_MS, HOUR_MS])
def test_the_raft_log_file_contains_no_time(tmp_path, step):
    files = []
    for name, wall in (("one", START_MS), ("two", START_MS + step)):
        log_file = RaftLogFile(tmp_path / name, wall_clock=lambda wall=wall: wall).open()
        log_file.read()
        log_file.append(b"vote")
        log_file.sync()
        log_file.close()
        files.append((tmp_path / name).read_bytes())
        log_file = RaftLogFile(tmp_path / name, wall_clock=lambda wall=wall: wall - step).open()
        assert log_file.read() == [b"vote"]
        log_file.close()
    assert files[0] == files[1]


@pytest.mark.parametrize("step", [-HOUR_MS, HOUR_MS])
def test_a_stored_cell_table_contains_no_time_and_is_identified_by_its_version(tmp_path, step):
    files = []
    for name, wall in (("one", START_MS), ("two", START_MS + step)):
        messages = []
        table_file = CellTableFile(tmp_path / name, "north", messages.append, lambda wall=wall: wall)
        assert table_file.write(StoredTable("north", 2, 7, 5, b"rows"))
        files.append((tmp_path / name).read_bytes())
        reopened = CellTableFile(tmp_path / name, "north", messages.append, lambda wall=wall: wall - step)
        assert reopened.read((2, 7)).data == b"rows"
        assert reopened.read((2, 8)) is None
        assert len(messages) == 1
    assert files[0] == files[1]
