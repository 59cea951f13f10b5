"""A real refusal of a connection, for a seat whose process is known to be down on a machine that lives.

The wire's listener would accept and then reset, and by then the caller may have handed over a request that
counts as one that may have run. So the gate drops the SYN to a seat that was told with `refuses`, and a raw
socket answers it with the reset that a kernel without a listener gives (RFC 9293, 3.10.7.1). A raw socket
needs CAP_NET_RAW; without it such a seat's connections are accepted and reset as before. It sees a copy of
every TCP packet, some tenths of a microsecond each, and is therefore open only while a seat refuses.
"""

import socket
import struct

from gaproute.cluster.addresses import pair
from gaproute.cluster.links import syn_filter
from gaproute.cluster.links.conditions import HELD
from gaproute.cluster.links.datagrams import PKTINFO
from gaproute.loop.descriptors import READ

READS = 64  # packets taken in one turn
FLAGS, PORT = 33, 22  # in a packet without IP options, as loopback's are: TCP's flags and port called
RST_ACK = 0x14
HALF = 0x28  # BPF's code for a load of two bytes
FILTER = 0xFFFF  # bytes of a packet that are handed over at most


class ConnectionRefuser:
    """For connections to `port`. `can`: whether the kernel lets us."""

    def __init__(self, loop, weather, port):
        self.loop, self.weather, self.port, self.sock, self.count = loop, weather, port, None, 0
        try:
            raw().close()
            self.can = True
        except PermissionError:
            self.can = False

    def changed(self):
        """The weather has changed, or a seat."""
        wanted = self.can and any(seat.refuses for seat in self.weather.seats.values())
        if wanted and self.sock is None:
            self.sock = raw()
            syn_filter.attach(
                self.sock,
                [
                    (syn_filter.LOAD_BYTE, 0, 0, FLAGS),
                    (syn_filter.AND, 0, 0, syn_filter.SYN_ACK),
                    (syn_filter.EQUAL, 0, 3, syn_filter.SYN),
                    (HALF, 0, 0, PORT),
                    (syn_filter.EQUAL, 0, 1, self.port),
                    (syn_filter.END, 0, 0, FILTER),
                    (syn_filter.END, 0, 0, syn_filter.DROP),
                ],
            )
            self.loop.watch(self.sock.fileno(), READ, self._ready)
        elif not wanted:
            self.close()

    def _ready(self, events):
        for _ in range(READS):
            try:
                packet = self.sock.recv(FILTER)
                a, b = pair(int.from_bytes(packet[16:20], "big"))
            except BlockingIOError:
                return
            except ValueError:
                continue
            seat, now = self.weather.seats.get(b), self.loop.now()
            if seat is None or not seat.refuses or not self.weather.opens(a, b):
                continue
            due = self.weather.stream(b, a, 0, self.weather.stream(a, b, 0, now, 0), 0)
            if due is not HELD:
                self.loop.at(due, self._refuse, packet)

    def _refuse(self, packet):
        if self.sock is None:
            return
        caller, called = packet[12:16], packet[16:20]
        to, port, sequence = struct.unpack("!HHI", packet[20:28])
        head = struct.pack("!HHIIBBHHH", port, to, 0, (sequence + 1) & 0xFFFFFFFF, 5 << 4, RST_ACK, 0, 0, 0)
        summed = called + caller + struct.pack("!HH", socket.IPPROTO_TCP, len(head)) + head
        total = sum(struct.unpack("!16H", summed))
        total = (total & 0xFFFF) + (total >> 16)
        check = ~((total & 0xFFFF) + (total >> 16)) & 0xFFFF
        beside = [(socket.IPPROTO_IP, PKTINFO, bytes(4) + called + bytes(4))]
        self.sock.sendmsg(
            (head[:16] + struct.pack("!H", check) + head[18:],), beside, 0, (socket.inet_ntoa(caller), 0)
        )
        self.count += 1

    def close(self):
        if self.sock is not None:
            self.loop.unwatch(self.sock.fileno())
            self.sock.close()
            self.sock = None


def raw():
    """Errors: PermissionError."""
    sock = socket.socket(
        socket.AF_INET, socket.SOCK_RAW | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC, socket.IPPROTO_TCP
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")
    return sock
