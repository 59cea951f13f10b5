"""The wall clock stepped by an hour over a restart: what begins at it, and what a step does to that."""

import pytest
from raft_net import Net as RaftNet

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
BEGUN_MS = 1_800_000_000_000  # ms since 1970 when the first lives begin
STEPS = pytest.mark.parametrize("step", [-HOUR_MS, -5000, 5000, HOUR_MS])


class Members4(MembershipNetwork):
    """Four members whose incarnations begin at a wall clock that is `ahead` of the net's own, in ms."""

    ahead = 0

    def start(self, name, seed, peers):
        incarnation = BEGUN_MS + self.now // 1_000_000 + self.ahead
        self.start_member(Membership(name, name, RandomGenerator(seed), self.now, incarnation), peers)


# Membership


@STEPS
@pytest.mark.parametrize("away", [SECOND // 2, 40 * SECOND], ids=["still alive to all", "dead to all"])
def test_a_member_back_under_another_incarnation_is_believed_within_seconds(step, away):
    net = Members4(4)
    net.run(3 * SECOND)
    before = net.nodes["g2"].incarnation
    net.down.add("g2")
    net.run(away)
    assert net.states_of("g2") == {MemberState.ALIVE if away < SECOND else MemberState.DEAD}
    net.ahead = step
    net.start("g2", 9, {f"g{number}": f"g{number}" for number in range(4)})
    net.run(3 * SECOND)
    now = net.nodes["g2"].incarnation
    assert now > before
    assert net.states_of("g2") == {MemberState.ALIVE}
    net.run(10 * SECOND)
    held = {net.nodes[name].members["g2"].incarnation for name in ("g0", "g1", "g3")}
    assert held == {net.nodes["g2"].incarnation}
    assert net.states_of("g2") == {MemberState.ALIVE}


# MembershipTransport of demand and copies


def in_flight(incarnation, sequence, requests):
    entries = (HostEntry(name_key("h1"), requests),)
    return GossipMessage(incarnation, (EntrySet(EntryKind.IN_FLIGHT, 0, sequence, 0, 0.0, entries),))


def test_what_an_origin_sends_under_a_lower_incarnation_waits_until_it_has_outbid_its_past_one():
    made = GossipNode("me", BEGUN_MS, RandomGenerator(7), 0)
    made.set_peers(0, ["a"])
    made.set_hosts(0, {"h1": 1})
    made.receive(0, "a", in_flight(BEGUN_MS, 900, 4.0))
    assert made.receive(SECOND, "a", in_flight(BEGUN_MS - HOUR_MS, 1, 2.0)) == 0
    assert made.in_flight(SECOND, "h1").received == pytest.approx(4.0, rel=0.03)
    assert (
        made.in_flight(KIND_LIMITS[EntryKind.IN_FLIGHT].max_age + 2 * SECOND, "h1").origin_count == 0
    )  # what it said before fades as ever
    assert made.receive(2 * SECOND, "a", in_flight(BEGUN_MS + 1, 1, 2.0)) == 1


def test_a_gateway_restarted_with_its_clock_an_hour_back_is_heard_again(fleet, monkeypatch):
    made, start = fleet
    ahead = [0]

    def wall():
        return (BEGUN_MS + ahead[0]) * 1_000_000 + made.loop.now()

    monkeypatch.setattr(MembershipTransport.__init__, "__defaults__", (wall,))
    second = start("second", "weak-word yes")
    at = second.peers.peer_server.address
    third = start("third", f"peer second {at}\nweak-word yes")
    node = third.peers.gossip.node
    made.until(lambda: "second" in node.table.received_sets)
    before = second.peers.membership_transport.membership.incarnation
    second.close()
    ahead[0] = -HOUR_MS
    lines = (f"listen peers {at}", f"peer third {third.peers.peer_server.address}", "weak-word yes")
    again = start("second", *lines, listen=False)
    assert again.peers.membership_transport.membership.incarnation < before
    made.until(lambda: node.table.latest_incarnation("second") > before)
    assert again.peers.membership_transport.membership.incarnation > before


# Leases


class Voters(RaftNet):
    """Nodes whose fencing tokens begin at the wall clock `base`, in ms, as a bootstrap has it."""

    base = BEGUN_MS

    def start(self, name):
        self.nodes[name] = RaftNode(
            name,
            self.names,
            self.disks[name],
            self.chance,
            self.now,
            LeaseTable(initial_wait=False),
            fencing_base=self.base,
        )


@STEPS
def test_nodes_that_restart_give_no_token_and_no_session_a_second_time(step):
    net = Voters(3, clients=1)
    held, sessions = [], []
    for restart in range(3):
        net.clients = {"h0": LeaseClient("h0", net.names, net.chance, net.now)}  # a new process each time
        lease = net.clients["h0"].acquire(net.now, f"room-{restart}", 30 * SECOND)
        net.run(10 * SECOND)
        assert lease.is_valid_at(net.now)
        held.append(lease.fencing_token)
        sessions.append(net.clients["h0"].session)
        for name in net.names:
            net.crash(name)
        net.base += step
        for name in net.names:
            net.start(name)
    assert held == sorted(set(held))
    assert held[0] > BEGUN_MS
    assert sessions == sorted(set(sessions))


# Files


@pytest.mark.parametrize("step", [-HOUR_MS, HOUR_MS])
def test_votes_hold_no_time(tmp_path, step):
    files = []
    for name, wall in (("one", BEGUN_MS), ("two", BEGUN_MS + step)):
        votes = RaftLogFile(tmp_path / name, wall_clock=lambda wall=wall: wall).open()
        votes.read()
        votes.append(b"vote")
        votes.sync()
        votes.close()
        files.append((tmp_path / name).read_bytes())
        votes = RaftLogFile(tmp_path / name, wall_clock=lambda wall=wall: wall - step).open()
        assert votes.read() == [b"vote"]
        votes.close()
    assert files[0] == files[1]


@pytest.mark.parametrize("step", [-HOUR_MS, HOUR_MS])
def test_a_stored_cell_table_holds_no_time_and_goes_by_its_version(tmp_path, step):
    files = []
    for name, wall in (("one", BEGUN_MS), ("two", BEGUN_MS + step)):
        messages = []
        made = CellTableFile(tmp_path / name, "north", messages.append, lambda wall=wall: wall)
        assert made.write(StoredTable("north", 2, 7, 5, b"rows"))
        files.append((tmp_path / name).read_bytes())
        later = CellTableFile(tmp_path / name, "north", messages.append, lambda wall=wall: wall - step)
        assert later.read((2, 7)).data == b"rows"
        assert later.read((2, 8)) is None
        assert len(messages) == 1
    assert files[0] == files[1]
