"""Stands for the platform's address of all peers: what one gateway sends there goes on to each other one, by
an address of that pair, so that a wire between them can lose it on one way alone."""

import socket

from gaproute.loop.addresses import address
from gaproute.loop.descriptors import READ

READS = 64  # messages taken in one turn
LONGEST = 2048  # bytes of a message
SPAN = 1 << 22  # bytes of the socket's buffer: words that 200 gateways send at one moment


class PeerBroadcast:
    """`ways`: {address that a gateway sends from: [addresses of the others]}; who is not named is passed
    over. Errors: OSError where `where` cannot be had."""

    def __init__(self, loop, where, ways, tap):
        self.loop, self.tap = loop, tap
        self.ways = {
            address(sender)[1]: [address(each)[1] for each in others] for sender, others in ways.items()
        }
        family, target = address(where)
        self.sock = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SPAN)
        self.sock.bind(target)
        self.address = "{}:{}".format(*self.sock.getsockname())
        self.heard = self.sent = self.lost = self.strange = 0
        loop.watch(self.sock.fileno(), READ, self.ready)

    def ready(self, events):
        for _ in range(READS):
            try:
                data, sender = self.sock.recvfrom(LONGEST)
            except OSError:
                return
            others = self.ways.get(sender)
            if others is None:
                self.strange += 1
                continue
            self.heard += 1
            for other in others:
                try:
                    self.sock.sendto(data, other)
                    self.sent += 1
                except OSError:
                    self.lost += 1

    def flush(self):
        self.tap.note("spread", heard=self.heard, sent=self.sent, lost=self.lost, strange=self.strange)
        self.tap.flush()
