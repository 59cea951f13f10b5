"""One request of a stand-in client as it is sent to one gateway, from its first byte to its end.

What it leads to (the same attempt at another gateway, a retry) is a `ClientRequest` of its own.
"""

from __future__ import annotations

import random
from typing import Any, NamedTuple, Protocol

import msgspec

from gaproute.http1 import ClientConnection, Exchange, NoResponseError, Response
from gaproute.loop import Loop
from gaproute.loop.addresses import Address
from gaproute.loop.timers import Timer
from gaproute.standins.kserve.idle_connections import IdleConnections
from gaproute.standins.tap import EventRecorder
from gaproute.standins.traffic import ClientRequestClass, TrafficProfile
from gaproute.units import MILLI

MIN_TIME_LEFT = 50 * MILLI  # of a further attempt: with less no answer could come in time
# For which a client waits beyond its deadline: by the operators' terms an answer that comes so late earns
# nothing, but is not lost.
LATE_ANSWER_WAIT = 500 * MILLI
CROSSING_TIME = 50 * MILLI  # for so long a request may cross the close of its connection: it is sent again
CONNECT_TIMEOUT = 250 * MILLI
HEAD_LIMIT, BODY_LIMIT = 65536, 1 << 24  # bytes of an answer
# Outcomes, as the header `Gaproute-Outcome` has them:
DELIVERED, REJECTED, FAILED = "delivered", "declined", "scrapped"
RETRY_SPREAD = 0.5, 1.5  # of the time that Retry-After gives, by chance


class ClientAttempt(NamedTuple):
    """What is sent: one attempt of a client's request."""

    id: str  # new with each retry
    request_class: ClientRequestClass
    model: str
    time_limit: int  # ns that it may take from now on
    first_id: str  # that of the first attempt
    number: int = 0  # of earlier attempts
    refused: tuple[int, ...] = ()  # gateways to which no connection was made
    crossed: bool = False  # it met the close of a connection before


class Gateway(NamedTuple):
    """A gateway as clients know it."""

    number: int
    address: Address
    idle: IdleConnections


class RequestOwner(Protocol):
    """What a request needs of the clients that it belongs to."""

    loop: Loop
    tap: EventRecorder
    chance: random.Random
    open_requests: int

    @property
    def traffic(self) -> TrafficProfile:
        """How the clients behave."""

    def send(self, attempt: ClientAttempt) -> None:
        """Sends an attempt to a gateway by chance."""


class ClientRequest:
    """Begins with `start`; ends by an answer, by the loss of its connection, or when its client gives up.

    An answer is due after the client's patience. Its client waits for `LATE_ANSWER_WAIT` longer, to see
    whether the answer is late or lost.
    """

    def __init__(self, owner: RequestOwner, attempt: ClientAttempt, gateway: Gateway) -> None:
        self.owner, self.attempt, self.gateway = owner, attempt, gateway
        self.patience = attempt.time_limit  # ns until its answer is due
        if attempt.number == 0:
            share = owner.chance.uniform(*owner.traffic.patience)
            self.patience = round(attempt.time_limit * share)
        self.started_at = owner.loop.now()
        self._reused: ClientConnection | None = None  # an idle connection that it was sent on
        self._timers: list[Timer] = []
        self._exchange = Exchange(owner.loop, self._encoded(), self._done)

    def _encoded(self) -> bytes:
        """The request's bytes."""
        data = "x" * self.owner.traffic.payload
        inputs = [{"name": "in", "shape": [1], "datatype": "BYTES", "data": [data]}]
        body = msgspec.json.encode({"id": self.attempt.id, "inputs": inputs})
        head = (
            f"POST /v2/models/{self.attempt.model}/infer HTTP/1.1\r\n"
            "Host: gateway\r\n"
            "Content-Type: application/json\r\n"
            f"Gaproute-Limit-Ms: {max(1, self.patience // MILLI)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def start(self) -> None:
        """Sends it, on an idle connection where there is one."""
        owner = self.owner
        owner.open_requests += 1
        self._reused = self.gateway.idle.take()
        self._timers.append(owner.loop.call_later(self.patience + LATE_ANSWER_WAIT, self._give_up, "overdue"))
        if owner.chance.random() < owner.traffic.impatient:
            span = round(self.patience * owner.chance.random())
            self._timers.append(owner.loop.call_later(span, self._give_up, "left"))
        if self._reused is not None:
            self._exchange.send_on(self._reused)
        else:
            self._exchange.connect(self.gateway.address, CONNECT_TIMEOUT, HEAD_LIMIT, BODY_LIMIT)

    # Ends

    @property
    def _due(self) -> int:
        """When its answer is due, ns."""
        return self.started_at + self.patience

    def _give_up(self, what: str) -> None:
        """Its client leaves; `what`: the event that says why."""
        if not self._exchange.finished:
            self.owner.open_requests -= 1
            self._exchange.cancel()
            self._note(what)

    def _done(self, response: Response | None, failure: NoResponseError | None) -> None:
        self.owner.open_requests -= 1
        for timer in self._timers:
            timer.cancel()
        if response is not None:
            self._answered(response)
        elif failure is not None:
            self._lost(failure)

    def _lost(self, failure: NoResponseError) -> None:
        """No answer came: it is sent again where it certainly was not read, before its answer was due."""
        attempt = self.attempt
        spent = self.owner.loop.now() - self.started_at
        left = attempt.time_limit - spent
        if spent >= self.patience:
            self._note("overdue")
        elif not failure.connected:
            self.owner.tap.note("refused", id=attempt.id, gateway=self.gateway.number)
            refused = (*attempt.refused, self.gateway.number)
            self.owner.send(attempt._replace(time_limit=left, refused=refused, crossed=False))
        elif self._reused is not None and not failure.any_byte_sent:
            self.owner.send(attempt._replace(crossed=False))
        elif failure.reset and spent <= CROSSING_TIME and not attempt.crossed:  # closed with it unread
            self.owner.send(attempt._replace(time_limit=left, crossed=True))
        else:
            self._note("broken", text=str(failure))

    def _answered(self, response: Response) -> None:
        outcome = response.headers.get(b"gaproute-outcome", b"").decode()
        delivered = outcome == DELIVERED and response.status == 200
        if delivered and not was_made_for(response.body, self.attempt.id):
            text = f"{self.attempt.id}: a body that no host made for it"
            self.owner.tap.note("stray", gateway=self.gateway.number, text=text)
        in_time = self.owner.loop.now() < self._due
        if in_time:
            self._note("answer", status=response.status, outcome=outcome, handed=self.started_at)
        else:
            self._note("answered late", status=response.status, outcome=outcome)
        if self._exchange.connection is not None:
            self.gateway.idle.put(self._exchange.connection)
        idempotent = self.attempt.request_class.idempotent
        may_retry = outcome == REJECTED or (idempotent and outcome == FAILED)
        if may_retry and in_time and self.attempt.number < self.owner.traffic.retries:
            self._retry_after(int(response.headers.get(b"gaproute-retry-after-ms", b"0")) * MILLI)

    def _retry_after(self, pause: int) -> None:
        """Sends a further attempt after about that pause, where enough of the limit is left then."""
        owner, attempt = self.owner, self.attempt
        pause = round(pause * owner.chance.uniform(*RETRY_SPREAD))
        left = attempt.time_limit - (owner.loop.now() - self.started_at) - pause
        if left >= MIN_TIME_LEFT:
            retry = attempt._replace(
                id=f"{attempt.id}r", time_limit=left, number=attempt.number + 1, refused=(), crossed=False
            )
            owner.loop.call_later(pause, owner.send, retry)

    def _note(self, what: str, **fields: Any) -> None:
        self.owner.tap.note(
            what,
            id=self.attempt.id,
            first=self.attempt.first_id,
            track=self.attempt.request_class.name,
            gateway=self.gateway.number,
            asked=self.started_at,
            patience=self.patience,
            due=self._due,
            tries=self.attempt.number,
            **fields,
        )


def was_made_for(body: bytes, request_id: str) -> bool:
    """Whether a stand-in host made this answer for that request."""
    try:
        answer: dict[str, Any] = msgspec.json.decode(body, type=dict)
    except msgspec.MsgspecError:
        return False
    return answer.get("id") == request_id
