"""What the kernel has of the other side of a connection that has not been read yet: one system call each.

Nothing is read by these calls. What cannot be had for the moment counts as nothing.
"""

import fcntl
import select
import socket
import sys
import termios
from typing import NamedTuple

MILLI = 1_000_000
END = select.EPOLLRDHUP  # the other side sends no more: reported also while bytes lie unread before that
LAST_DATA_RECEIVED = slice(52, 56)  # of `struct tcp_info`: ms since the last bytes came
MAX_PEEK = 2 << 20  # bytes looked at before they are read: more than one client may have open at a time


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
        ready = poller.poll(0)
    except OSError:  # the kernel is short of memory for the moment
        return NOTHING
    if not ready:
        return NOTHING
    events = ready[0][1]
    hung_up = bool(events & (END | select.POLLHUP | select.POLLERR))
    return Pending(hung_up, bool(events & select.POLLIN))


def peek(sock: socket.socket) -> bytes:
    """The bytes that lie unread, at most `MAX_PEEK` of them."""
    try:
        unread = int.from_bytes(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)), sys.byteorder)
        return sock.recv(min(unread, MAX_PEEK), socket.MSG_PEEK | socket.MSG_DONTWAIT) if unread else b""
    except OSError:
        return b""


def unacknowledged(fd: int) -> int:
    """How many bytes that were sent the other side has not acknowledged; 0 where that is not known."""
    try:
        return int.from_bytes(fcntl.ioctl(fd, termios.TIOCOUTQ, bytes(4)), sys.byteorder)
    except OSError:
        return 0


def age_of_last_bytes(sock: socket.socket) -> int:
    """How long ago the last bytes came, read or not, ns in whole ms; 0 where the socket is not TCP's."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.stop)
    except OSError:
        return 0
    return MILLI * int.from_bytes(info[LAST_DATA_RECEIVED], sys.byteorder)
