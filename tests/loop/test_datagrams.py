"""Datagrams on UDP and Unix sockets."""

import socket

import pytest

from gaproute.loop import Loop
from gaproute.loop.datagrams import DatagramSocket


@pytest.mark.parametrize("kind", ["udp", "unix"])
def test_datagrams_arrive_complete_and_unsent_ones_are_counted_as_dropped(kind, tmp_path):
    loop, received = Loop(), []
    if kind == "udp":
        with socket.socket(type=socket.SOCK_DGRAM) as free_port:
            free_port.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{free_port.getsockname()[1]}"
        sockets = [
            DatagramSocket(loop, "127.0.0.1:0", received.append),
            DatagramSocket(loop, address, received.append),
        ]
    else:
        address = f"unix:{tmp_path}/a"
        sockets = [
            DatagramSocket(loop, f"unix:{tmp_path}/b", received.append),
            DatagramSocket(loop, address, received.append),
        ]
    sockets[0].send(b"one", address)
    sockets[0].send(b"two", address)
    sockets[0].send(b"x", "unix:/nowhere/at/all" if kind == "unix" else f"unix:{tmp_path}/a")
    while len(received) < 2:
        loop.turn()
    assert received == [b"one", b"two"]
    assert sockets[0].dropped == 1
    for sock in sockets:
        sock.close()
    rebound = DatagramSocket(loop, address, received.append)  # the address is free again
    rebound.close()
    loop.close()
