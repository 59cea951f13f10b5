"""Datagram sockets (UDP and Unix), which drop a message that cannot be sent or delivered."""

import errno
import os
import socket
from collections.abc import Callable

from gaproute.loop.addresses import parse_address
from gaproute.loop.descriptors import READ
from gaproute.loop.loop import Loop

MAX_READS_PER_TURN = 64  # bounds the reads in one turn, which leaves time for requests in flight
MAX_MESSAGE_BYTES = 2048  # a longer message is truncated, and its decoder then rejects it


class DatagramSocket:
    """A datagram socket that calls `on_datagram(data)` for each message.

    Errors: OSError if the address cannot be bound.
    """

    def __init__(self, loop: Loop, local_address: str, on_datagram: Callable[[bytes], object]) -> None:
        self.loop, self.on_datagram = loop, on_datagram
        self.dropped = 0  # messages that could not be sent
        try:
            family, target = parse_address(local_address)
        except ValueError as error:  # a malformed address, or a Unix socket's path that is too long
            raise OSError(errno.ENAMETOOLONG, str(error)) from None
        self.path = target if isinstance(target, str) else None
        if self.path and os.path.exists(self.path):
            os.unlink(self.path)  # left by an earlier process; a datagram socket has no connections to break
        self.sock = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        try:
            self.sock.bind(target)
            loop.watch(self.sock.fileno(), READ, self._handle_events)
        except OSError:
            self.sock.close()
            raise

    def _handle_events(self, events: int) -> None:
        for _ in range(MAX_READS_PER_TURN):
            try:
                data = self.sock.recv(MAX_MESSAGE_BYTES)
            except OSError:  # no more messages, or the error of an earlier send
                return
            self.on_datagram(data)

    def send(self, data: bytes, destination: str) -> None:
        """Sends one message; a message that cannot be sent is counted as dropped."""
        try:
            family, target = parse_address(destination)
            if family != self.sock.family:
                raise OSError("the destination has another address family than the socket")
            self.sock.sendto(data, target)
        except (OSError, ValueError):
            self.dropped += 1

    def close(self) -> None:
        """Closes the socket and removes the file of a Unix socket."""
        if self.sock.fileno() < 0:
            return
        self.loop.unwatch(self.sock.fileno())
        self.sock.close()
        if self.path and os.path.exists(self.path):
            os.unlink(self.path)
