"""What a link emulator knows of itself: how late it runs, what must hold, and that it leaves no garbage."""

import gc
import socket

from link_network import (
    GATEWAY,
    HOST,
)

from gaproute.cluster.addresses import Link
from gaproute.cluster.links.faults import LinkTraffic
from gaproute.cluster.links.lateness import LinkLateness
from gaproute.cluster.links.rate_queues import QueueKey
from gaproute.cluster.links.stream_end import HIGH_WATER, READ_SIZE, StreamEnd
from gaproute.cluster.links.stream_relay import StreamRelay
from gaproute.cluster.links.transit_queue import TransitQueue
from gaproute.loop import Loop
from gaproute.units import MILLI


def test_an_emulator_that_is_late_knows_by_how_much():
    now = [0]
    loop = Loop(lambda: now[0])
    loop.poll = lambda epoll, span: epoll.poll(0)
    late = LinkLateness(loop)
    assert late.take() == 0
    loop.call_soon(lambda: now.__setitem__(0, now[0] + 30 * MILLI))  # a long turn
    loop.turn()
    loop.turn()
    assert late.take() == 30 * MILLI
    assert late.take() == 0
    loop.poll = late.measured_poll
    late.poll = lambda epoll, span: now.__setitem__(0, 400 * MILLI) or []  # starved while it waits for 20
    loop.turn()
    assert late.take() == 350 * MILLI == late.most
    late.note_departure(390 * MILLI, 800 * MILLI)
    assert late.take() == 410 * MILLI


def test_connections_that_are_over_leave_nothing_to_collect(network):
    gc.collect()
    gc.disable()
    try:
        for how in ("close", "reset", "broken"):
            for _ in range(5):
                near, far, _ = network.connected()
                if how == "reset":
                    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                near.send(b"x")
                network.received(far) if how == "close" else network.turns(2)
                far.close()
                network.received(near)
                near.close()
        network.wait(lambda: not network.emulator.streams.relays or None)
        network.turns(2)
        kinds = StreamEnd, StreamRelay, TransitQueue
        assert not [one for one in gc.get_objects() if isinstance(one, kinds)]
    finally:
        gc.enable()


def test_the_checks_bite(network):
    near, far, _ = network.connected()
    network.command(fault="x", on={"kind": "delay", "delay_ms": 100})
    near.send(b"a")
    network.run(10 * MILLI)
    near.send(b"b")
    network.turns(1)
    end = network.emulator.streams.relays[1].near
    end.transit.pieces.reverse()
    end.transit.size += 1
    end.other.output.size += HIGH_WATER + READ_SIZE
    end.transit.timer.cancel()
    end.transit.timer = None
    network.emulator.datagrams.held_bytes = 1 << 30
    key = QueueKey("y", Link(GATEWAY, HOST), LinkTraffic.STREAMS)
    network.emulator.conditions.rate_queues.free_at[key] = 1
    del network.emulator.conditions.specs["x"]
    names = {text.split(":")[0] for text in network.emulator.find_violations()}
    assert names == {
        "transit_bytes",
        "output_bytes",
        "bounded",
        "in_order",
        "never_stuck",
        "held_bytes",
        "held_bounded",
        "faults_as_described",
        "rate_without_fault",
    }
