"""Asks the kernel about the unread and the unacknowledged bytes of a connection.

Each function makes one or two system calls and consumes no bytes. If a call fails, the function returns the
result for a connection without such bytes.
"""

import fcntl
import select
import socket
import sys
import termios
from typing import NamedTuple

from gaproute.units import MILLI

# The other side has shut down its sending; epoll reports this even while received bytes are unread.
REMOTE_SHUTDOWN = select.EPOLLRDHUP
TCP_INFO_LAST_DATA_RECV = slice(52, 56)  # field of `struct tcp_info`: ms since the last bytes arrived
# Less than any receive window: while fewer bytes are unread, the kernel has received all that the other side
# has sent, and its close.
MAX_PEEK_BYTES = 48 * 1024


class PendingInput(NamedTuple):
    """What a connection has in the kernel to be read."""

    hung_up: bool  # the other side has closed or reset the connection
    unread: bool  # received bytes or the end of the connection can be read


NOTHING_PENDING = PendingInput(hung_up=False, unread=False)


def pending(fd: int) -> PendingInput:
    """What a descriptor has in the kernel to be read."""
    poller = select.poll()
    poller.register(fd, select.POLLIN | REMOTE_SHUTDOWN)
    try:
        ready = poller.poll(0)
    except OSError:  # the kernel is short of memory for the moment
        return NOTHING_PENDING
    if not ready:
        return NOTHING_PENDING
    events = ready[0][1]
    hung_up = bool(events & (REMOTE_SHUTDOWN | select.POLLHUP | select.POLLERR))
    return PendingInput(hung_up, bool(events & select.POLLIN))


def peek(sock: socket.socket) -> bytes:
    """The unread bytes, at most `MAX_PEEK_BYTES`; they stay unread."""
    try:
        unread = int.from_bytes(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)), sys.byteorder)
        return (
            sock.recv(min(unread, MAX_PEEK_BYTES), socket.MSG_PEEK | socket.MSG_DONTWAIT) if unread else b""
        )
    except OSError:
        return b""


def unacknowledged_bytes(fd: int) -> int:
    """The number of sent bytes that the other side has not acknowledged; 0 if it is unknown."""
    try:
        return int.from_bytes(fcntl.ioctl(fd, termios.TIOCOUTQ, bytes(4)), sys.byteorder)
    except OSError:
        return 0


def age_of_last_bytes(sock: socket.socket) -> int:
    """The age of the last received bytes, read or unread, ns in steps of 1 ms; 0 for a Unix socket."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LAST_DATA_RECV.stop)
    except OSError:
        return 0
    return MILLI * int.from_bytes(info[TCP_INFO_LAST_DATA_RECV], sys.byteorder)
