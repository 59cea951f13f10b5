"""One attempt of a platform client's request, from its first byte to its end.

It goes to one gateway after another until one takes it, as long as it certainly was not read before.
"""

from __future__ import annotations

import base64
import random
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple, Protocol

from gaproute.loop import Loop
from gaproute.loop.timers import Timer
from gaproute.standins.json_objects import JsonObject
from gaproute.standins.platform.gateway_pool import GatewayPool
from gaproute.standins.platform.pooled_gateway import PooledGateway
from gaproute.standins.platform.rpc_connection import CallLoss, RpcConnection
from gaproute.standins.platform.traffic import PlatformTraffic
from gaproute.standins.tap import EventRecorder
from gaproute.units import MILLI

GRACE = 50 * MILLI  # by which every time limit is longer on sockets: the platform's rule
REJECTED_CODE = -32008  # of a JSON-RPC error


class AttemptOutcome(StrEnum):
    """What became of an attempt that was answered; the values stand in taps."""

    DELIVERED = "delivered"
    REJECTED = "declined"
    FAILED = "scrapped"


STATUS = {
    AttemptOutcome.DELIVERED: 200,
    AttemptOutcome.REJECTED: 503,
    AttemptOutcome.FAILED: 502,
}  # as the judge reads them


class AttemptIdentity(NamedTuple):
    """What tells an attempt apart."""

    id: str
    first_id: str  # that of the request's first attempt
    number: int  # of earlier attempts
    request_class: str


class AttemptOwner(Protocol):
    """What an attempt needs of the clients that it belongs to."""

    loop: Loop
    tap: EventRecorder
    chance: random.Random
    traffic: PlatformTraffic
    pool: GatewayPool


class AttemptListener(Protocol):
    """The request of an attempt."""

    def attempt_answered(self, outcome: AttemptOutcome, retry_after: int) -> None:
        """It was answered; `retry_after`: ns to stay away."""

    def attempt_ended(self) -> None:
        """It ended without an answer."""


class ClientAttempt:
    """Begins with `start`; ends by an answer, by the loss of its connection, or when its client gives up."""

    def __init__(
        self,
        owner: AttemptOwner,
        listener: AttemptListener,
        identity: AttemptIdentity,
        parameters: Mapping[str, str],
        patience: int,
    ) -> None:
        """`parameters`: of the call, without id and deadline; `patience`: ns until its client gives up."""
        self.owner, self.listener, self.identity = owner, listener, identity
        self.parameters, self.patience = parameters, patience
        self.started_at = owner.loop.now()
        self._refused: list[int] = []  # gateways to which no connection was made
        self._crossed = False  # it was sent again once, as it had not been read
        self._gateway: PooledGateway | None = None
        self._connection: RpcConnection | None = None
        self._call_number = 0
        self._timers: list[Timer] = []

    def start(self) -> None:
        """Sends it."""
        loop, chance = self.owner.loop, self.owner.chance
        self._timers = [loop.call_later(self.patience + GRACE, self._give_up, "overdue")]
        if chance.random() < self.owner.traffic.impatient:
            span = round(self.patience * chance.random())
            self._timers.append(loop.call_later(span, self._give_up, "left"))
        self._send()

    def _send(self) -> None:
        """Sends it to a gateway that is in and has not refused it."""
        self._gateway = self.owner.pool.pick(self._refused)
        self._connection = self._gateway.connection() if self._gateway is not None else None
        if self._connection is None:
            self._note_unreachable()
            self._end()
            return
        left = self.started_at + self.patience - self.owner.loop.now()
        parameters = {"i": self.identity.id, "d": max(1, left // MILLI), **self.parameters}
        message = {"method": self.identity.request_class, "params": parameters}
        self._call_number = self._connection.call(message, self._answered, self._lost)

    # Ends

    def _lost(self, loss: CallLoss) -> None:
        """The connection ended first."""
        if loss is CallLoss.REFUSED and self._gateway is not None:
            self.owner.tap.note("refused", id=self.identity.id, gateway=self._gateway.number)
            self._gateway.found_dead()
            self._refused.append(self._gateway.number)
            self._send()
        elif loss is CallLoss.UNSENT or (loss is CallLoss.CROSSED and not self._crossed):
            self._crossed = True
            self._send()
        else:
            self._note("broken", text="the connection ended")
            self._end()

    def _give_up(self, what: str) -> None:
        """Its client leaves; `what`: the event that says why."""
        if self._connection is not None:
            self._connection.withdraw(self._call_number)
        self._note(what)
        self._end()

    def _answered(self, message: JsonObject) -> None:
        error = message.get("error")
        outcome = self._outcome(message)
        reason = error and error.get("message")
        self._note("answer", status=STATUS[outcome], outcome=outcome, handed=self.started_at, why=reason)
        self._cancel_timers()
        self.listener.attempt_answered(outcome, ((error or {}).get("data") or {}).get("w", 0) * MILLI)

    def _outcome(self, message: JsonObject) -> AttemptOutcome:
        error = message.get("error")
        if error is not None:
            return AttemptOutcome.REJECTED if error.get("code") == REJECTED_CODE else AttemptOutcome.FAILED
        if self._gateway is not None and not was_made_for(message.get("result"), self.identity.id):
            text = f"{self.identity.id}: a body that no host made for it"
            self.owner.pool.note_unmatched(self._gateway.number, text)
        return AttemptOutcome.DELIVERED

    def _end(self) -> None:
        self._cancel_timers()
        self.listener.attempt_ended()

    def _cancel_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()

    # Tap

    def _note_unreachable(self) -> None:
        identity = self.identity
        self.owner.tap.note(
            "unreachable",
            id=identity.id,
            first=identity.first_id,
            track=identity.request_class,
            asked=self.started_at,
            tries=identity.number,
        )

    def _note(self, what: str, **fields: object) -> None:
        identity = self.identity
        self.owner.tap.note(
            what,
            id=identity.id,
            first=identity.first_id,
            track=identity.request_class,
            gateway=self._gateway.number if self._gateway is not None else None,
            asked=self.started_at,
            patience=self.patience,
            tries=identity.number,
            **fields,
        )


def was_made_for(result: object, request_id: str) -> bool:
    """Whether a stand-in host made this answer for that request: its body ends with the request's id."""
    body = result.get("arg") if isinstance(result, dict) else None
    if not isinstance(body, str):
        return False
    try:
        return base64.b64decode(body).decode().endswith(f" {request_id}")
    except ValueError:
        return False
