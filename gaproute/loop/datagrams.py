"""Datagrams over UDP (IPv4, IPv6) and Unix sockets. One that cannot be sent or delivered is dropped."""

import errno
import os
import socket
from collections.abc import Callable

from gaproute.loop.addresses import parse_address
from gaproute.loop.descriptors import READ
from gaproute.loop.loop import Loop

MAX_READS_PER_TURN = 64  # messages that are read in one turn, to leave time for requests in flight
MAX_MESSAGE_BYTES = 2048  # bytes of a message; a longer one is truncated and then rejected by its decoder


class DatagramSocket:
    """A datagram socket; `on_datagram(data)` is called for each message.

    Errors: OSError where the address cannot be bound.
    """

    def __init__(self, loop: Loop, local_address: str, on_datagram: Callable[[bytes], object]) -> None:
        self.loop, self.on_datagram = loop, on_datagram
        self.dropped = 0  # messages that could not be sent
        try:
            family, target = parse_address(local_address)
        except ValueError as error:  # a path that the name added to it made too long
            raise OSError(errno.ENAMETOOLONG, str(error)) from None
        self.path = target if isinstance(target, str) else None
        if self.path and os.path.exists(self.path):
            os.unlink(self.path)  # of a past process: nobody can be connected to a datagram socket's name
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
            except OSError:  # nothing more, or an error that a message of ours brought back
                return
            self.on_datagram(data)

    def send(self, data: bytes, destination: str) -> None:
        """Sends one message, or counts it as dropped."""
        try:
            family, target = parse_address(destination)
            if family != self.sock.family:
                raise OSError("another family of addresses")
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
