"""Datagrams over UDP (IPv4, IPv6) and Unix sockets. A message that finds no room or nobody is lost, as
ever."""

import errno
import os
import socket

from gaproute.loop.loop import READ
from gaproute.loop.streams import address

READS = 64  # messages taken in one turn, so that tasks in flight get their share of it
LONGEST = 2048  # bytes of a message; what is longer is cut and then refused by its reader


class Datagrams:
    """`heard(data)` for each message. Errors: OSError where the address cannot be bound."""

    def __init__(self, loop, where, heard):
        self.loop, self.heard = loop, heard
        self.lost = 0
        try:
            family, target = address(where)
        except ValueError as fault:  # a path that the name added to it made too long
            raise OSError(errno.ENAMETOOLONG, str(fault)) from None
        self.path = target if family == socket.AF_UNIX else None
        if self.path and os.path.exists(self.path):
            os.unlink(self.path)  # of a past life: nobody can be connected to a datagram socket's name
        self.sock = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        try:
            self.sock.bind(target)
            loop.watch(self.sock.fileno(), READ, self._ready)
        except OSError:
            self.sock.close()
            raise

    def _ready(self, events):
        for _ in range(READS):
            try:
                data = self.sock.recv(LONGEST)
            except OSError:  # nothing more, or an error that a message of ours brought back
                return
            self.heard(data)

    def send(self, data, where):
        try:
            family, target = address(where)
            if family != self.sock.family:
                raise OSError("another family of addresses")
            self.sock.sendto(data, target)
        except (OSError, ValueError):
            self.lost += 1

    def close(self):
        if self.sock.fileno() >= 0:
            self.loop.unwatch(self.sock.fileno())
            self.sock.close()
            if self.path and os.path.exists(self.path):
                os.unlink(self.path)
