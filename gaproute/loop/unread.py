"""What the kernel has of the other side of a connection that has not been read yet: one system call each.

Nothing is taken by these calls. What cannot be had for the moment counts as nothing.
"""

import select
from typing import NamedTuple

END = select.EPOLLRDHUP  # the other side sends no more: told also while bytes lie unread before that


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
