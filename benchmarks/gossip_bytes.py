"""What one gossip message costs: bytes, and microseconds to make, read, merge or refuse it.

    python benchmarks/gossip_bytes.py [--out docs/measured]

Each row is the median of 21 rounds of 200, on the product's own code; on a machine shared with other work the
figures are too high rather than too low. `refused`: a message of a sender whose budget is spent, one of a
stranger, a datagram of noise, one beyond the 2,000 that are read in a second.
"""

from __future__ import annotations

import argparse
import os
import socket
import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from statistics import median
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.rows import write
from gaproute.decisions.chance import RandomGenerator
from gaproute.loop import Loop
from gaproute.loop.datagrams import DatagramSocket
from gaproute.peers import datagram_pb2
from gaproute.peers.gossip import decode, encode
from gaproute.peers.membership import MAX_DATAGRAMS_PER_SECOND, MembershipTransport
from gaproute.peers.membership_wire import PayloadKind
from gaproute.shared.gossip import EntryKind, EntrySet, GossipMessage, GossipNode
from gaproute.shared.gossip.messages import KIND_LIMITS, DemandEntry, HostEntry, WarmInstanceEntry

SECOND = 1_000_000_000
ROUNDS, CALLS = 21, 200  # rounds, and calls in each
SENDER, STRANGER = "gate-117", "gate-118"
FEW_HOSTS = 5
NOISE_BYTES = 1200
LARGEST = "64 tasks in hand, warm"

Row = dict[str, Any]


def cpu_us(call: Callable[[], object]) -> float:
    """Microseconds of CPU of a call."""
    times = []
    for _ in range(ROUNDS):
        began = time.process_time()
        for _ in range(CALLS):
            call()
        times.append(1e6 * (time.process_time() - began) / CALLS)
    return round(median(times), 1)


def keys(count: int) -> list[int]:
    """So many keys of names."""
    return [number * 7919 for number in range(count)]


def in_flight_set(hosts: int) -> EntrySet:
    """Requests in flight at so many hosts."""
    entries = tuple(HostEntry(key, 1.0) for key in keys(hosts))
    return EntrySet(EntryKind.IN_FLIGHT, 0, 1, 0, 0.0, entries)


def demand_set() -> EntrySet:
    """Demand for as many functions as a set may have."""
    entries = tuple(DemandEntry(key, 0, 1.5, 0.5) for key in keys(KIND_LIMITS[EntryKind.DEMAND].max_entries))
    return EntrySet(EntryKind.DEMAND, 0, 1, 0, 3.0, entries)


def warm_instance_set() -> EntrySet:
    """As many warm instances as a set may have."""
    functions = keys(KIND_LIMITS[EntryKind.WARM_INSTANCES].max_entries)
    entries = tuple(WarmInstanceEntry(key, 8, SECOND) for key in functions)
    return EntrySet(EntryKind.WARM_INSTANCES, 0, 1, 0, 0.0, entries)


def messages() -> dict[str, GossipMessage]:
    """The messages that are measured, by the name of their row."""
    few = in_flight_set(FEW_HOSTS)
    many = in_flight_set(KIND_LIMITS[EntryKind.IN_FLIGHT].max_entries)
    return {
        "5 tasks in hand": GossipMessage(1, (few,)),
        "5 tasks in hand, demand": GossipMessage(1, (few, demand_set())),
        LARGEST: GossipMessage(1, (many, warm_instance_set())),
    }


def wrapped(data: bytes) -> bytes:
    """The datagram of an encoded message."""
    envelope = datagram_pb2.Word(version=1, kind=PayloadKind.GOSSIP, weak=data)
    envelope.sender.name = SENDER
    return bytes(envelope.SerializeToString())


class MergedMessage:
    """A message that is news each time that it is merged, whatever the budget of its sender."""

    def __init__(self, message: GossipMessage) -> None:
        self._message, self._sequence = message, 1
        self._node = GossipNode("me", 1, RandomGenerator(1), 0)
        self._node.set_peers(0, ["a"])

    def merge(self) -> None:
        """Merge it as of a second later."""
        self._sequence += 1
        sets = tuple([each._replace(sequence=self._sequence) for each in self._message.sets])
        self._node.receive(self._sequence * SECOND, "a", self._message._replace(sets=sets))


def socket_us(datagram: bytes) -> float:
    """Microseconds of CPU to send it and to take it out of the socket, both ends."""
    loop, received = Loop(), list[bytes]()
    sender, receiver = (DatagramSocket(loop, "127.0.0.1:0", received.append) for _ in range(2))
    where = f"127.0.0.1:{receiver.sock.getsockname()[1]}"

    def send_and_receive() -> None:
        sender.send(datagram, where)
        receiver._handle_events(0)

    cost = cpu_us(send_and_receive)
    sender.close()
    receiver.close()
    assert len(received) == ROUNDS * CALLS
    return cost


class IgnoredEvents:
    """An event log that keeps nothing."""

    def event(self, level: str, name: str, /, **fields: object) -> None:
        """Not logged."""


class RejectingGateway:
    """A membership transport with a gossip node behind it, which rejects what it gets."""

    def __init__(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
            free.bind(("127.0.0.1", 0))
            where = f"127.0.0.1:{free.getsockname()[1]}"
        loop = Loop()
        self._transport = MembershipTransport(
            loop, "me", where, RandomGenerator(1), IgnoredEvents(), partial(DatagramSocket, loop)
        )
        self._node = GossipNode("me", 1, RandomGenerator(1), 0)
        self._node.set_peers(0, [SENDER])
        self._transport.register(PayloadKind.GOSSIP, self._receive)

    def row(self, name: str, datagram: bytes, *, read_before: int = 0) -> Row:
        """A row. `read_before`: datagrams that were read in this second already."""

        def receive() -> None:
            self._transport.datagrams_in_second = read_before
            self._transport._handle_datagram(datagram)

        return {"word": name, "bytes": len(datagram), "refused, us": cpu_us(receive)}

    def close(self) -> None:
        """Close the socket."""
        self._transport.close()

    def _receive(self, sender: str, data: bytes) -> None:
        self._node.receive_encoded(0, sender, lambda: decode(data))


def rejection_rows() -> list[Row]:
    """Rows of messages that are rejected."""
    gateway = RejectingGateway()
    datagram, noise = wrapped(encode(messages()[LARGEST])), os.urandom(NOISE_BYTES)
    stranger = datagram.replace(SENDER.encode(), STRANGER.encode())
    rows = [
        gateway.row("over the sender's budget", datagram),
        gateway.row("a stranger's", stranger),
        gateway.row("noise", noise),
        gateway.row("beyond 2,000 a second", datagram, read_before=MAX_DATAGRAMS_PER_SECOND),
    ]
    gateway.close()
    return rows


def message_row(name: str, message: GossipMessage) -> Row:
    """A row of a message that is taken."""
    data = encode(message)
    return {
        "word": name,
        "bytes": len(wrapped(data)),
        "encode, us": cpu_us(lambda: wrapped(encode(message))),
        "decode, us": cpu_us(lambda: decode(datagram_pb2.Word.FromString(wrapped(data)).weak)),
        "merge, us": cpu_us(MergedMessage(message).merge),
        "socket, us": socket_us(wrapped(data)),
        "refused, us": "-",
    }


def main() -> None:
    """Run the command line."""
    options = argparse.ArgumentParser()
    options.add_argument("--out", default="docs/measured")
    rows = []
    for name, message in messages().items():
        rows.append(message_row(name, message))
        print(rows[-1])
    for row in rejection_rows():
        rows.append({name: row.get(name, "-") for name in rows[0]})
        print(rows[-1])
    write(options.parse_args().out, "gossip-bytes", rows, rounds=ROUNDS)


if __name__ == "__main__":
    main()
