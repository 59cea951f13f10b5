"""Membership: what it costs one gateway among n, and how soon all know of a death and of a newcomer."""

import time

from benchmarks.membership import Bytes
from benchmarks.scale.measurement import measure
from benchmarks.scale.meters import CPU_TIME, MS_PER_SECOND, TRACED, UDP_HEADERS, retained_bytes
from gaproute.decisions.chance import Chance
from gaproute.peers.membership_wire import decode, encode
from gaproute.shared.membership import Membership, MembershipMessage, MemberState, MemberUpdate, MessageKind

SECOND = 1_000_000_000
MEMBERS = (16, 64, 256, 1_024, 4_096)
FLEETS = (16, 64, 256, 1_024)  # simulated whole: 4,096 tables of 4,096 rows are beyond one process
SETTLED = 5  # s until what is measured begins
PLAYED = 60  # s that are measured
PARAMETER = "members"
SINCE_1970 = 1_700_000_000_000  # ms: an incarnation as a gateway begins with
ALONE = (
    f"one gateway's decisions and bytes for {PLAYED} s of a clock handed in, nothing lost; "
    "the others' messages are those of a second table alike. Bytes with 28 of headers a message, out"
)
SIMULATED = (
    "whole fleet simulated by benchmarks/membership.py, nothing lost, looked at every 250 ms; "
    "all have heard of each other before"
)


def address(number):
    """The address of one member."""
    return f"10.0.{number // 250}.{number % 250 + 1}:8090"


def members(count):
    """{name: address} of so many."""
    return {f"gate-{number:04}": address(number) for number in range(count)}


class MeasuredMember:
    """One real member whose neighbours are played: each of its probes is answered, and each second one of
    the others probes it."""

    def __init__(self, count, seed):
        self.peers, self.chance = members(count), Chance(seed)
        self.names = {where: name for name, where in self.peers.items()}
        self.member, self.mirror = self.start("gate-0000", seed), self.start("gate-0001", seed + 1)
        self.now, self.out, self.spent, self.number = 0, 0, 0.0, 0

    def start(self, name, seed):
        """A member that was told the whole list."""
        made = Membership(name, self.peers[name], Chance(seed), 0, SINCE_1970)
        made.configure(0, self.peers)
        return made

    def word_of(self, name, kind, number):
        """A message of another, with as much news as this gateway's own."""
        word = self.mirror.builder.message(kind, number)
        return encode(
            word._replace(sender=MemberUpdate(name, self.peers[name], MemberState.ALIVE, SINCE_1970))
        )

    def hear(self, data):
        """Takes a message; what it answers goes out."""
        begun = time.process_time()
        self.send(self.member.receive(self.now, decode(data)), begun)

    def send(self, words, begun):
        """Counts what goes out, and answers the probes among it."""
        datagrams = [(where, word, encode(word)) for where, word in words]
        self.spent += time.process_time() - begun
        for where, word, data in datagrams:
            self.out += len(data) + UDP_HEADERS
            if word.kind == MessageKind.PING:
                self.hear(self.word_of(self.names[where], MessageKind.ACK, word.sequence))

    def second(self):
        """One second: an own probe, and one by another."""
        self.now += SECOND
        begun = time.process_time()
        self.send(self.member.tick(self.now), begun)
        self.number += 1
        other = f"gate-{1 + self.chance.below(len(self.peers) - 1):04}"
        self.hear(self.word_of(other, MessageKind.PING, self.number))

    def play(self):
        """Settles, then plays the span that is measured."""
        for _ in range(SETTLED):
            self.second()
        self.out, self.spent = 0, 0.0
        for _ in range(PLAYED):
            self.second()
        assert self.member.suspicions == 0
        return self


def bytes_sent(count, seed):
    """Bytes that one member sends a second."""
    return MeasuredMember(count, seed).play().out / PLAYED


def cpu(count, seed):
    """Milliseconds of CPU a second."""
    return MeasuredMember(count, seed).play().spent / PLAYED * MS_PER_SECOND


def memory(count, seed):
    """Bytes that one member's table holds."""
    peers = members(count)

    def build():
        made = Membership("gate-0000", peers["gate-0000"], Chance(seed), 0, SINCE_1970)
        for name, where in peers.items():
            news = MemberUpdate(f"{name}", f"{where} "[:-1], MemberState.ALIVE, SINCE_1970)
            made.receive(0, decode(encode(MembershipMessage(MessageKind.ACK, 0, news))))
        return made

    return retained_bytes(build)


def table_bytes(count, seed):
    """Bytes that go to and fro until a newcomer has the whole table."""
    giver, newcomer = (
        MeasuredMember(count, seed).member,
        MemberUpdate("newcomer", address(9_000), MemberState.ALIVE, SINCE_1970),
    )
    place, moved, now = 0, 0, 0
    while True:
        pull = encode(MembershipMessage(MessageKind.PULL, place, newcomer))
        moved += len(pull) + UDP_HEADERS
        answers = giver.receive(now, decode(pull))
        if not answers:  # so many chunks a period: asked again in the next
            now += SECOND
            giver.tick(now)
            continue
        ((_, part),) = answers
        moved += len(encode(part)) + UDP_HEADERS
        place = part.sequence
        if place == 0:
            return moved


def steady_fleet(size, seed):
    """A fleet that has run for long: each member knows the incarnation of every other."""
    net = Bytes(size, seed)
    for node in net.nodes.values():
        for other in net.nodes.values():
            node.apply(0, MemberUpdate(other.name, other.address, MemberState.ALIVE, other.incarnation))
    net.run(SETTLED * SECOND)
    return net


def death_seconds(size, seed):
    """Seconds until the last of the others holds a killed gateway dead."""
    net = steady_fleet(size, seed)
    net.down.add("g1")
    others = [node for name, node in net.nodes.items() if name != "g1"]
    return in_time(net.until(lambda: all(node.members["g1"].state == MemberState.DEAD for node in others)))


def newcomer_seconds(size, seed):
    """Seconds until all know a newcomer and it knows all."""
    net = steady_fleet(size, seed)
    net.start("new", 77 + seed, {"g2": "g2"})
    others = [node for name, node in net.nodes.items() if name != "new"]
    newcomer = net.nodes["new"]
    return in_time(
        net.until(lambda: len(newcomer.table.alive) == size and all("new" in node.members for node in others))
    )


def in_time(seconds):
    """The seconds. Errors: RuntimeError where it did not come in the time that is waited for."""
    if seconds is None:
        raise RuntimeError("not known to all in time")
    return seconds


def by_members(name, meaning, unit, play, conditions, sizes=MEMBERS):
    """A function that makes this measurement."""
    return lambda: measure(name, meaning, unit, PARAMETER, sizes, play, conditions)


MEASUREMENTS = {
    "membership-bytes-by-members": by_members(
        "membership-bytes-by-members", "bytes that one gateway sends", "bytes/s", bytes_sent, ALONE
    ),
    "membership-cpu-by-members": by_members(
        "membership-cpu-by-members", "CPU of one gateway", "ms/s", cpu, f"{ALONE}. {CPU_TIME}, sockets not in"
    ),
    "membership-memory-by-members": by_members(
        "membership-memory-by-members", "memory of one gateway's table", "bytes", memory, TRACED
    ),
    "membership-table-bytes-by-members": by_members(
        "membership-table-bytes-by-members",
        "bytes both ways until a newcomer has the whole table",
        "bytes",
        table_bytes,
        "pulled chunk by chunk of one member; 28 bytes of headers a message",
    ),
    "membership-death-seconds-by-members": by_members(
        "membership-death-seconds-by-members",
        "until a killed gateway is held dead by all others",
        "s",
        death_seconds,
        SIMULATED,
        FLEETS,
    ),
    "membership-newcomer-seconds-by-members": by_members(
        "membership-newcomer-seconds-by-members",
        "until a newcomer is known to all and knows all",
        "s",
        newcomer_seconds,
        SIMULATED,
        FLEETS,
    ),
}
