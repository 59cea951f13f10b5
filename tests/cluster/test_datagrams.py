"""Datagrams over links on loopback, and faults on their way."""

from link_network import (
    DEAD,
    GATEWAY,
    HOST,
    read_datagram,
    read_now,
)

from gaproute.cluster.addresses import link_address
from gaproute.units import MILLI


def test_datagrams_answer_to_their_source_and_vanish_in_a_cut(network):
    network.udp[GATEWAY].sendto(b"ask", (link_address(GATEWAY, HOST), network.udp_port))
    data, source = network.wait(lambda: read_datagram(network.udp[HOST]))
    assert data == b"ask"
    assert source == (link_address(HOST, GATEWAY), network.udp_port)
    network.udp[HOST].sendto(b"answer", source)
    assert network.wait(lambda: read_datagram(network.udp[GATEWAY])) == (
        b"answer",
        (link_address(GATEWAY, HOST), network.udp_port),
    )
    network.command(fault="x", on={"kind": "cut", "from": ["g0"], "to": ["h0"]})
    network.udp[GATEWAY].sendto(b"ask", (link_address(GATEWAY, HOST), network.udp_port))
    network.udp[HOST].sendto(b"news", source)
    network.udp[GATEWAY].sendto(b"dead", (link_address(GATEWAY, DEAD), network.udp_port))
    network.run(100 * MILLI)
    assert read_now(network.udp[HOST]) is None
    assert network.received(network.udp[GATEWAY]) == b"news"
    counts = network.emulator.report()
    assert (counts.messages, counts.unmatched, counts.effects["cut"]) == (4, 1, 1)


def test_a_hold_releases_all_in_one_burst_and_in_order(network):
    network.command(fault="x", on={"kind": "hold", "to": ["hosts"]})
    for number in range(300):
        network.udp[GATEWAY].sendto(b"%d" % number, (link_address(GATEWAY, HOST), network.udp_port))
    network.wait(lambda: len(network.emulator.datagrams.held) == 300 or None)
    assert read_now(network.udp[HOST]) is None
    assert network.emulator.report().held == 300
    network.command(fault="y", on={"kind": "delay", "delay_ms": 5, "what": "streams"})
    network.turns()
    assert network.emulator.report().held == 300, "another change lets nothing go"
    at_once = network.loop.now()
    network.command(fault="x", off=True)
    network.turns(1)
    assert [network.received(network.udp[HOST]) for _ in range(300)] == [
        b"%d" % number for number in range(300)
    ]
    assert network.loop.now() == at_once
    assert not network.emulator.find_violations()
