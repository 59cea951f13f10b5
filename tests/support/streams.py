"""Streams for tests of the loop."""

import socket

from gaproute.loop import Stream


def pair(loop, on_bytes=lambda data: None, on_end=lambda error: None):
    """A stream on one end of a pair of sockets, and the other end."""
    here, there = socket.socketpair()
    here.setblocking(False)
    return Stream(loop, here, on_bytes, on_end), there
