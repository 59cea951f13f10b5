"""A link emulator on loopback with a gateway, hosts and a clock that leaps, for the tests of clusters."""

import contextlib
import json
import socket
import time

from gaproute.cluster.addresses import link_address
from gaproute.cluster.links.codec import decode_command, decode_slots
from gaproute.cluster.links.emulator import LinkEmulator
from gaproute.cluster.links.messages import StartEmulator
from gaproute.loop import Loop, SteppedClock

GATEWAY, HOST, DEAD, NOBODY = 16, 17, 18, 19  # process slots
RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"  # SO_LINGER: a close then sends a reset
WAIT = 5  # seconds of true time


class PatientClock(SteppedClock):
    """A clock that leaps, but not before the kernel had a millisecond to bring what is on its way."""

    def poll(self, epoll, span):
        """In place of a wait."""
        ready = epoll.poll(0) or epoll.poll(0.001)
        self.now += 0 if ready else max(0, span)
        return ready


class LinkNetwork:
    """An emulator with a gateway, a host, a slot without an address and one where nobody listens.

    `slots`: the slots as JSON has them. Sockets that are opened here are closed with it.
    """

    def __init__(self):
        self.loop = Loop(PatientClock(10**9))
        self.host = socket.create_server(("127.0.0.1", 0))
        self.udp = {slot: socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for slot in (GATEWAY, HOST)}
        self.open = [self.host, *self.udp.values()]
        for sock in self.udp.values():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)  # a burst finds room
            sock.bind(("127.0.0.1", 0))
        with socket.create_server(("127.0.0.1", 0)) as closed:
            nobody = address_of(closed)
        self.slots = {
            "16": {"name": "g0", "kind": "gateway", "udp": address_of(self.udp[GATEWAY])},
            "17": {
                "name": "h0",
                "kind": "host",
                "tcp": address_of(self.host),
                "udp": address_of(self.udp[HOST]),
            },
            "18": {"name": "h1", "kind": "host"},
            "19": {"name": "h2", "kind": "host", "tcp": nobody},
        }
        self.emulator = LinkEmulator(self.loop, StartEmulator(0, 0, decode_slots(self.slots), seed=5))
        self.loop.on_error = self.fail
        self.tcp_port, self.udp_port = (
            int(sock.getsockname()[1])
            for sock in (self.emulator.streams.listener.sock, self.emulator.datagrams.sock)
        )
        for sock in self.open:
            sock.setblocking(False)

    def fail(self, error):
        """An error that escaped a callback ends the test."""
        raise SystemExit(f"a callback failed: {error!r}")

    def command(self, **line):
        """Carries out a line as the harness sends it, and all that follows from it at once."""
        counts = self.emulator.execute(decode_command(json.dumps(line)))
        self.emulator.apply_changes()
        return counts

    def turns(self, count=10):
        """So many turns of the loop."""
        for _ in range(count):
            self.loop.turn()

    def run(self, span):
        """Until the clock has gone on by `span` ns."""
        end = self.loop.now() + span
        while self.loop.now() < end:
            self.loop.turn()
        assert not self.emulator.find_violations()

    def received(self, sock):
        """What comes next at `sock`, within five seconds of true time; `read_now` does not wait."""
        return self.wait(lambda: read_now(sock))

    def wait(self, found):
        """Turns until `found()` is something, which is returned; None if nothing comes."""
        end = time.monotonic() + WAIT
        while (value := found()) is None and time.monotonic() < end:
            self.loop.turn()
        return value

    def accept(self):
        """The next connection at the host, and its caller's address."""

        def accepted():
            try:
                return self.host.accept()
            except BlockingIOError:
                return None

        far, caller = self.wait(accepted)
        far.setblocking(False)
        self.open.append(far)
        return far, caller

    def connect(self, slot=HOST):
        """A connection of the gateway, which the emulator's kernel has opened."""
        sock = socket.create_connection((link_address(GATEWAY, slot), self.tcp_port), timeout=WAIT)
        sock.setblocking(False)
        self.open.append(sock)
        return sock

    def begin_connect(self, slot, caller=GATEWAY):
        """A connection that may not open."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex((link_address(caller, slot), self.tcp_port))
        self.open.append(sock)
        return sock

    def opens(self, sock):
        """Whether the connection opens in time."""
        return self.wait(lambda: is_open(sock) or None)

    def connected(self):
        """A connection of the gateway with the host, both ends, and the address that the host sees."""
        near = self.connect()
        far, caller = self.accept()
        self.turns(1)
        return near, far, caller[0]

    def close(self):
        """Closes all."""
        self.emulator.close()
        self.loop.close()
        for sock in self.open:
            sock.close()


def address_of(sock):
    """Where a socket is bound, as text."""
    return "{}:{}".format(*sock.getsockname())


def read_now(sock, size=1 << 20):
    """What is there: bytes, b"" at the end, the name of an error, None while there is nothing."""
    try:
        return sock.recv(size)
    except BlockingIOError:
        return None
    except OSError as fault:
        return type(fault).__name__


def is_open(sock):
    """Whether a TCP connection is established."""
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1) == b"\1"  # ESTABLISHED


def read_datagram(sock):
    """The next datagram and its source, or None."""
    with contextlib.suppress(BlockingIOError):
        return sock.recvfrom(99)
    return None


def reset(sock):
    """Closes a socket so that the other end sees a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()
