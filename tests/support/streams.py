"""Streams for tests of the loop."""

import socket

from gaproute.loop import Stream


def stream_pair(loop, on_bytes=lambda data: None, on_end=lambda error: None):
    """Returns a stream on one socket of a connected pair, and the other socket."""
    local, remote = socket.socketpair()
    local.setblocking(False)
    return Stream(loop, local, on_bytes, on_end), remote
