"""The Raft group of three and its leases: what holders that renew leases cost it."""

import time
from collections import defaultdict
from typing import Any

from benchmarks.scale.deferred import deferred
from benchmarks.scale.measurement import Measurements
from benchmarks.scale.meters import CPU_TIME, MS_PER_SECOND
from gaproute.http1 import render
from gaproute.peers.raft import wire
from gaproute.peers.raft.transport import HTTP_TARGET
from gaproute.shared.leases import LeaseClient, LeaseTable
from gaproute.shared.raft import RaftNode
from gaproute.shared.raft.messages import RaftMessage
from gaproute.simulation.disk import SimulatedDisk
from gaproute.simulation.fault_schedule import FaultSchedule
from gaproute.simulation.options import MessageCodec, SimulationOptions
from gaproute.simulation.process_slot import ProcessFactory, ProcessSlot
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.simulation.simulation import Simulation, SlotCall

SECOND = 1_000_000_000
HOLDERS = (4, 16, 64, 256)
LEASES = (1, 4, 16, 64)  # of each holder
FEW, SOME = 8, 1
GROUP = ("k1", "k2", "k3")
END = 1 << 62  # ns: no run comes to the end of the schedule
SPAN = 20 * SECOND  # of a lease; it is renewed after half of it
ELECTION_TIME = 5  # s until the group has a leader
PLAYED = 20  # s that are measured: each lease is renewed twice
SIMULATED = (
    f"a group of {len(GROUP)} simulated by gaproute/simulation without faults; "
    "leases of 20 s, renewed each 10 s, at spread times; disks in memory"
)
POSTED = "each message counted as a POST and its answer of their own, HTTP heads in, TCP's not"


def encoded(message: Any) -> bytes:
    """The message as a batch of its own."""
    return wire.encode_batch(GROUP[0], [wire.encode_message(message)])


def decoded(data: Any) -> RaftMessage:
    """The message of such a batch."""
    return wire.decode_batch(data)[1][0]


def posted(data: bytes) -> int:
    """Bytes of the exchange that carries a batch."""
    head = b"POST %s HTTP/1.1\r\nHost: peer\r\nContent-Length: %d\r\n\r\n" % (HTTP_TARGET, len(data))
    return len(head) + len(data) + len(render(204, (), b"", close=False))


class SimulatedRaftGroup(Simulation):
    """Counts what is sent, and the CPU of each process's calls, with its messages' encoding and decoding."""

    def __init__(self, holders: int, seed: int) -> None:
        self.messages = self.sent = 0  # messages and bytes of all
        self.spent: defaultdict[str, float] = defaultdict(float)  # CPU seconds by process
        factories: dict[str, ProcessFactory] = dict.fromkeys(GROUP, self.raft_node)
        factories |= {f"h{number}": self.holder for number in range(holders)}
        options = SimulationOptions(drifts=dict.fromkeys(factories, 0), codec=MessageCodec(encoded, decoded))
        super().__init__(FaultSchedule(seed, END), factories, options=options)

    def raft_node(self, name: str, disk: SimulatedDisk, chance: SeededRandom, now: int) -> RaftNode:
        """Make a member of the group."""
        return RaftNode(name, GROUP, disk, chance, now, LeaseTable(initial_wait=False))

    def holder(self, name: str, disk: SimulatedDisk, chance: SeededRandom, now: int) -> LeaseClient:
        """Make a gateway that wants leases."""
        return LeaseClient(name, GROUP, chance, now)

    def call(self, slot: ProcessSlot, call: SlotCall) -> None:
        """As in a `Simulation`, with its CPU time counted."""
        began = time.process_time()
        super().call(slot, call)
        self.spent[slot.name] += time.process_time() - began

    def send(self, slot: ProcessSlot, to: str, message: object) -> None:
        """As in a `Simulation`, with messages and bytes counted."""
        self.messages += 1
        self.sent += posted(encoded(message))
        super().send(slot, to, message)

    def play(self, seconds: int) -> None:
        """Run so long, second by second: the simulation's bound on steps is meant for a whole run."""
        for _ in range(seconds):
            self.timeline.step = 0
            self.run(self.now + SECOND)

    def request_lease(self, holder: str, resource: str) -> None:
        """The holder wants this lease from now on."""

        def acquire(client: LeaseClient, now: int) -> None:
            client.acquire(now, resource, SPAN)

        self.ask(holder, acquire)

    def leader(self) -> RaftNode:
        """The group's leader."""
        nodes = [self.slots[name].process for name in GROUP]
        return next(node for node in nodes if isinstance(node, RaftNode) and node.is_leader)


def played(holders: int, leases: int, seed: int) -> SimulatedRaftGroup:
    """A group whose holders renew so many leases each, after the span that is measured."""
    group = SimulatedRaftGroup(holders, seed)
    group.play(ELECTION_TIME)
    between = SPAN // 2 // (holders * leases)
    for place in range(leases):
        for number in range(holders):
            group.request_lease(f"h{number}", f"host-{number:04}-{place:02}")
            group.run(group.now + between)
            group.timeline.step = 0
    group.play(PLAYED)
    group.messages, group.sent = 0, 0
    group.spent.clear()
    group.play(PLAYED)
    machine = group.leader().machine
    assert isinstance(machine, LeaseTable)
    assert len(machine.leases) == holders * leases, len(machine.leases)
    return group


def bytes_by_holders(holders: int, seed: int) -> float:
    """Bytes a second of all."""
    return played(holders, SOME, seed).sent / PLAYED


def messages_by_holders(holders: int, seed: int) -> float:
    """Messages a second of all."""
    return played(holders, SOME, seed).messages / PLAYED


def leader_cpu(group: SimulatedRaftGroup) -> float:
    """Milliseconds of CPU a second of the leader."""
    return group.spent[group.leader().name] / PLAYED * MS_PER_SECOND


def cpu_by_holders(holders: int, seed: int) -> float:
    """Milliseconds of CPU a second of the leader."""
    return leader_cpu(played(holders, SOME, seed))


def bytes_by_leases(leases: int, seed: int) -> float:
    """Bytes a second of all."""
    return played(FEW, leases, seed).sent / PLAYED


def cpu_by_leases(leases: int, seed: int) -> float:
    """Milliseconds of CPU a second of the leader."""
    return leader_cpu(played(FEW, leases, seed))


SPENT = f"{SIMULATED}. {CPU_TIME}; sockets and disks not in"

MEASUREMENTS: Measurements = {
    **deferred(
        "consensus-bytes-by-holders",
        "bytes that group and holders send, one lease a holder",
        "bytes/s",
        "holders",
        HOLDERS,
        bytes_by_holders,
        f"{SIMULATED}; {POSTED}",
    ),
    **deferred(
        "consensus-messages-by-holders",
        "messages that group and holders send, one lease a holder",
        "messages/s",
        "holders",
        HOLDERS,
        messages_by_holders,
        SIMULATED,
    ),
    **deferred(
        "consensus-leader-cpu-by-holders",
        "CPU of the leader, one lease a holder",
        "ms/s",
        "holders",
        HOLDERS,
        cpu_by_holders,
        SPENT,
    ),
    **deferred(
        "consensus-bytes-by-leases",
        f"bytes that group and {FEW} holders send",
        "bytes/s",
        "leases of a holder",
        LEASES,
        bytes_by_leases,
        f"{SIMULATED}; {POSTED}",
    ),
    **deferred(
        "consensus-leader-cpu-by-leases",
        f"CPU of the leader, {FEW} holders",
        "ms/s",
        "leases of a holder",
        LEASES,
        cpu_by_leases,
        SPENT,
    ),
}
