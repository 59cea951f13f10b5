"""Connections over links on loopback: bytes, ends and resets, what opens and what does not."""

import contextlib
import random
import socket
import time

import pytest
from link_network import (
    DEAD,
    GATEWAY,
    HOST,
    NOBODY,
    is_open,
    read_now,
    reset,
)

from gaproute.cluster.addresses import Link, link_of_address
from gaproute.cluster.links.stream_end import HIGH_WATER, READ_SIZE
from gaproute.units import MILLI


def test_bytes_go_both_ways_and_each_end_of_sending_alone(network):
    near, far, caller = network.connected()
    assert link_of_address(caller) == (HOST, GATEWAY), "the host sees who called"
    near.send(b"ask")
    far.send(b"early")
    assert network.received(far) == b"ask"
    assert network.received(near) == b"early"
    near.shutdown(socket.SHUT_WR)
    assert network.received(far) == b""
    assert read_now(near) is None
    far.send(b"answer")
    far.close()
    assert network.received(near) == b"answer"
    assert network.received(near) == b""
    assert not network.emulator.streams.relays
    assert network.emulator.report().bytes == 14
    assert not network.emulator.find_violations()


@pytest.mark.parametrize("end", [0, 1])
def test_a_reset_is_passed_on_as_a_reset(network, end):
    ends = network.connected()[:2]
    reset(ends[end])
    assert network.received(ends[1 - end]) == "ConnectionResetError"
    assert not network.emulator.streams.relays


def test_an_answer_before_a_reset_still_comes(network):
    near, far, _ = network.connected()
    near.send(b"a long request")
    network.turns()
    far.send(b"no")
    far.close()  # with bytes unread: the kernel resets
    near.send(b"more of it")  # the emulator finds out by its write, and reads what came before
    assert network.received(near) == b"no"
    assert network.received(near) == "ConnectionResetError"
    assert not network.emulator.streams.relays


def test_refused_is_a_reset(network):
    near = network.connect(NOBODY)
    assert network.received(near) == "ConnectionResetError"
    assert network.emulator.report().refused >= 1


def test_a_slot_that_refuses_does_so_before_a_byte_is_taken(network):
    if not network.emulator.streams.refuser.permitted:
        pytest.skip("needs CAP_NET_RAW")
    refusing = network.slots["19"] | {"refuses": True}
    network.command(seat={str(NOBODY): refusing})
    near, others = network.begin_connect(NOBODY), network.begin_connect(HOST)
    assert network.received(near) == "ConnectionRefusedError"
    assert network.opens(others)
    assert network.emulator.report().refused >= 1
    network.command(fault="x", on={"kind": "cut"})
    cut = network.begin_connect(NOBODY)
    network.run(100 * MILLI)
    assert read_now(cut) is None, "no refusal comes through a cut"
    network.command(fault="x", off=True)
    network.command(seat={str(NOBODY): network.slots["17"] | {"name": "h2"}})
    assert network.emulator.streams.refuser.sock is None
    assert network.opens(network.begin_connect(NOBODY))


def test_what_cannot_open_does_not_until_it_can(network):
    """The caller's kernel tries again a second later; until then its connect has proved nothing."""
    network.command(fault="x", on={"kind": "cut", "from": ["h0"], "to": ["g0"]})
    cut, dead, fine = network.begin_connect(HOST), network.begin_connect(DEAD), network.begin_connect(NOBODY)
    assert network.opens(fine)
    assert not is_open(cut)
    assert not is_open(dead)
    network.command(fault="x", off=True)
    network.command(seat={str(DEAD): network.slots["17"] | {"name": "h1"}})
    assert all(
        network.opens(sock) for sock in (network.begin_connect(HOST), network.begin_connect(DEAD), cut)
    )


def test_the_filter_stops_what_the_conditions_stop(network):
    """The filter in the kernel against the decision, for all pairs, with numbers apart and together."""
    for n in (*range(20, 30), 40, 41, 63, 64, 255, 256, 4000):
        network.command(seat={n: network.slots["19"] | {"name": f"n{n}", "zone": f"z{n % 3}"}})
    network.command(fault="x", on={"kind": "cut", "from": ["zone:z0"], "to": ["zone:z1", "g0", "n4000"]})
    network.command(fault="y", on={"kind": "cut", "from": ["n256", "n40"], "to": ["*"], "what": "datagrams"})
    network.command(fault="z", on={"kind": "cut", "from": ["n64"], "to": ["not:zone:z2"]})
    conditions = network.emulator.conditions
    pairs = {(a, b): network.begin_connect(b, a) for a in conditions.slots for b in conditions.slots}
    may = {
        (a, b)
        for a, b in pairs
        if conditions.slots[b].stream_address is not None and conditions.can_connect(Link(a, b))
    }
    end, open_now = time.monotonic() + 5, set()
    while open_now != may and time.monotonic() < end:
        open_now = {
            pair for pair, sock in pairs.items() if is_open(sock)
        }  # the emulator takes none meanwhile
    assert open_now == may
    assert 100 < len(pairs) - len(may) < 300


def test_a_held_connection_opens_at_the_release_or_is_forgotten(network):
    network.command(fault="x", on={"kind": "hold", "from": ["h0"]})
    waits, gave_up = network.connect(), network.connect()
    waits.send(b"ask")
    gave_up.close()
    network.run(200 * MILLI)
    assert read_now(waits) is None
    assert network.emulator.report().pending == 1 == network.emulator.report().given_up
    network.command(fault="x", off=True)
    far = network.accept()[0]
    assert network.received(far) == b"ask"
    with pytest.raises(BlockingIOError):
        network.host.accept()


def test_a_slow_reader_holds_the_writer_back(network):
    near, far, _ = network.connected()
    block, sent = random.Random(1).randbytes(1 << 16), 0
    for _ in range(400):
        with contextlib.suppress(BlockingIOError):
            sent += near.send(block[sent % len(block) :])
        network.turns(2)
        end = network.emulator.streams.relays[1].near
        assert end.transit.size + end.other.output.size <= HIGH_WATER + READ_SIZE
    assert end.paused
    assert end.other.output.size
    assert sent < 400 * len(block)
    came = bytearray()
    near.shutdown(socket.SHUT_WR)
    while data := network.received(far):
        came += data
    assert len(came) == sent
    assert came == (block * 400)[:sent]
    assert not network.emulator.find_violations()
