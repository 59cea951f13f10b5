"""Faults on the streams of links on loopback: what they keep back, delay and break."""

import contextlib
import random
import socket

from link_network import (
    read_now,
    reset,
)

from gaproute.cluster.links.messages import EndFault
from gaproute.units import MILLI


def test_delay_is_as_long_as_given_both_ways_and_for_opening(network):
    network.command(
        fault="x", on={"kind": "delay", "delay_ms": 30, "both": True, "from": ["g0"], "to": ["hosts"]}
    )
    start, near = network.loop.now(), network.connect()
    near.send(b"ask")
    far = network.accept()[0]
    assert network.loop.now() - start == 60 * MILLI
    assert network.received(far) == b"ask"
    assert network.loop.now() - start == 90 * MILLI
    far.send(b"answer")
    far.close()
    assert network.received(near) == b"answer"
    assert network.loop.now() - start == 120 * MILLI
    assert network.received(near) == b""


def test_a_one_way_cut_keeps_bytes_and_end_back_and_heals_in_order(network):
    near, far, _ = network.connected()
    network.command(fault="x", on={"kind": "cut", "from": ["g0"], "to": ["h0"]})
    for piece in (b"one ", b"two ", b"three"):
        near.send(piece)
        network.turns(3)
    far.send(b"still")
    near.shutdown(socket.SHUT_WR)
    network.run(500 * MILLI)
    assert read_now(far) is None
    assert read_now(near) == b"still"
    network.command(fault="x", off=True)
    assert network.received(far) == b"one two three"
    assert network.received(far) == b""
    assert network.emulator.report().late_most_ns == 0, "held back is not late"


def test_a_reset_does_not_get_through_a_cut_either(network):
    near, far, _ = network.connected()
    network.command(fault="x", on={"kind": "cut", "both": True, "from": ["g0"], "to": ["h0"]})
    reset(near)
    far.send(b"to nobody")
    network.run(500 * MILLI)
    assert read_now(far) is None
    network.command(fault="x", off=True)
    assert network.received(far) == "ConnectionResetError"
    assert not network.emulator.streams.relays


def test_a_cut_also_stops_what_is_under_way(network):
    near, far, _ = network.connected()
    network.command(fault="x", on={"kind": "delay", "delay_ms": 100})
    near.send(b"slow")
    network.run(50 * MILLI)
    network.command(fault="y", on={"kind": "cut"})
    network.run(500 * MILLI)
    assert read_now(far) is None
    network.command(fault="y", off=True)
    assert network.received(far) == b"slow"


def test_what_comes_when_a_fault_has_ended_stays_behind_what_it_delayed(network):
    near, far, _ = network.connected()
    network.command(fault="x", on={"kind": "delay", "delay_ms": 100})
    near.send(b"slow ")
    network.run(50 * MILLI)
    network.command(fault="x", off=True)
    near.send(b"fast")
    came = network.received(far)
    assert came + (network.received(far) if len(came) < 9 else b"") == b"slow fast"
    network.command(fault="y", on={"kind": "cut"})
    near.send(b"held ")
    network.run(50 * MILLI)
    network.emulator.execute(EndFault("y"))  # bytes come in the same turn, before it is followed
    network.emulator.streams.relays[1].near.forward(b"new")
    assert network.received(far) == b"held new"


def test_the_fault_reset_breaks_both_ends_of_those_that_stand(network):
    near, far, _ = network.connected()
    network.command(fault="x", on={"kind": "reset", "from": ["hosts"], "to": ["gateways"]})
    assert network.received(near) == network.received(far) == "ConnectionResetError"
    near, far, _ = network.connected()
    near.send(b"new")
    assert network.received(far) == b"new"


class ChangingFaults:
    """Faults that begin and end by chance, at most five at a time."""

    def __init__(self, network, chance):
        self.network, self.chance, self.on = network, chance, []

    def change(self):
        """Perhaps one more, perhaps one less."""
        chance = self.chance
        if chance.random() < 0.1:
            name, kind = f"f{len(self.on)}", chance.choice(("cut", "hold", "delay", "lose"))
            fault = {"kind": kind, "share": 0.5, "delay_ms": 7, "jitter_ms": 20}
            sources = chance.choice((["g0"], ["h0"], ["*"]))
            self.network.command(fault=name, on=fault | {"from": sources})
            self.on.append(name)
        if self.on and chance.random() < 0.15 or len(self.on) > 4:
            self.network.command(fault=self.on.pop(), off=True)

    def end(self):
        """All of them."""
        for name in self.on:
            self.network.command(fault=name, off=True)


def test_whatever_the_conditions_bytes_are_neither_lost_nor_changed(network):
    for seed in range(6):
        exchange_under_faults(network, seed)


def exchange_under_faults(network, seed):
    """All bytes of a connection arrive as they were sent, both ways."""
    chance = random.Random(seed)
    near, far, _ = network.connected()
    whole = chance.randbytes(300_000), chance.randbytes(300_000)
    sent, received = [0, 0], [bytearray(), bytearray()]
    ends, faults = (near, far), ChangingFaults(network, chance)
    while any(len(got) < 300_000 for got in received):
        faults.change()
        side = chance.randrange(2)
        piece = whole[side][sent[side] : sent[side] + chance.randrange(1, 40_000)]
        with contextlib.suppress(BlockingIOError):
            sent[side] += ends[side].send(piece) if piece else 0
        network.turns(3)
        received[side] += read_now(ends[1 - side], chance.randrange(1, 90_000)) or b""
        assert not network.emulator.find_violations()
    assert (bytes(received[0]), bytes(received[1])) == whole
    faults.end()
    near.close()
    far.close()
    network.turns()
