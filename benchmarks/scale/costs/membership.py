"""Membership: what it costs one gateway among n, and how soon all know of a death and of a newcomer."""

import time
from collections.abc import Iterable, Sequence

from benchmarks.membership import EncodingNetwork
from benchmarks.scale.deferred import deferred
from benchmarks.scale.measurement import Measurements, Play
from benchmarks.scale.meters import CPU_TIME, MS_PER_SECOND, TRACED, UDP_HEADERS, retained_bytes
from gaproute.decisions.chance import RandomGenerator
from gaproute.peers.membership_wire import decode, encode
from gaproute.shared.membership import Membership, MembershipMessage, MemberState, MemberUpdate, MessageKind
from gaproute.shared.membership.message_builder import Outgoing

SECOND = 1_000_000_000
MEMBERS = (16, 64, 256, 1_024, 4_096)
FLEETS = (16, 64, 256, 1_024)  # simulated completely: 4,096 tables of 4,096 rows are beyond one process
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


def address(number: int) -> str:
    """The address of one member."""
    return f"10.0.{number // 250}.{number % 250 + 1}:8090"


def decoded(data: bytes) -> MembershipMessage:
    """The message of a datagram of this benchmark's own."""
    message = decode(data)
    assert message is not None
    return message


def members(count: int) -> dict[str, str]:
    """{name: address} of so many."""
    return {f"gate-{number:04}": address(number) for number in range(count)}


class MeasuredMember:
    """One real member among simulated ones.

    Each of its probes is answered, and each second one of the others probes it.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.peers, self.chance = members(count), RandomGenerator(seed)
        self.names = {where: name for name, where in self.peers.items()}
        self.member, self.mirror = self.start("gate-0000", seed), self.start("gate-0001", seed + 1)
        self.now = 0  # ns
        self.out, self.spent = 0, 0.0  # bytes sent; CPU seconds
        self.number = 0  # of the last probe by another

    def start(self, name: str, seed: int) -> Membership:
        """Make a member that is configured with all others."""
        made = Membership(name, self.peers[name], RandomGenerator(seed), 0, SINCE_1970)
        made.set_configured_members(0, self.peers)
        return made

    def message_of(self, name: str, kind: MessageKind, number: int) -> bytes:
        """Encode a message of another member, with as many updates as this gateway's own."""
        message = self.mirror.message_builder.message(kind, number)
        return encode(
            message._replace(sender=MemberUpdate(name, self.peers[name], MemberState.ALIVE, SINCE_1970))
        )

    def receive(self, data: bytes) -> None:
        """Receive a message; the answers go out."""
        began = time.process_time()
        self.send(self.member.receive(self.now, decoded(data)), began)

    def send(self, messages: Iterable[Outgoing], began: float) -> None:
        """Count what goes out, and answer the probes among it; `began`: when the CPU time began, s."""
        datagrams = [(where, message, encode(message)) for where, message in messages]
        self.spent += time.process_time() - began
        for where, message, data in datagrams:
            self.out += len(data) + UDP_HEADERS
            if message.kind == MessageKind.PING:
                self.receive(self.message_of(self.names[where], MessageKind.ACK, message.sequence))

    def second(self) -> None:
        """Play one second: an own probe, and one by another member."""
        self.now += SECOND
        began = time.process_time()
        self.send(self.member.tick(self.now), began)
        self.number += 1
        other = f"gate-{1 + self.chance.below(len(self.peers) - 1):04}"
        self.receive(self.message_of(other, MessageKind.PING, self.number))

    def play(self) -> "MeasuredMember":
        """Settle, then play the span that is measured."""
        for _ in range(SETTLED):
            self.second()
        self.out, self.spent = 0, 0.0
        for _ in range(PLAYED):
            self.second()
        assert self.member.suspicion_count == 0
        return self


def bytes_sent(count: int, seed: int) -> float:
    """Bytes that one member sends a second."""
    return MeasuredMember(count, seed).play().out / PLAYED


def cpu(count: int, seed: int) -> float:
    """Milliseconds of CPU a second."""
    return MeasuredMember(count, seed).play().spent / PLAYED * MS_PER_SECOND


def memory(count: int, seed: int) -> float:
    """Bytes of one member's table."""
    peers = members(count)

    def build() -> Membership:
        made = Membership("gate-0000", peers["gate-0000"], RandomGenerator(seed), 0, SINCE_1970)
        for name, where in peers.items():
            news = MemberUpdate(f"{name}", f"{where} "[:-1], MemberState.ALIVE, SINCE_1970)
            made.receive(0, decoded(encode(MembershipMessage(MessageKind.ACK, 0, news))))
        return made

    return retained_bytes(build)


def table_bytes(count: int, seed: int) -> float:
    """Bytes both ways until a newcomer has the complete table."""
    sender, newcomer = (
        MeasuredMember(count, seed).member,
        MemberUpdate("newcomer", address(9_000), MemberState.ALIVE, SINCE_1970),
    )
    place, moved, now = 0, 0, 0
    while True:
        pull = encode(MembershipMessage(MessageKind.PULL, place, newcomer))
        moved += len(pull) + UDP_HEADERS
        answers = sender.receive(now, decoded(pull))
        if not answers:  # so many chunks a period: asked again in the next
            now += SECOND
            sender.tick(now)
            continue
        ((_, part),) = answers
        moved += len(encode(part)) + UDP_HEADERS
        place = part.sequence
        if place == 0:
            return moved


def steady_fleet(size: int, seed: int) -> EncodingNetwork:
    """A fleet that has run for long: each member knows the incarnation of every other."""
    net = EncodingNetwork(size, seed)
    for node in net.nodes.values():
        for other in net.nodes.values():
            node.apply_update(
                0, MemberUpdate(other.name, other.address, MemberState.ALIVE, other.incarnation)
            )
    net.run(SETTLED * SECOND)
    return net


def death_seconds(size: int, seed: int) -> float:
    """Seconds until the last of the others considers a killed gateway dead."""
    net = steady_fleet(size, seed)
    net.down.add("g1")
    others = [node for name, node in net.nodes.items() if name != "g1"]
    return in_time(net.until(lambda: all(node.members["g1"].state == MemberState.DEAD for node in others)))


def newcomer_seconds(size: int, seed: int) -> float:
    """Seconds until all know a newcomer and it knows all."""
    net = steady_fleet(size, seed)
    net.start("new", 77 + seed, {"g2": "g2"})
    others = [node for name, node in net.nodes.items() if name != "new"]
    newcomer = net.nodes["new"]
    return in_time(
        net.until(lambda: len(newcomer.table.alive) == size and all("new" in node.members for node in others))
    )


def in_time(seconds: float | None) -> float:
    """The seconds. Raises RuntimeError for None: the state was not reached in the time that is waited for."""
    if seconds is None:
        raise RuntimeError("not known to all in time")
    return seconds


def by_members(
    name: str, meaning: str, unit: str, play: Play, conditions: str, sizes: Sequence[int] = MEMBERS
) -> Measurements:
    """{name: function that makes this measurement by the number of members}."""
    return deferred(name, meaning, unit, PARAMETER, sizes, play, conditions)


MEASUREMENTS: Measurements = {
    **by_members("membership-bytes-by-members", "bytes that one gateway sends", "bytes/s", bytes_sent, ALONE),
    **by_members(
        "membership-cpu-by-members", "CPU of one gateway", "ms/s", cpu, f"{ALONE}. {CPU_TIME}, sockets not in"
    ),
    **by_members("membership-memory-by-members", "memory of one gateway's table", "bytes", memory, TRACED),
    **by_members(
        "membership-table-bytes-by-members",
        "bytes both ways until a newcomer has the whole table",
        "bytes",
        table_bytes,
        "pulled chunk by chunk of one member; 28 bytes of headers a message",
    ),
    **by_members(
        "membership-death-seconds-by-members",
        "until a killed gateway is held dead by all others",
        "s",
        death_seconds,
        SIMULATED,
        FLEETS,
    ),
    **by_members(
        "membership-newcomer-seconds-by-members",
        "until a newcomer is known to all and knows all",
        "s",
        newcomer_seconds,
        SIMULATED,
        FLEETS,
    ),
}
