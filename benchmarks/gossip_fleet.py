"""A simulated fleet whose gateways gossip: the messages between them, and the faults that befall these."""

from __future__ import annotations

import heapq
import random
import time
from collections import Counter
from typing import NamedTuple

from benchmarks.gossip_traffic import SECOND, STEP, GossipTraffic
from gaproute.decisions.chance import RandomGenerator
from gaproute.peers import datagram_pb2
from gaproute.peers.gossip import decode, encode
from gaproute.shared.gossip import EntryKind, EntrySet, GossipMessage, GossipNode
from gaproute.shared.gossip.invariants import check, message_has_only_local_observations
from gaproute.shared.gossip.messages import HostEntry

LINK_DELAY = 5_000_000  # ns that a message takes
MIN_TICK_INTERVAL = 1_000_000  # ns between two ticks of a node
FIRST_TICK = SECOND // 2  # within which nodes begin, by chance
DATAGRAM_HEADERS = 28  # bytes of IP and UDP
MAX_DATAGRAM = 1200  # bytes
GOSSIP_KIND = 6  # of the envelope
CHECKED_EACH = 64  # one tick in so many is checked for what it sends
CUT, LIE = "30% cut", "5% lie"
CUT_SHARE = 0.3  # of the ways between two gateways
LIAR_EACH = 20  # one gateway in so many
LIE_HOSTS, LIE_AMOUNT = 64, 1e6  # hosts on which a liar claims so many requests in flight
CASES = {"none": 0, "5% lost": 0.05, "20% lost": 0.2, CUT: 0, LIE: 0}  # share of the messages that is lost


class Event(NamedTuple):
    """Something that is due: a step of the traffic, a tick of a node, or a message for one.

    Events of the same time come in the order of their numbers.
    """

    when: int
    number: int
    name: str = ""  # of the node; empty for the traffic
    data: bytes = b""  # of a message


class GossipFleet:
    """`size` gateways with the faults of a case, and traffic at each.

    `cpu_time` (s), `bytes_sent`, `messages_sent` and `bytes_received` (by gateway) grow with the play.
    """

    def __init__(self, size: int, case: str, seed: int) -> None:
        self.random = random.Random(f"{size} {case} {seed}")
        names = [f"gate-{number}" for number in range(size)]
        self.nodes = {
            name: GossipNode(name, 1, RandomGenerator(seed * 10_000 + number), 0)
            for number, name in enumerate(names)
        }
        self.traffic = GossipTraffic(self.nodes, self.random)
        self._loss = CASES[case]
        self._cut = {
            (one, other)
            for one in names
            for other in names
            if case == CUT and self.random.random() < CUT_SHARE
        }
        self.liars = set(names[::LIAR_EACH]) if case == LIE else set()
        for node in self.nodes.values():
            node.set_peers(0, names)
            node.set_hosts(0, dict.fromkeys(self.traffic.hosts, 1))
        self.now = 0
        self._events: list[Event] = []
        self._scheduled = 0
        self._violations: list[str] = []
        self.reset_counts()
        self._begin()

    def _begin(self) -> None:
        self._schedule(0)
        for name in self.nodes:
            self._schedule(self.random.randrange(FIRST_TICK), name)

    def reset_counts(self) -> None:
        """Count from now on."""
        self.cpu_time, self.bytes_sent, self.messages_sent = 0.0, 0, 0
        self.bytes_received: Counter[str] = Counter()

    def run(self, until: int) -> None:
        """Play up to that time."""
        while self._events[0].when <= until:
            event = heapq.heappop(self._events)
            self.now = event.when
            if not event.name:
                self.traffic.step(self.now)
                self._schedule(self.now + STEP)
            elif not event.data:
                self._tick(event.name)
            else:
                self._receive(event.name, event.data)
        self.now = until

    def violations(self) -> list[str]:
        """What does not hold of the nodes, or did not of what they sent."""
        return self._violations + [
            violation for node in self.nodes.values() for violation in check(node, thorough=True)
        ]

    def _schedule(self, when: int, name: str = "", data: bytes = b"") -> None:
        self._scheduled += 1
        heapq.heappush(self._events, Event(when, self._scheduled, name, data))

    def _tick(self, name: str) -> None:
        node = self.nodes[name]
        began = time.process_time()
        outgoing = node.tick(self.now)
        datagrams = [(to, self._encode(name, message)) for to, message in outgoing]
        self.cpu_time += time.process_time() - began
        if self._scheduled % CHECKED_EACH == 0 and name not in self.liars:
            for _, message in outgoing:
                self._violations += message_has_only_local_observations(node, message)
        for to, datagram in datagrams:
            self._send(name, to, datagram)
        self._schedule(max(node.due, self.now + MIN_TICK_INTERVAL), name)

    def _encode(self, name: str, message: GossipMessage) -> bytes:
        if name in self.liars:
            message = self._lie(name, message)
        envelope = datagram_pb2.Word(version=1, kind=GOSSIP_KIND, weak=encode(message))
        envelope.sender.name = name
        return bytes(envelope.SerializeToString())

    def _lie(self, name: str, message: GossipMessage) -> GossipMessage:
        """The message with a first set that claims requests in flight at many hosts."""
        keys = self.nodes[name].keys
        entries = tuple([HostEntry(keys.key(host), LIE_AMOUNT) for host in self.traffic.hosts[:LIE_HOSTS]])
        lie = EntrySet(EntryKind.IN_FLIGHT, 0, message.sets[0].sequence, 0, 0.0, entries)
        return message._replace(sets=(lie, *message.sets[1:]))

    def _send(self, name: str, to: str, datagram: bytes) -> None:
        assert len(datagram) <= MAX_DATAGRAM
        self.messages_sent += 1
        self.bytes_sent += len(datagram) + DATAGRAM_HEADERS
        if self.random.random() >= self._loss and (name, to) not in self._cut:
            self._schedule(self.now + LINK_DELAY, to, datagram)

    def _receive(self, name: str, datagram: bytes) -> None:
        self.bytes_received[name] += len(datagram) + DATAGRAM_HEADERS
        began = time.process_time()
        envelope = datagram_pb2.Word.FromString(datagram)
        self.nodes[name].receive_encoded(self.now, envelope.sender.name, lambda: decode(envelope.weak))
        self.cpu_time += time.process_time() - began
