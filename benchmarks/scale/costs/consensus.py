"""The Raft group of three and its leases: what holders that keep leases up cost it."""

import time
from collections import Counter

from benchmarks.scale.deferred import deferred
from benchmarks.scale.meters import CPU_TIME, MS_PER_SECOND
from gaproute.http1 import render
from gaproute.peers.raft import wire
from gaproute.peers.raft.transport import TARGET
from gaproute.shared.leases import LeaseClient, LeaseTable
from gaproute.shared.raft import RaftNode
from gaproute.simulation.fault_schedule import FaultSchedule
from gaproute.simulation.options import MessageCodec, SimulationOptions
from gaproute.simulation.simulation import Simulation

SECOND = 1_000_000_000
HOLDERS = (4, 16, 64, 256)
LEASES = (1, 4, 16, 64)  # of each holder
FEW, SOME = 8, 1
GROUP = ("k1", "k2", "k3")
SPAN = 20 * SECOND  # of a lease; it is renewed after half of it
FOUNDED = 5  # s until the group has a leader
PLAYED = 20  # s that are measured: each lease is renewed twice
SIMULATED = (
    f"a group of {len(GROUP)} simulated by gaproute/simulation without faults; "
    "leases of 20 s, renewed each 10 s, at spread times; disks in memory"
)
POSTED = "each message counted as a POST and its answer of their own, HTTP heads in, TCP's not"


def encoded(message):
    """The message as a batch of its own."""
    return wire.batch(GROUP[0], [wire.pack(message)])


def decoded(data):
    """The message of such a batch."""
    return wire.read(data)[1][0]


def posted(data):
    """Bytes of the exchange that carries a batch."""
    head = b"POST %s HTTP/1.1\r\nHost: peer\r\nContent-Length: %d\r\n\r\n" % (TARGET, len(data))
    return len(head) + len(data) + len(render(204, (), b"", close=False))


class Group(Simulation):
    """Counts what is sent, and the CPU of each actor's calls with their messages' bytes made and read."""

    def __init__(self, holders, seed):
        self.messages, self.sent, self.spent = 0, 0, Counter()
        makes = {name: self.keeper for name in GROUP}
        makes |= {f"h{number}": self.holder for number in range(holders)}
        options = SimulationOptions(drifts=dict.fromkeys(makes, 0), codec=MessageCodec(encoded, decoded))
        super().__init__(FaultSchedule(seed, 1 << 62), makes, options=options)

    def keeper(self, name, disk, chance, now):
        """A member of the group."""
        return RaftNode(name, GROUP, disk, chance, now, LeaseTable(initial_wait=False))

    def holder(self, name, disk, chance, now):
        """A gateway that wants leases."""
        return LeaseClient(name, GROUP, chance, now)

    def call(self, slot, call):
        """As a simulation's, metered."""
        begun = time.process_time()
        super().call(slot, call)
        self.spent[slot.name] += time.process_time() - begun

    def send(self, slot, to, message):
        """As a simulation's, counted."""
        self.messages += 1
        self.sent += posted(encoded(message))
        super().send(slot, to, message)

    def play(self, seconds):
        """Plays so long, second by second: the simulation's bound on steps is one of a hunt's whole run."""
        for _ in range(seconds):
            self.timeline.step = 0
            self.run(self.now + SECOND)

    def take(self, holder, resource):
        """The holder wants this lease from now on."""

        def acquire(client, now):
            client.acquire(now, resource, SPAN)

        self.ask(holder, acquire)

    def leading(self):
        """The name of the group's leader."""
        return next(name for name in GROUP if self.slots[name].process.is_leader)


def played(holders, leases, seed):
    """A group whose holders keep up so many leases each, after the span that is measured."""
    group = Group(holders, seed)
    group.play(FOUNDED)
    between = SPAN // 2 // (holders * leases)
    for place in range(leases):
        for number in range(holders):
            group.take(f"h{number}", f"host-{number:04}-{place:02}")
            group.run(group.now + between)
            group.timeline.step = 0
    group.play(PLAYED)
    group.messages, group.sent = 0, 0
    group.spent.clear()
    group.play(PLAYED)
    machine = group.slots[group.leading()].process.machine
    assert len(machine.leases) == holders * leases, len(machine.leases)
    return group


def bytes_by_holders(holders, seed):
    """Bytes a second of all."""
    return played(holders, SOME, seed).sent / PLAYED


def messages_by_holders(holders, seed):
    """Messages a second of all."""
    return played(holders, SOME, seed).messages / PLAYED


def leader_cpu(group):
    """Milliseconds of CPU a second of the leader."""
    return group.spent[group.leading()] / PLAYED * MS_PER_SECOND


def cpu_by_holders(holders, seed):
    """Milliseconds of CPU a second of the leader."""
    return leader_cpu(played(holders, SOME, seed))


def bytes_by_leases(leases, seed):
    """Bytes a second of all."""
    return played(FEW, leases, seed).sent / PLAYED


def cpu_by_leases(leases, seed):
    """Milliseconds of CPU a second of the leader."""
    return leader_cpu(played(FEW, leases, seed))


SPENT = f"{SIMULATED}. {CPU_TIME}; sockets and disks not in"

MEASUREMENTS = {
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
