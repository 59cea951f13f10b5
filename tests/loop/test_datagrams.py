"""Datagrams on UDP and Unix sockets."""

import socket

import pytest

from gaproute.loop import Loop
from gaproute.loop.datagrams import DatagramSocket


@pytest.mark.parametrize("kind", ["udp", "unix"])
def test_datagrams_arrive_complete_and_undelivered_ones_are_counted(kind, tmp_path):
    loop, heard = Loop(), []
    if kind == "udp":
        with socket.socket(type=socket.SOCK_DGRAM) as taken:
            taken.bind(("127.0.0.1", 0))
            place = f"127.0.0.1:{taken.getsockname()[1]}"
        ends = [DatagramSocket(loop, "127.0.0.1:0", heard.append), DatagramSocket(loop, place, heard.append)]
    else:
        place = f"unix:{tmp_path}/a"
        ends = [
            DatagramSocket(loop, f"unix:{tmp_path}/b", heard.append),
            DatagramSocket(loop, place, heard.append),
        ]
    ends[0].send(b"one", place)
    ends[0].send(b"two", place)
    ends[0].send(b"x", "unix:/nowhere/at/all" if kind == "unix" else f"unix:{tmp_path}/a")
    while len(heard) < 2:
        loop.turn()
    assert heard == [b"one", b"two"]
    assert ends[0].dropped == 1
    for end in ends:
        end.close()
    again = DatagramSocket(loop, place, heard.append)  # the place is free again
    again.close()
    loop.close()
