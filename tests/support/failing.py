"""System calls that fail as a test orders it: stand-ins for a call, a socket and its module, an epoll."""

import errno
import gc
import os
import socket

SHORT_OF_RESOURCES = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


def fault(code):
    """The OSError of that number, of its own class as the interpreter raises it."""
    return OSError(code, os.strerror(code))


class Failing:
    """Stands for a call: its first calls fail with these numbers, one each (None: that one is carried
    out)."""

    def __init__(self, call, *codes):
        self.call, self.codes, self.failed = call, list(codes), 0

    def __call__(self, *args, **named):
        code = self.codes.pop(0) if self.codes else None
        if code is not None:
            self.failed += 1
            raise fault(code)
        return self.call(*args, **named)


class FailingObject:
    """Stands for an object: `fail(name, *codes)` makes the next calls of that method fail."""

    def __init__(self, real):
        self.real = real

    def __getattr__(self, name):
        return getattr(self.real, name)

    def fail(self, name, *codes):
        """The next calls of the method `name` fail with these numbers; returns the stand-in of the method."""
        failing = Failing(getattr(self.real, name), *codes)
        setattr(self, name, failing)
        return failing


class FailingSocket(FailingObject):
    """Stands for a socket of which some calls fail."""


class FailingSocketModule:
    """Stands for the socket module in another one: its sockets fail in the call `name` with these numbers.

    `name`: "socket" for the making of one, or a method.
    """

    def __init__(self, name, *codes):
        if name == "socket":
            self.socket = Failing(socket.socket, *codes)
            return
        left = list(codes)

        class Made(socket.socket):
            pass

        def failing(sock, *args):
            if left:
                raise fault(left.pop(0))
            return getattr(socket.socket, name)(sock, *args)

        setattr(Made, name, failing)
        self.socket, self.left = Made, left

    def __getattr__(self, name):
        return getattr(socket, name)


class FailingEpoll(FailingObject):
    """Stands for an epoll of which some calls fail."""


def open_descriptors():
    """The numbers of this process's open descriptors.

    What earlier tests left to the garbage collector is collected first, as it may be freed at any time.
    """
    gc.collect()
    listing = os.open("/proc/self/fd", os.O_RDONLY | os.O_DIRECTORY)
    try:
        return {int(name) for name in os.listdir(listing)} - {listing}
    finally:
        os.close(listing)
