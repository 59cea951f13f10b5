"""Sockets, epoll and descriptors that ask a fault plan before each system call.

A connection that is made to break is shut down for good, so that the kernel reports it as a real one: the
error is shown once, then the end. A read that fails loses what was on its way; after a write that fails what
had come in before can still be read.
"""

from __future__ import annotations

import os
import select
import socket
from collections.abc import Callable
from typing import Any, ClassVar

from gaproute.faultinjection.catalog import CONNECTION_LOST, NetworkCall
from gaproute.faultinjection.plan import Failure, FaultPlan, ShortTransfer

READ_SIZE = 65536
Address = Any  # of a socket: a tuple or a path, by its family
Events = list[tuple[int, int]]
EpollWait = Callable[[select.epoll, float | None, int], Events]  # epoll, seconds, most events


def system_error(number: int) -> OSError:
    """The error that Python raises for this errno, of the subclass that belongs to it."""
    return OSError(number, os.strerror(number))


class CallFaults:
    """What must be known of connections beyond one socket object: a descriptor moves between several.

    `broken_peers`: the addresses of peers whose connections a fault has ended. `wait`: how an epoll is waited
    for.
    """

    def __init__(self, plan: FaultPlan, wait: EpollWait) -> None:
        self.plan, self.wait = plan, wait
        self.broken_peers: set[Address] = set()

    def raise_fault(self, call: NetworkCall) -> None:
        """Raises the error that the plan has for this call, if any."""
        fault = self.plan.inject(call)
        if isinstance(fault, Failure):
            raise system_error(fault.errno)

    def transfer_size(self, call: NetworkCall, descriptor: int, size: int) -> int:
        """How many bytes a read or write of `size` may move. Errors: OSError where it is to fail."""
        fault = self.plan.inject(call)
        if isinstance(fault, ShortTransfer):
            return max(1, min(size, fault.limit))
        if isinstance(fault, Failure):
            if fault.errno not in CONNECTION_LOST:
                raise system_error(fault.errno)
            self._break(descriptor, lose=call is NetworkCall.RECV)
            raise system_error(fault.errno)
        return size

    def _break(self, descriptor: int, *, lose: bool) -> None:
        copy = socket.socket(fileno=os.dup(descriptor))
        try:
            self.broken_peers.add(copy.getpeername())
            copy.shutdown(socket.SHUT_RDWR)
            while lose and copy.recv(READ_SIZE, socket.MSG_DONTWAIT):
                pass
        except OSError:
            pass  # the far end was first
        finally:
            copy.close()


class FaultySocket(socket.socket):
    """A socket whose calls fail as the plan says. A subclass for each injector sets `call_faults`."""

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
            # Where the code's own call fails, the kernel's real delays would count in a play's time.
            super().setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _is_stream(self) -> bool:
        return self.type == socket.SOCK_STREAM

    def accept(self) -> tuple[socket.socket, Address]:
        """See accept(2); the connection of a failed call stays in the queue."""
        self.call_faults.raise_fault(NetworkCall.ACCEPT)
        accepted, address = super().accept()
        return type(self)(accepted.family, accepted.type, accepted.proto, accepted.detach()), address

    def connect_ex(self, address: Address) -> int:
        """See connect(2). After EINTR the connection comes about all the same."""
        fault = self.call_faults.plan.inject(NetworkCall.CONNECT)
        if not isinstance(fault, Failure):
            return super().connect_ex(address)
        if system_error(fault.errno).__class__ is InterruptedError:
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

    def getsockopt(self, level: int, option: int, *size: int) -> Any:
        """See getsockopt(2). A connection attempt that succeeded may be shown to have failed."""
        self.call_faults.raise_fault(NetworkCall.GETSOCKOPT)
        value = super().getsockopt(level, option, *size)
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

    def send(self, data: Any, flags: int = 0) -> int:
        """See send(2)."""
        size = self.call_faults.transfer_size(NetworkCall.SEND, self.fileno(), len(data))
        return super().send(memoryview(data)[:size], flags)

    def sendto(self, data: Any, *args: Any) -> int:
        """See sendto(2)."""
        self.call_faults.raise_fault(NetworkCall.SEND_DATAGRAM)
        return super().sendto(data, *args)


class FaultyEpoll:
    """An epoll whose calls fail as the plan says."""

    def __init__(self, call_faults: CallFaults, *args: int) -> None:
        call_faults.raise_fault(NetworkCall.EPOLL_CREATE)
        self._call_faults, self._epoll = call_faults, select.epoll(*args)

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
        """See epoll_wait(2). Python itself waits on after a signal; code that relies on it does not wait
        through another binding, nor where a signal's handler raises."""
        self._call_faults.raise_fault(NetworkCall.EPOLL_WAIT)
        return self._call_faults.wait(self._epoll, timeout, maxevents)

    def fileno(self) -> int:
        """The descriptor."""
        return self._epoll.fileno()

    def close(self) -> None:
        """Gives the descriptor back."""
        self._epoll.close()
