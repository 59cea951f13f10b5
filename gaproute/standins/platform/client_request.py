"""One request of a platform client over all its attempts."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from gaproute.standins.platform.client_attempt import (
    AttemptIdentity,
    AttemptOutcome,
    AttemptOwner,
    ClientAttempt,
)
from gaproute.standins.traffic import DrawnRequest

RETRY_SPREAD = 1.0, 1.5  # of the time that the gateway gave, by chance


class RequestOwner(AttemptOwner, Protocol):
    """What a request needs of the clients that it belongs to."""

    open_requests: int

    def new_id(self) -> str:
        """An id that no other attempt has."""

    def parameters(self, model: str) -> Mapping[str, str]:
        """The parameters of a call for that model."""


class PlatformRequest:
    """Begins with `start`; open until its last attempt has ended."""

    def __init__(self, owner: RequestOwner, drawn: DrawnRequest, request_id: str) -> None:
        self.owner, self.request_class, self.model = owner, drawn.request_class, drawn.model
        self.first_id = request_id
        self.deadline = owner.loop.now() + drawn.request_class.limit
        self._attempt_count = 0  # before the present one
        owner.open_requests += 1

    def start(self) -> None:
        """Sends the first attempt, for which its client waits a part of the limit, by chance."""
        share = self.owner.chance.uniform(*self.owner.traffic.patience)
        self._start_attempt(self.first_id, round(self.request_class.limit * share))

    def _retry(self) -> None:
        self._start_attempt(self.owner.new_id(), self.deadline - self.owner.loop.now())

    def _start_attempt(self, attempt_id: str, patience: int) -> None:
        identity = AttemptIdentity(attempt_id, self.first_id, self._attempt_count, self.request_class.name)
        parameters = self.owner.parameters(self.model)
        ClientAttempt(self.owner, self, identity, parameters, patience).start()

    def attempt_answered(self, outcome: AttemptOutcome, retry_after: int) -> None:
        """Retries after a rejection, and after a failure of an idempotent request."""
        owner = self.owner
        may_retry = outcome is AttemptOutcome.REJECTED or (
            self.request_class.idempotent and outcome is AttemptOutcome.FAILED
        )
        pause = round(retry_after * owner.chance.uniform(*RETRY_SPREAD))
        in_time = owner.loop.now() + pause < self.deadline
        if may_retry and self._attempt_count < owner.traffic.retries and in_time:
            self._attempt_count += 1
            owner.loop.call_later(pause, self._retry)
        else:
            self.attempt_ended()

    def attempt_ended(self) -> None:
        """The request is over."""
        self.owner.open_requests -= 1
