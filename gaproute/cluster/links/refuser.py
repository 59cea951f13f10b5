"""Refuses connections to a slot whose process is known to be down, as the kernel of a running machine would.

The emulator's listener would accept and then reset, and by then the caller may have handed over a request
that counts as one that may have run. So the filter drops the SYN to a slot that `refuses`, and a raw socket
answers it with the reset that a kernel without a listener gives (RFC 9293, 3.10.7.1). A raw socket needs
CAP_NET_RAW; without it such a slot's connections are accepted and reset. It sees a copy of every TCP packet,
some tenths of a microsecond each, and is therefore open only while a slot refuses.
"""

from __future__ import annotations

import socket
import struct

from gaproute.cluster.addresses import Link, LinkAddressError, link_of_number
from gaproute.cluster.links import packet_filter, syn_filter
from gaproute.cluster.links.conditions import NetworkConditions
from gaproute.cluster.links.datagrams import sent_from
from gaproute.cluster.links.packet_filter import Instruction, Opcode
from gaproute.loop import Loop
from gaproute.loop.descriptors import READ

MAX_READS_PER_TURN = 64
MAX_PACKET = 0xFFFF  # bytes
# In a packet without IP options, as loopback's are:
IP_SOURCE, IP_DESTINATION, TCP_PORTS = slice(12, 16), slice(16, 20), slice(20, 28)
TCP_FLAGS, TCP_DESTINATION_PORT = 33, 22
RST_ACK = 0x14
TCP_HEADER = "!HHIIBBHHH"
HEADER_WORDS = 5  # of 4 bytes
CHECKSUM = slice(16, 18)  # in TCP's header


class ConnectionRefuser:
    """Refuses connections to `port` for the slots that refuse. `permitted`: whether the kernel lets us."""

    def __init__(self, loop: Loop, conditions: NetworkConditions, port: int) -> None:
        self.loop, self.conditions, self.port = loop, conditions, port
        self.sock: socket.socket | None = None
        self.count = 0  # refusals
        try:
            raw_socket().close()
            self.permitted = True
        except PermissionError:
            self.permitted = False

    def conditions_changed(self) -> None:
        """Opens or closes the raw socket after a change of slots."""
        wanted = self.permitted and any(slot.refuses for slot in self.conditions.slots.values())
        if wanted and self.sock is None:
            self.sock = raw_socket()
            packet_filter.attach(self.sock, self._filter())
            self.loop.watch(self.sock.fileno(), READ, self._ready)
        elif not wanted:
            self.close()

    def close(self) -> None:
        """Closes the raw socket."""
        if self.sock is not None:
            self.loop.unwatch(self.sock.fileno())
            self.sock.close()
            self.sock = None

    def _filter(self) -> list[Instruction]:
        """Passes SYNs to the port alone."""
        return [
            Instruction(Opcode.LOAD_BYTE, TCP_FLAGS),
            Instruction(Opcode.AND, syn_filter.SYN_ACK),
            Instruction(Opcode.JUMP_IF_EQUAL, syn_filter.SYN, if_false=3),
            Instruction(Opcode.LOAD_HALF, TCP_DESTINATION_PORT),
            Instruction(Opcode.JUMP_IF_EQUAL, self.port, if_false=1),
            Instruction(Opcode.RETURN, MAX_PACKET),
            packet_filter.DROP,
        ]

    def _ready(self, events: int) -> None:
        for _ in range(MAX_READS_PER_TURN):
            if self.sock is None:
                return
            try:
                packet = self.sock.recv(MAX_PACKET)
                link = link_of_number(int.from_bytes(packet[IP_DESTINATION], "big"))
            except BlockingIOError:
                return
            except LinkAddressError:
                continue
            self._syn_came(packet, link)

    def _syn_came(self, packet: bytes, link: Link) -> None:
        slot = self.conditions.slots.get(link.destination)
        if slot is None or not slot.refuses or not self.conditions.can_connect(link):
            return
        due = self.conditions.handshake_due(link, self.loop.now())
        if due is not None:
            self.loop.call_at(due, self._refuse, packet)

    def _refuse(self, packet: bytes) -> None:
        if self.sock is None:
            return
        caller, callee = packet[IP_SOURCE], packet[IP_DESTINATION]
        target = socket.inet_ntoa(caller), 0
        self.sock.sendmsg((reset_answering(packet),), sent_from(callee), 0, target)
        self.count += 1


def reset_answering(syn: bytes) -> bytes:
    """The TCP segment that refuses the connection that this packet asks for."""
    caller, callee = syn[IP_SOURCE], syn[IP_DESTINATION]
    caller_port, callee_port, sequence = struct.unpack("!HHI", syn[TCP_PORTS])
    acknowledged = (sequence + 1) & 0xFFFFFFFF
    header = struct.pack(
        TCP_HEADER, callee_port, caller_port, 0, acknowledged, HEADER_WORDS << 4, RST_ACK, 0, 0, 0
    )
    pseudo_header = callee + caller + struct.pack("!HH", socket.IPPROTO_TCP, len(header))
    checksum = struct.pack("!H", internet_checksum(pseudo_header + header))
    return header[: CHECKSUM.start] + checksum + header[CHECKSUM.stop :]


def internet_checksum(data: bytes) -> int:
    """The ones' complement sum of an even number of bytes (RFC 1071)."""
    total: int = sum(struct.unpack(f"!{len(data) // 2}H", data))
    total = (total & 0xFFFF) + (total >> 16)
    return ~((total & 0xFFFF) + (total >> 16)) & 0xFFFF


def raw_socket() -> socket.socket:
    """A socket that sees the TCP packets of loopback. Errors: PermissionError."""
    sock = socket.socket(
        socket.AF_INET, socket.SOCK_RAW | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC, socket.IPPROTO_TCP
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")
    return sock
