"""What the kernel has of the other side of a connection that has not been read yet: one system call each.

Nothing is taken by these calls. What cannot be had for the moment counts as nothing.
"""

import fcntl
import select
import socket
import sys
import termios
from typing import NamedTuple

MILLI = 1_000_000
END = select.EPOLLRDHUP  # the other side sends no more: told also while bytes lie unread before that
LAST_DATA_RECEIVED = slice(52, 56)  # of `struct tcp_info`: ms since the last bytes came
PEEK = 2 << 20  # bytes looked at before they are read: more than one client may have open at a time


class Pending(NamedTuple):
    """What has come and lies unread."""

    hung_up: bool  # the other side has closed or reset
    unread: bool  # bytes, or an end


NOTHING = Pending(hung_up=False, unread=False)


def pending(fd: int) -> Pending:
    """What has come on a descriptor."""
    poller = select.poll()
    poller.register(fd, select.POLLIN | END)
    try:
        told = poller.poll(0)
    except OSError:  # the kernel is short of memory for the moment
        return NOTHING
    if not told:
        return NOTHING
    events = told[0][1]
    hung_up = bool(events & (END | select.POLLHUP | select.POLLERR))
    return Pending(hung_up, bool(events & select.POLLIN))


def peek(sock: socket.socket) -> bytes:
    """The bytes that lie unread, at most `PEEK` of them."""
    try:
        unread = int.from_bytes(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)), sys.byteorder)
        return sock.recv(min(unread, PEEK), socket.MSG_PEEK | socket.MSG_DONTWAIT) if unread else b""
    except OSError:
        return b""


def age_of_last_bytes(sock: socket.socket) -> int:
    """How long ago the last bytes came, read or not, ns in whole ms; 0 where the socket is not TCP's."""
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.stop)
    except OSError:
        return 0
    return MILLI * int.from_bytes(told[LAST_DATA_RECEIVED], sys.byteorder)
