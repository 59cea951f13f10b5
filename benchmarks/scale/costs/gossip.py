"""Gossip of demand: what one gateway sends and receives, by the number of gateways."""

import time
from dataclasses import dataclass

from benchmarks.gossip_bytes import wrapped
from benchmarks.gossip_traffic import FUNCTIONS, HOSTS
from benchmarks.scale.deferred import deferred
from benchmarks.scale.measurement import Measurements
from benchmarks.scale.meters import CPU_TIME, MS_PER_SECOND, TRACED, UDP_HEADERS, retained_bytes
from gaproute.decisions.chance import RandomGenerator
from gaproute.peers import datagram_pb2
from gaproute.peers.gossip import decode, encode
from gaproute.shared.gossip import GossipNode

SECOND = 1_000_000_000
GATEWAYS = (16, 64, 256, 1_024, 4_096)
SOME = 64  # gateways, where something else is varied
PLAYED = 20  # s
FULL_AFTER = 300  # s after which a receiver has all entries that it ever will: the longest time to live
NOTHING_LOST = (
    "one gateway's decisions and bytes on a clock handed in; as many words of others come in as go out, "
    "alike; bytes with 28 of headers a word, out"
)


@dataclass(frozen=True)
class Fleet:
    """How many gateways, hosts and functions there are."""

    gateways: int = SOME
    hosts: int = HOSTS
    functions: int = FUNCTIONS


class MeasuredGateway:
    """One sender whose peers each send it what it sends them."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet, self.chance = fleet, RandomGenerator(seed)
        self.names = [f"gate-{number:04}" for number in range(1, fleet.gateways)]
        self.node = GossipNode("gate-0000", 1, RandomGenerator(seed), 0)
        self.node.set_peers(0, self.names)
        self.node.set_hosts(0, dict.fromkeys(self.hosts(), 1))
        self.now, self.turn = 0, 0  # ns; messages received so far
        self.out, self.spent, self.messages = 0, 0.0, 0  # bytes sent; CPU seconds; messages sent

    def hosts(self) -> list[str]:
        """Names of the hosts."""
        return [f"host-{number:04}" for number in range(self.fleet.hosts)]

    def observe(self) -> None:
        """Record what this gateway sees in a second.

        That is a request of each function and some requests in flight at each host.
        """
        for number in range(self.fleet.functions):
            function = f"model-{number:04}"
            self.node.record_arrival(self.now, function, 0)
            self.node.record_warm_instance(self.now, f"host-{number % self.fleet.hosts:04}", function)
        for number, host in enumerate(self.hosts()):
            self.node.record_in_flight(host, 1 + (number + self.now // SECOND) % 8)

    def tick(self) -> None:
        """Send the next message, and receive one of the next peer with the same content."""
        began = time.process_time()
        datagrams = [wrapped(encode(message)) for _, message in self.node.tick(self.now)]
        self.spent += time.process_time() - began
        for data in datagrams:
            self.messages += 1
            self.out += len(data) + UDP_HEADERS
            self.receive(data)

    def receive(self, data: bytes) -> None:
        """Receive a message of its own as that of the next peer."""
        self.turn += 1
        sender = self.names[self.turn % len(self.names)]
        began = time.process_time()
        envelope = datagram_pb2.Word.FromString(data)
        self.node.receive_encoded(self.now, sender, lambda: decode(envelope.weak))
        self.spent += time.process_time() - began

    def play(self, seconds: int) -> "MeasuredGateway":
        """Play so many seconds."""
        for second in range(seconds):
            self.observe()
            end = (second + 1) * SECOND
            while self.node.due < end:
                self.now = max(self.now, self.node.due)
                self.tick()
            self.now = end
        return self


def played(fleet: Fleet, seed: int) -> MeasuredGateway:
    """A gateway after the span that is measured, the first seconds of it left out."""
    one = MeasuredGateway(fleet, seed)
    one.observe()
    one.now = 2 * SECOND  # the first step of arrivals is over
    return one.play(PLAYED)


def bytes_sent(gateways: int, seed: int) -> float:
    """Bytes that one gateway sends a second."""
    return played(Fleet(gateways), seed).out / PLAYED


def cpu(gateways: int, seed: int) -> float:
    """Milliseconds of CPU a second."""
    return played(Fleet(gateways), seed).spent / PLAYED * MS_PER_SECOND


def memory(gateways: int, seed: int) -> float:
    """Bytes of one gateway's state."""
    return retained_bytes(lambda: MeasuredGateway(Fleet(gateways), seed).play(FULL_AFTER))


def round_seconds(gateways: int, seed: int) -> float:
    """Seconds until each other gateway was sent one more message."""
    one = MeasuredGateway(Fleet(gateways), seed)
    one.play(PLAYED)
    one.node.peers.remaining = []  # a round begins
    first = one.now
    reached: set[str] = set()
    while len(reached) < gateways - 1:
        one.now = max(one.now, one.node.due)
        reached.update(name for name, _ in one.node.tick(one.now))
    return (one.now - first) / SECOND


OTHERS = f"{HOSTS} hosts, {FUNCTIONS} functions"
SPENT = f"{NOTHING_LOST}. {CPU_TIME}, sockets not in"

MEASUREMENTS: Measurements = {
    **deferred(
        "gossip-bytes-by-gateways",
        "bytes that one gateway sends",
        "bytes/s",
        "gateways",
        GATEWAYS,
        bytes_sent,
        f"{NOTHING_LOST}; {OTHERS}",
    ),
    **deferred(
        "gossip-cpu-by-gateways",
        "CPU of telling and hearing",
        "ms/s",
        "gateways",
        GATEWAYS,
        cpu,
        f"{SPENT}; {OTHERS}",
    ),
    **deferred(
        "gossip-memory-by-gateways",
        "memory of what one gateway sees and holds of others",
        "bytes",
        "gateways",
        GATEWAYS,
        memory,
        f"after {FULL_AFTER} s; {OTHERS}. {TRACED}",
    ),
    **deferred(
        "gossip-round-seconds-by-gateways",
        "until each other gateway was told once",
        "s",
        "gateways",
        GATEWAYS,
        round_seconds,
        f"simulated, at the budget of 3,000 bytes/s; {OTHERS}",
    ),
}
