"""One open connection of a load: its stream, and a reader while answers are awaited."""

from __future__ import annotations

import socket
from collections import Counter, deque
from typing import Protocol

from gaproute.http1 import HttpError, ResponseReader
from gaproute.http1.message import Response
from gaproute.load.requests import RequestTemplates
from gaproute.load.results import RequestOutcome
from gaproute.load.script import Traffic
from gaproute.loop import Loop, Stream

MAX_HEAD, MAX_BODY = 65536, 64 << 20  # bytes of an answer
OUTCOME_HEADER = b"gaproute-outcome"  # by which the server names the outcome
UNEXPECTED_ANSWERS = "strays"  # key of the counts: answers that no request waits for


class LoadConnectionOwner(Protocol):
    """What a connection needs of the load that it is part of."""

    loop: Loop
    counts: Counter[str]
    requests: RequestTemplates

    def requests_sent(self, connection: LoadConnection, traffic: Traffic, deadline: int) -> None:
        """Requests were sent; those without an answer at `deadline` (ns of the loop) are to be given up."""

    def request_ended(self, connection: LoadConnection, intended_start: int, outcome: str) -> None:
        """A request that should have started at `intended_start` (ns of the loop) has ended."""

    def connection_idle(self, connection: LoadConnection) -> None:
        """All answers have come."""

    def connection_lost(self, connection: LoadConnection) -> None:
        """The connection has ended."""


class LoadConnection:
    """One of the connections that a load keeps open.

    `pending` has the intended starts (ns of the loop) of the requests in flight, None where there are none.
    Without a `traffic` the connection stays silent. `source` is its local address, None for any.
    """

    __slots__ = ("owner", "stream", "reader", "pending", "traffic", "source", "idle_index", "in_storm")

    def __init__(self, owner: LoadConnectionOwner, source: str | None, traffic: Traffic | None) -> None:
        self.owner, self.source, self.traffic = owner, source, traffic
        self.stream: Stream | None = None
        self.reader: ResponseReader | None = None  # only while answers are awaited: it costs memory
        self.pending: deque[int] | None = None
        self.idle_index = -1  # its place among the idle connections, which set it
        self.in_storm = False  # until the first request after a storm has ended

    @property
    def is_open(self) -> bool:
        """Whether the connection stands."""
        return self.stream is not None

    def opened(self, sock: socket.socket) -> None:
        """Take the connected socket."""
        self.stream = Stream(self.owner.loop, sock, self._receive, self._ended)

    def send_requests(self, traffic: Traffic, intended_start: int) -> None:
        """Send as many requests back to back as the traffic says. The connection has to be open."""
        assert self.stream is not None
        if self.reader is None:
            self.reader = ResponseReader(MAX_HEAD, MAX_BODY)
        self.pending = deque((intended_start,) * traffic.pipeline)
        self.stream.write(self.owner.requests.draw(traffic) * traffic.pipeline)
        self.owner.requests_sent(self, traffic, intended_start + traffic.patience)

    def lose(self, outcome: str = RequestOutcome.BROKEN) -> None:
        """Close the connection, to be opened again; its requests in flight end with this outcome."""
        self.drop(outcome)
        self.owner.connection_lost(self)

    def drop(self, outcome: str) -> None:
        """Close the connection; its requests in flight end with this outcome."""
        pending, self.pending, self.reader = self.pending or (), None, None
        self.abort()
        for intended_start in pending:
            self.owner.request_ended(self, intended_start, outcome)

    def abort(self) -> None:
        """Close the connection and leave its requests in flight as they are."""
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.abort()

    def _receive(self, data: bytes) -> None:
        reader = self.reader
        if reader is None:
            self.owner.counts[UNEXPECTED_ANSWERS] += 1
            self.lose()
            return
        try:
            answers = reader.feed(data)
        except HttpError:
            self.lose()
            return
        for answer in answers:
            if not self._take_answer(answer):
                return
        if not self.pending and not reader.mid_message:
            self.reader = self.pending = None
            self.owner.connection_idle(self)

    def _take_answer(self, answer: Response) -> bool:
        """Whether the connection stands after this answer."""
        if not self.pending:
            self.owner.counts[UNEXPECTED_ANSWERS] += 1
            return True
        self.owner.request_ended(self, self.pending.popleft(), outcome_of(answer))
        if answer.keep_alive:
            return True
        self.lose()
        return False

    def _ended(self, error: OSError | None) -> None:
        self.owner.counts["closed by the server" if error is None else "reset by the server"] += 1
        self.stream = None
        self.lose()


def outcome_of(answer: Response) -> str:
    """The outcome that the server named, or else one by the status."""
    named = answer.headers.get(OUTCOME_HEADER, b"").decode()
    return named or (RequestOutcome.DELIVERED if answer.status == 200 else str(answer.status))
