"""Sockets, epolls and reads that ask a fault plan before each system call.

An injected loss of a connection shuts down the real one, so that later calls behave as after a real loss:
the error is raised once, and reads then find the end. A lost connection loses the bytes that were still to
be read if a read reports the loss; if a write reports it, they can still be read.
"""

from __future__ import annotations

import errno
import os
import select
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, ClassVar, overload

from gaproute.faultinjection.catalog import CONNECTION_LOST, NetworkCall
from gaproute.faultinjection.plan import Failure, FaultPlan, ShortTransfer

if TYPE_CHECKING:
    from _typeshed import ReadableBuffer

READ_SIZE = 65536  # bytes of one read
Address = Any  # of a socket: a tuple or a path, by its family; typeshed has no narrower type either
Events = list[tuple[int, int]]  # (descriptor, events)
EpollWait = Callable[
    [select.epoll, float | None, int], Events
]  # epoll, timeout in seconds, maximum of events


def system_error(number: int) -> OSError:
    """The error that Python raises for this errno, of the subclass that belongs to it."""
    return OSError(number, os.strerror(number))


class CallFaults:
    """Applies the faults of a plan to calls on sockets and epolls.

    One instance serves all of them, as several socket objects may have the same connection in turn, and some
    calls are given a bare descriptor. `broken_peers`: the addresses of peers whose connections a fault has
    ended. `wait`: waits for the events of an epoll.
    """

    def __init__(self, plan: FaultPlan, wait: EpollWait) -> None:
        self.plan, self.wait = plan, wait
        self.broken_peers: set[Address] = set()

    def raise_fault(self, call: NetworkCall) -> None:
        """Raises the OSError that the plan has for this call; returns if it has none."""
        fault = self.plan.inject(call)
        if isinstance(fault, Failure):
            raise system_error(fault.errno)

    def transfer_size(self, call: NetworkCall, descriptor: int, size: int) -> int:
        """How many bytes a read or write of `size` bytes may move. Errors: OSError if the call is to fail."""
        fault = self.plan.inject(call)
        if isinstance(fault, ShortTransfer):
            return max(1, min(size, fault.limit))
        if isinstance(fault, Failure):
            if fault.errno in CONNECTION_LOST:
                self._break_connection(descriptor, lose_unread=call is NetworkCall.RECV)
            raise system_error(fault.errno)
        return size

    def _break_connection(self, descriptor: int, *, lose_unread: bool) -> None:
        """Shuts down the real connection, through a copy of its descriptor: the caller owns the original."""
        copy = socket.socket(fileno=os.dup(descriptor))
        try:
            self.broken_peers.add(copy.getpeername())
            copy.shutdown(socket.SHUT_RDWR)
            while lose_unread and copy.recv(READ_SIZE, socket.MSG_DONTWAIT):
                pass
        except OSError:
            pass  # the peer has ended the connection first, or all unread bytes were read
        finally:
            copy.close()


class FaultySocket(socket.socket):
    """A socket whose calls fail as the plan says. A subclass for each installation sets `call_faults`."""

    call_faults: ClassVar[CallFaults]

    def __init__(
        self,
        family: int = socket.AF_INET,
        type: int = socket.SOCK_STREAM,
        proto: int = 0,
        fileno: int | None = None,
    ) -> None:
        if fileno is None:
            self.call_faults.raise_fault(NetworkCall.SOCKET)
        super().__init__(family, type, proto, fileno)
        if self._is_stream() and self.family in (socket.AF_INET, socket.AF_INET6):
            # Set here too, as the code's own call may be made to fail: Nagle's algorithm delays bytes by
            # real time, which passes unnoticed on the clock of a play.
            super().setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _is_stream(self) -> bool:
        return self.type == socket.SOCK_STREAM

    def accept(self) -> tuple[socket.socket, Address]:
        """See accept(2). If it fails, the connection stays in the queue."""
        self.call_faults.raise_fault(NetworkCall.ACCEPT)
        accepted, address = super().accept()
        return type(self)(accepted.family, accepted.type, accepted.proto, accepted.detach()), address

    def connect_ex(self, address: Address) -> int:
        """See connect(2). After EINTR the kernel goes on connecting, so the real call is made then too."""
        fault = self.call_faults.plan.inject(NetworkCall.CONNECT)
        if not isinstance(fault, Failure):
            return super().connect_ex(address)
        if fault.errno == errno.EINTR:
            super().connect_ex(address)
        return fault.errno

    def bind(self, address: Address) -> None:
        """See bind(2)."""
        self.call_faults.raise_fault(NetworkCall.BIND)
        super().bind(address)

    def listen(self, backlog: int = socket.SOMAXCONN) -> None:
        """See listen(2)."""
        self.call_faults.raise_fault(NetworkCall.LISTEN)
        super().listen(backlog)

    def setsockopt(self, *args: Any) -> None:
        """See setsockopt(2)."""
        self.call_faults.raise_fault(NetworkCall.SETSOCKOPT)
        super().setsockopt(*args)

    @overload
    def getsockopt(self, level: int, option: int) -> int: ...

    @overload
    def getsockopt(self, level: int, option: int, size: int) -> bytes: ...

    def getsockopt(self, level: int, option: int, size: int = 0) -> int | bytes:
        """See getsockopt(2). SO_ERROR may report the failure of a connection attempt that succeeded."""
        self.call_faults.raise_fault(NetworkCall.GETSOCKOPT)
        if size:
            return super().getsockopt(level, option, size)
        value = super().getsockopt(level, option)
        if (level, option) == (socket.SOL_SOCKET, socket.SO_ERROR) and not value:
            fault = self.call_faults.plan.inject(NetworkCall.SO_ERROR)
            if isinstance(fault, Failure):
                return fault.errno
        return value

    def recv(self, size: int, flags: int = 0) -> bytes:
        """See recv(2)."""
        if not self._is_stream():
            self.call_faults.raise_fault(NetworkCall.RECV_DATAGRAM)
            return super().recv(size, flags)
        size = self.call_faults.transfer_size(NetworkCall.RECV, self.fileno(), size)
        return super().recv(size, flags)

    def send(self, data: ReadableBuffer, flags: int = 0) -> int:
        """See send(2)."""
        view = memoryview(data)
        size = self.call_faults.transfer_size(NetworkCall.SEND, self.fileno(), len(view))
        return super().send(view[:size], flags)

    def sendto(self, data: ReadableBuffer, *args: Any) -> int:
        """See sendto(2)."""
        self.call_faults.raise_fault(NetworkCall.SEND_DATAGRAM)
        return super().sendto(data, *args)


class FaultyEpoll:
    """An epoll whose calls fail as the plan says."""

    def __init__(self, call_faults: CallFaults, size_hint: int = -1) -> None:
        call_faults.raise_fault(NetworkCall.EPOLL_CREATE)
        self._call_faults, self._epoll = call_faults, select.epoll(size_hint)

    def register(self, descriptor: int, events: int) -> None:
        """See epoll_ctl(2), EPOLL_CTL_ADD."""
        self._call_faults.raise_fault(NetworkCall.EPOLL_ADD)
        self._epoll.register(descriptor, events)

    def modify(self, descriptor: int, events: int) -> None:
        """See epoll_ctl(2), EPOLL_CTL_MOD."""
        self._call_faults.raise_fault(NetworkCall.EPOLL_MODIFY)
        self._epoll.modify(descriptor, events)

    def unregister(self, descriptor: int) -> None:
        """See epoll_ctl(2), EPOLL_CTL_DEL."""
        self._call_faults.raise_fault(NetworkCall.EPOLL_DELETE)
        self._epoll.unregister(descriptor)

    def poll(self, timeout: float | None = None, maxevents: int = -1) -> Events:
        """See epoll_wait(2).

        An injected EINTR is raised, although `select.epoll.poll` waits again after a signal: it does not if
        the signal's handler raises, and other bindings of the call never do.
        """
        self._call_faults.raise_fault(NetworkCall.EPOLL_WAIT)
        return self._call_faults.wait(self._epoll, timeout, maxevents)

    def fileno(self) -> int:
        """The epoll's own descriptor."""
        return self._epoll.fileno()

    def close(self) -> None:
        """Closes the epoll's own descriptor."""
        self._epoll.close()
