"""What one gossip message costs: bytes, and microseconds to make, read, merge or refuse it.

    python benchmarks/gossip_bytes.py [--out docs/measured]

Each row is the median of 21 rounds of 200, on the product's own code; on a machine shared with other work the
figures are too high rather than too low. `refused`: a word of a sender whose budget is spent, a stranger's, a
datagram of noise, one beyond the 2,000 that are read in a second.
"""

import argparse
import os
import socket
import sys
import time
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.rows import write
from gaproute.decisions.chance import Chance
from gaproute.loop import Loop
from gaproute.loop.datagrams import Datagrams
from gaproute.peers import word_pb2
from gaproute.peers.gossip import decode, encode
from gaproute.peers.membership import MAX_DATAGRAMS, MembershipTransport
from gaproute.peers.membership_wire import PayloadKind
from gaproute.shared.gossip import EntryKind, EntrySet, GossipMessage, GossipNode
from gaproute.shared.gossip.messages import LIMITS, DemandEntry, HostEntry, WarmInstanceEntry

ROUNDS, TIMES = 21, 200


def spent(call):
    """Microseconds of CPU a call."""
    found = []
    for _ in range(ROUNDS):
        begun = time.process_time()
        for _ in range(TIMES):
            call()
        found.append(1e6 * (time.process_time() - begun) / TIMES)
    return round(median(found), 1)


def keys(count):
    """So many keys of names."""
    return [number * 7919 for number in range(count)]


def words():
    in_flight = [
        EntrySet(EntryKind.IN_FLIGHT, 0, 1, 0, 0.0, tuple(HostEntry(key, 1.0) for key in keys(count)))
        for count in (5, LIMITS[EntryKind.IN_FLIGHT].max_entries)
    ]
    demanded = keys(LIMITS[EntryKind.DEMAND].max_entries)
    demand = EntrySet(
        EntryKind.DEMAND, 0, 1, 0, 3.0, tuple(DemandEntry(key, 0, 1.5, 0.5) for key in demanded)
    )
    instances = keys(LIMITS[EntryKind.WARM_INSTANCES].max_entries)
    warm = EntrySet(
        EntryKind.WARM_INSTANCES, 0, 1, 0, 0.0, tuple(WarmInstanceEntry(key, 8, 10**9) for key in instances)
    )
    return {
        "5 tasks in hand": GossipMessage(1, (in_flight[0],)),
        "5 tasks in hand, demand": GossipMessage(1, (in_flight[0], demand)),
        "64 tasks in hand, warm": GossipMessage(1, (in_flight[1], warm)),
    }


def wrapped(data):
    made = word_pb2.Word(version=1, kind=6, weak=data)
    made.sender.name = "gate-117"
    return made.SerializeToString()


def merging(word):
    """Microseconds to merge it where it is news, whatever the budget of its sender."""
    node, count = GossipNode("me", 1, Chance(1), 0), [1]
    node.set_peers(0, ["a"])

    def call():
        count[0] += 1
        node.receive(
            count[0] * 10**9,
            "a",
            word._replace(sets=tuple([each._replace(sequence=count[0]) for each in word.sets])),
        )

    return spent(call)


def on_sockets(data):
    """Microseconds of CPU to send it and to take it out of the socket, both ends."""
    loop = Loop()
    came = []
    one, other = (Datagrams(loop, "127.0.0.1:0", came.append) for _ in range(2))
    where = f"127.0.0.1:{other.sock.getsockname()[1]}"

    def call():
        one.send(data, where)
        other._ready(0)

    cost = spent(call)
    one.close(), other.close()
    assert len(came) == ROUNDS * TIMES
    return cost


def refusals():
    class Record:
        def event(self, *told, **more):
            pass

    loop = Loop()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
        free.bind(("127.0.0.1", 0))
        where = f"127.0.0.1:{free.getsockname()[1]}"
    gossip = MembershipTransport(loop, "me", where, Chance(1), Record())
    node = GossipNode("me", 1, Chance(1), 0)
    node.set_peers(0, ["gate-117"])
    gossip.register(
        PayloadKind.GOSSIP, lambda sender, data: node.receive_encoded(0, sender, lambda: decode(data))
    )
    data, noise = wrapped(encode(words()["64 tasks in hand, warm"])), os.urandom(1200)
    stranger = data.replace(b"gate-117", b"gate-118")

    def heard(data, before):
        def call():
            gossip.read = before
            gossip._received(data)

        return spent(call)

    rows = [
        {"word": name, "bytes": len(told), "refused, us": heard(told, before)}
        for name, told, before in (
            ("over the sender's budget", data, 0),
            ("a stranger's", stranger, 0),
            ("noise", noise, 0),
            ("beyond 2,000 a second", data, MAX_DATAGRAMS),
        )
    ]
    gossip.close()
    return rows


def row_of(name, word):
    data = encode(word)
    return {
        "word": name,
        "bytes": len(wrapped(data)),
        "encode, us": spent(lambda: wrapped(encode(word))),
        "decode, us": spent(lambda: decode(word_pb2.Word.FromString(wrapped(data)).weak)),
        "merge, us": merging(word),
        "socket, us": on_sockets(wrapped(data)),
        "refused, us": "-",
    }


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--out", default="docs/measured")
    rows = []
    for name, word in words().items():
        rows.append(row_of(name, word))
        print(rows[-1])
    for row in refusals():
        rows.append({name: row.get(name, "-") for name in rows[0]})
        print(rows[-1])
    write(arguments.parse_args().out, "gossip-bytes", rows, rounds=ROUNDS)


if __name__ == "__main__":
    main()
