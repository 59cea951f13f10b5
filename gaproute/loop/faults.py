"""Errnos by what they say, as the manual pages of Linux have them, and backoff between attempts."""

import errno

# socket(2), accept(2), pipe2(2), epoll_create(2), epoll_ctl(2), open(2), send(2): nothing is left of what the
# call needs. ENOSPC is epoll_ctl's, for the watches of one user.
SHORTAGE_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ENOSPC))
INTERRUPTION_ERRNOS = frozenset((errno.EINTR, errno.EAGAIN))
TRANSIENT_ERRNOS = SHORTAGE_ERRNOS | INTERRUPTION_ERRNOS

# bind(2): the port is still held by a process that ends, or the interface is only coming up. A wrong address
# fails alike, so that these are worth fewer attempts.
ADDRESS_UNAVAILABLE_ERRNOS = frozenset(
    (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.ENETDOWN, errno.ENETUNREACH)
)

# connect(2): no local port is left, or this machine's network is down for a moment.
LOCAL_ADDRESS_ERRNOS = frozenset((errno.EADDRNOTAVAIL,))
LOCAL_NETWORK_ERRNOS = frozenset((errno.ENETDOWN, errno.ENETUNREACH))

# accept(2): the connection that was next has failed, which says nothing of the one behind it. The network
# errors are those that Linux hands on from the new socket; the last four are named by its page as well.
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


def is_transient(fault: OSError) -> bool:
    """Whether the same call may succeed in a moment with nothing changed by the caller."""
    return fault.errno in TRANSIENT_ERRNOS


def is_transient_read(fault: OSError) -> bool:
    """Whether a file that could not be opened or read may be so in a moment: open(2), read(2)."""
    return fault.errno in TRANSIENT_ERRNOS or fault.errno == errno.EIO


def cause_of(fault: BaseException) -> OSError | None:
    """The OSError behind a failure, itself or what it was raised from; None where there is none."""
    for each in (fault, fault.__cause__):
        if isinstance(each, OSError):
            return each
    return None


class Backoff:
    """Pauses between attempts, ns: the first, then twice the one before, up to the longest."""

    def __init__(self, first: int, longest: int) -> None:
        self.first, self.longest = first, longest
        self.pause = first

    def next_pause(self) -> int:
        """The pause until the next attempt."""
        pause, self.pause = self.pause, min(2 * self.pause, self.longest)
        return pause

    @property
    def has_failed(self) -> bool:
        """Whether an attempt has failed since the last reset."""
        return self.pause > self.first

    def reset(self) -> None:
        """An attempt has succeeded: the next pause is the first one again."""
        self.pause = self.first
