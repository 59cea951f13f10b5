"""Classes of errnos, as the manual pages of Linux document them, and backoff between attempts."""

import errno

# socket(2), accept(2), pipe2(2), epoll_create(2), epoll_ctl(2), open(2), send(2): the kernel has no
# descriptor, buffer or memory for the call. epoll_ctl returns ENOSPC at the user's limit of watches.
SHORTAGE_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ENOSPC))
INTERRUPTION_ERRNOS = frozenset((errno.EINTR, errno.EAGAIN))
TRANSIENT_ERRNOS = SHORTAGE_ERRNOS | INTERRUPTION_ERRNOS

# bind(2): an ending process still uses the port, or the network interface is not up yet. A wrong address
# fails with the same errnos, so calls that fail with them are retried for a shorter time.
ADDRESS_UNAVAILABLE_ERRNOS = frozenset(
    (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.ENETDOWN, errno.ENETUNREACH)
)

# connect(2): no local port is left, or this machine's network is down for a moment.
LOCAL_ADDRESS_ERRNOS = frozenset((errno.EADDRNOTAVAIL,))
LOCAL_NETWORK_ERRNOS = frozenset((errno.ENETDOWN, errno.ENETUNREACH))

# accept(2): the next connection in the queue has failed, and the one after it can be accepted. Linux returns
# pending network errors of the new socket; the manual page lists the last four errnos as well.
FAILED_CONNECTION_ERRNOS = frozenset(
    (
        errno.EINTR,
        errno.ECONNABORTED,
        errno.EPERM,
        errno.ENETDOWN,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ENOSR,
        errno.ESOCKTNOSUPPORT,
        errno.EPROTONOSUPPORT,
        errno.ETIMEDOUT,
    )
)


def is_transient(error: OSError) -> bool:
    """Whether the failed call may succeed a moment later."""
    return error.errno in TRANSIENT_ERRNOS


def is_transient_read(error: OSError) -> bool:
    """Whether open(2) or read(2) of the same file may succeed a moment later."""
    return error.errno in TRANSIENT_ERRNOS or error.errno == errno.EIO


def find_os_error(error: BaseException) -> OSError | None:
    """The first OSError among the error and its cause; None if neither is an OSError."""
    for each in (error, error.__cause__):
        if isinstance(each, OSError):
            return each
    return None


class Backoff:
    """Pauses between attempts, ns: the first pause, then twice the previous one, up to the longest."""

    def __init__(self, first: int, longest: int) -> None:
        self.first, self.longest = first, longest
        self.pause = first

    def next_pause(self) -> int:
        """Returns the pause before the next attempt, and doubles the one after it."""
        pause, self.pause = self.pause, min(2 * self.pause, self.longest)
        return pause

    @property
    def has_failed(self) -> bool:
        """Whether an attempt has failed since the last reset."""
        return self.pause > self.first

    def reset(self) -> None:
        """Starts again with the first pause, after an attempt that succeeded."""
        self.pause = self.first
