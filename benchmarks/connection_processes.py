"""The child processes of `connections.py`: servers with many idle connections, and clients that hold them.

Each prints a line of JSON when it is ready, then obeys lines of JSON on standard input until that ends.
"""

from __future__ import annotations

import gc
import json
import os
import socket
import sys
from collections.abc import Callable, Generator, Mapping
from typing import Any, Protocol

from gaproute.http1 import Limits, Request, RequestReader, Server, render
from gaproute.load import LoadGenerator, read_load_script
from gaproute.load.results import TrafficResult
from gaproute.loop import Listener, Loop, Promise, Stream
from gaproute.loop.addresses import Address, parse_address
from gaproute.loop.descriptors import READ

MILLI, SECOND = 1_000_000, 1_000_000_000
IDLE_TIME = 60 * SECOND  # until a connection without requests is closed
SPREAD = 0.1  # share of a later idle time that is added by chance
MAX_HEAD, MAX_BODY = 32768, 1 << 20  # bytes of a request
STDIN, READ_SIZE = 0, 65536
CONNECTIONS_A_SECOND = 4000  # opened by the clients
LAST_ANSWERS = 300 * MILLI  # waited for after the last request
NO_END = 1 << 62
PERCENTILES = (0.5, 0.999, 1)  # of lateness
TRAFFIC = "a"  # the name of the clients' only traffic

Order = Mapping[str, Any]


class IdleServer(Protocol):
    """A server that closes idle connections. `late`: ns by which each was closed too late."""

    address: str
    late: list[int]

    @property
    def held(self) -> int:
        """How many connections are open."""

    def set_idle_time(self, span: int) -> None:
        """Close connections after so many ns without a request from now on."""


class PlainServer:
    """The baseline: for each connection a generator that waits for its bytes, a stream, a reader, a timer."""

    def __init__(self, loop: Loop, where: Address) -> None:
        self.late: list[int] = []
        self.held = 0
        self._loop, self._idle_time = loop, IDLE_TIME
        self._listener = Listener(loop, where, lambda sock: loop.spawn(self._serve(sock)))
        self.address = self._listener.address

    def set_idle_time(self, span: int) -> None:
        """See `IdleServer`; it counts from each connection's next request."""
        self._idle_time = span

    def _serve(self, sock: socket.socket) -> Generator[Promise, Any, None]:
        """Coroutine: one connection until its client leaves or it was idle for too long."""
        received = [Promise()]
        reader = RequestReader(self._loop.now, MAX_HEAD, MAX_BODY)
        stream = Stream(
            self._loop, sock, lambda data: received[0].set(data), lambda error: received[0].set(b"")
        )
        self.held += 1
        while True:
            due = self._loop.now() + self._idle_time
            timer = self._loop.call_at(due, received[0].set, None)
            data = yield received[0]
            timer.cancel()
            if data is None:
                self.late.append(self._loop.now() - due)
            if not data:
                break
            received[0] = Promise()
            for _ in reader.feed(data):
                stream.write(render(200, (), b"ok", close=False))
        self.held -= 1
        stream.close()


class ParkingServer:
    """The server as it is, which parks idle connections."""

    def __init__(self, loop: Loop, where: Address) -> None:
        self.late: list[int] = []
        limits = Limits(idle_timeout=IDLE_TIME, max_connections=10**6)
        self._loop = loop
        self._server = Server(loop, where, self._answer, limits, counted=True)
        self.address = self._server.address
        self._record_expiries()

    @property
    def held(self) -> int:
        """See `IdleServer`."""
        return self._server.connection_count

    def set_idle_time(self, span: int) -> None:
        """See `IdleServer`."""
        self._server.limits = self._server.limits._replace(idle_timeout=span, idle_jitter=SPREAD)

    def _answer(self, request: Request) -> None:
        self._server.answer(request, 200, (), b"ok")

    def _record_expiries(self) -> None:
        """Have each close that `_close_expired` calls for record how late it is."""
        connections: Any = self._server.connections
        close_parked = connections._close_parked

        def record_and_close(fd: int) -> None:
            if sys._getframe(1).f_code.co_name == "_close_expired":
                self.late.append(self._loop.now() - connections.idle_until[fd])
            close_parked(fd)

        connections._close_parked = record_and_close


SERVERS: dict[str, Callable[[Loop, Address], IdleServer]] = {"plain": PlainServer, "parked": ParkingServer}


class OrderReader:
    """Passes lines of JSON on standard input to `obey`, and stops the loop at the input's end."""

    def __init__(self, loop: Loop, obey: Callable[[Order], object]) -> None:
        self._loop, self._obey, self._unread = loop, obey, b""
        os.set_blocking(STDIN, False)
        loop.watch(STDIN, READ, self._read)

    def _read(self, events: int) -> None:
        data = os.read(STDIN, READ_SIZE)
        if not data:
            self._loop.stop()
        *lines, self._unread = (self._unread + data).split(b"\n")
        for line in lines:
            self._obey(json.loads(line))


def print_answer(answer: Mapping[str, Any]) -> None:
    """Print an answer for the parent process."""
    print(json.dumps(answer), flush=True)


def lateness(late: list[int]) -> dict[str, Any]:
    """How late connections were closed: numbers, and percentiles in ms."""
    ordered = sorted(late)
    ranks = [min(len(ordered) - 1, int(len(ordered) * share)) for share in PERCENTILES]
    return {
        "ends": len(ordered),
        "early": sum(each < 0 for each in ordered),
        "late_ms": [ordered[rank] / MILLI for rank in ranks] if ordered else [],
    }


def serve(form: str) -> None:
    """A process with one server, of the form `plain` or `parked`.

    Orders: {"idle": ns}, {"late": true} and {"held": true}; the last two are answered.
    """
    loop = Loop()
    server = SERVERS[form](loop, parse_address("127.0.0.1:0"))
    gc.collect()
    gc.freeze()
    gc.set_threshold(10_000, 50, 100)

    def obey(order: Order) -> None:
        if "idle" in order:
            server.set_idle_time(order["idle"])
        elif order.get("late"):
            print_answer(lateness(server.late))
        else:
            print_answer({"held": server.held})

    OrderReader(loop, obey)
    print_answer({"at": server.address})
    loop.run()


class Clients:
    """`count` connections to the server at `where`, some of which send requests on order."""

    def __init__(self, loop: Loop, where: str, count: int) -> None:
        opening_time = max(1, count // CONNECTIONS_A_SECOND)
        script = read_load_script(
            "clients",
            f"target {where}\nhold {count} over {opening_time}s addresses 100\n"
            f"traffic {TRAFFIC} rate 1 path /x method GET",
        )
        self._loop, self._count, self._traffic = loop, count, script.traffic[0]
        self._generator = LoadGenerator(loop, script, 1)
        self._generator.ends_at = NO_END  # a connection that is lost is opened again

    def open(self) -> Generator[Promise, None, None]:
        """Coroutine: open all connections, then say so."""
        yield from self._generator.open_connections()
        self._generator.started_at = self._loop.now()
        self._loop.spawn(self._generator.watch_deadlines())
        print_answer({"open": self._count})

    def send_requests(self, rate: float, seconds: float) -> Generator[Promise, None, None]:
        """Coroutine: send requests at a rate (a second) for a time, then say what came of them."""
        result = self._generator.results[TRAFFIC] = TrafficResult()
        span = round(seconds * SECOND)
        self._generator.ends_at = self._loop.now() + span
        if rate:
            traffic = self._traffic.model_copy(update={"rate": rate})
            self._loop.spawn(self._generator.arrivals(traffic))
        yield self._loop.sleep(span + LAST_ANSWERS)
        print_answer(result.summary() if rate else {})


def hold(where: str, count: int) -> None:
    """A process with clients. Orders: {"rate": requests a second, "seconds": number}, which is answered."""
    loop = Loop()
    clients = Clients(loop, where, count)
    OrderReader(loop, lambda order: loop.spawn(clients.send_requests(order["rate"], order["seconds"])))
    loop.spawn(clients.open())
    loop.run()
