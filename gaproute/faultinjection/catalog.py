"""The event loop's system calls and the ways in which Linux documents that each of them fails.

Sources: the manual pages accept(2), socket(2), connect(2), bind(2), listen(2), setsockopt(2), getsockopt(2),
epoll_ctl(2), epoll_wait(2), pipe(2), recv(2), send(2) and tcp(7). Faults by chance are drawn from `FAULTS`; a
script may inject any other errno as well.
"""

from __future__ import annotations

import errno
from collections.abc import Mapping, Sequence
from enum import StrEnum

from gaproute.faultinjection.plan import ClockStep, Failure, Fault, ShortTransfer
from gaproute.units import SECOND


class NetworkCall(StrEnum):
    """The names by which plans refer to calls."""

    ACCEPT = "accept"
    SOCKET = "socket"
    CONNECT = "connect"
    SO_ERROR = "so_error"  # the result of a connection attempt, as getsockopt reads it
    BIND = "bind"
    LISTEN = "listen"
    SETSOCKOPT = "setsockopt"
    GETSOCKOPT = "getsockopt"
    RECV = "recv"  # of a stream, or read(2) of its descriptor
    SEND = "send"
    RECV_DATAGRAM = "recv_datagram"
    SEND_DATAGRAM = "send_datagram"
    EPOLL_CREATE = "epoll_create"
    EPOLL_ADD = "epoll_add"
    EPOLL_MODIFY = "epoll_modify"
    EPOLL_DELETE = "epoll_delete"
    EPOLL_WAIT = "epoll_wait"
    PIPE = "pipe"
    PIPE_READ = "pipe_read"
    WALL_CLOCK = "wall_clock"  # reading it


DESCRIPTOR_SHORTAGE = (errno.EMFILE, errno.ENFILE)
MEMORY_SHORTAGE = (errno.ENOBUFS, errno.ENOMEM)
# Errors that were pending on the new connection; by accept(2) they are to be treated like EAGAIN.
PENDING_NETWORK_ERRORS = (
    errno.ENETDOWN,
    errno.EPROTO,
    errno.ENOPROTOOPT,
    errno.EHOSTDOWN,
    errno.ENONET,
    errno.EHOSTUNREACH,
    errno.EOPNOTSUPP,
    errno.ENETUNREACH,
)
# Reported by whichever call comes next on a connection that was lost.
CONNECTION_LOST = (errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH)

ERRNOS: Mapping[str, Sequence[int]] = {
    NetworkCall.ACCEPT: (
        errno.ECONNABORTED,
        errno.EPERM,
        *DESCRIPTOR_SHORTAGE,
        *MEMORY_SHORTAGE,
        *PENDING_NETWORK_ERRORS,
    ),
    NetworkCall.SOCKET: (*DESCRIPTOR_SHORTAGE, *MEMORY_SHORTAGE),
    NetworkCall.CONNECT: (
        errno.EADDRNOTAVAIL,
        errno.ENETUNREACH,
        errno.EHOSTUNREACH,
        errno.ETIMEDOUT,
        errno.ECONNREFUSED,
        errno.EINTR,
        *MEMORY_SHORTAGE,
    ),
    NetworkCall.SO_ERROR: (errno.ECONNREFUSED, errno.ENETUNREACH, *CONNECTION_LOST),
    NetworkCall.BIND: (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.ENOMEM),
    NetworkCall.LISTEN: (errno.EADDRINUSE,),
    NetworkCall.SETSOCKOPT: MEMORY_SHORTAGE,
    NetworkCall.GETSOCKOPT: MEMORY_SHORTAGE,
    NetworkCall.RECV: CONNECTION_LOST,
    NetworkCall.SEND: (*CONNECTION_LOST, errno.EAGAIN),
    NetworkCall.RECV_DATAGRAM: (errno.ECONNREFUSED, errno.ENOMEM),
    NetworkCall.SEND_DATAGRAM: (errno.ECONNREFUSED, errno.ENETUNREACH, errno.EPERM, *MEMORY_SHORTAGE),
    NetworkCall.EPOLL_CREATE: (*DESCRIPTOR_SHORTAGE, errno.ENOMEM),
    NetworkCall.EPOLL_ADD: (errno.ENOSPC, errno.ENOMEM),
    NetworkCall.EPOLL_MODIFY: (errno.ENOMEM,),
    NetworkCall.EPOLL_WAIT: (errno.EINTR,),
    NetworkCall.PIPE: DESCRIPTOR_SHORTAGE,
    NetworkCall.PIPE_READ: (errno.EAGAIN, errno.EINTR),
}

SHORT_TRANSFER_SIZES = (
    1,
    1,
    7,
    100,
)  # bytes that a short read or write moves at most; 1 is drawn twice as often
CLOCK_STEP_SIZES = (1, 5, 60, 3600)  # seconds by which the wall clock is stepped, either way

CLOCK_STEPS: Sequence[Fault] = tuple(
    ClockStep(sign * span * SECOND) for span in CLOCK_STEP_SIZES for sign in (1, -1)
)
SHORT_TRANSFERS: Sequence[Fault] = tuple(ShortTransfer(size) for size in SHORT_TRANSFER_SIZES)

FAILURES: Mapping[str, Sequence[Fault]] = {
    call: tuple(map(Failure, numbers)) for call, numbers in ERRNOS.items()
}

# Reads and writes may also be short: if all their faults lost the connection, little traffic would be left.
FAULTS: Mapping[str, Sequence[Fault]] = {
    **FAILURES,
    NetworkCall.RECV: (*FAILURES[NetworkCall.RECV], *SHORT_TRANSFERS),
    NetworkCall.SEND: (*FAILURES[NetworkCall.SEND], *SHORT_TRANSFERS),
    NetworkCall.WALL_CLOCK: CLOCK_STEPS,
}
