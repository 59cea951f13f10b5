"""One connection of a client that follows the protocol."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from enum import Enum

from gaproute.standins.json_objects import JsonObject
from gaproute.standins.platform.answer_reader import AnswerReader

REFUSED_CODE = -32008
CROSSING_TIME_S = 0.05  # a request sent so shortly before the end of its connection is sent once more


class Outcome(Enum):
    """What became of a request."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    CROSSED = "crossed"  # the connection, without other open requests, ended as the request was sent
    LOST = "lost"  # the connection ended without an answer
    UNANSWERED = "unanswered"  # no answer until the client gave up


@dataclass
class RequestRecord:
    """A request, and what became of it."""

    request_id: str
    sent_at: float
    deadline: float  # the time by which the answer is owed
    number: int = 1  # on its connection
    outcome: Outcome | None = None  # None while it is open
    ended_at: float = 0.0
    second_answer: bool = False


class ClientConnection(asyncio.Protocol):
    """Sends requests and settles their records."""

    def __init__(self) -> None:
        self.open: dict[int, RequestRecord] = {}  # by number
        self.answered: dict[int, RequestRecord] = {}
        self.reader = AnswerReader()
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self.last_number = 0
        self.changed = asyncio.Event()  # set whenever a request has ended

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport, which asyncio passes first."""
        if isinstance(transport, asyncio.Transport):
            self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Settles the requests that the answers belong to."""
        for answer in self.reader.feed(data):
            if isinstance(answer, dict):
                self._settle(answer)

    def _settle(self, answer: JsonObject) -> None:
        number = answer.get("id")
        if not isinstance(number, int):
            return
        record = self.open.pop(number, None)
        if record is None:
            if number in self.answered:
                self.answered[number].second_answer = True
            return
        self.answered[number] = record
        if "result" in answer:
            outcome = Outcome.SERVED
        else:
            refused = answer["error"]["code"] == REFUSED_CODE
            outcome = Outcome.REFUSED if refused else Outcome.FAILED
        self._end(record, outcome)

    def _end(self, record: RequestRecord, outcome: Outcome) -> None:
        record.outcome, record.ended_at = outcome, time.monotonic()
        self.changed.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Settles the requests that got no answer."""
        self.closed = True
        now, alone = time.monotonic(), len(self.open) == 1
        for record in self.open.values():
            crossed = alone and now - record.sent_at <= CROSSING_TIME_S
            self._end(record, Outcome.CROSSED if crossed else Outcome.LOST)
        self.open.clear()
        self.changed.set()

    def send(self, record: RequestRecord, number: int, message: bytes) -> None:
        """Sends a request whose record is settled later."""
        self.last_number = number
        self.open[number] = record
        if self.transport is not None:
            self.transport.write(message)

    def give_up(self, record: RequestRecord, number: int) -> None:
        """Stops waiting for an answer."""
        if self.open.pop(number, None) is not None:
            self._end(record, Outcome.UNANSWERED)

    def close(self) -> None:
        """Closes the connection."""
        if self.transport is not None:
            self.transport.close()


async def open_connection(host: str, port: int) -> ClientConnection:
    """Connects to a gateway. Errors: OSError."""
    _, connection = await asyncio.get_running_loop().create_connection(ClientConnection, host, port)
    return connection
