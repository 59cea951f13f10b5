"""Leases that this gateway holds for requesters at the operators' address, such as a maintenance crew.

A requester may die without releasing its lease, and the gateway would renew the lease for ever. So each
request has a deadline, which the gateway counts by its clock from when it received the request. A requester
that still needs the lease extends the deadline in time. It counts its own deadline from when it sent the
request, which is earlier, so its deadline is never later than the gateway's. A requester that does not extend
the deadline, but goes on working, works without a lease, as if the gateway had died.

The JSON keys at the operators' address differ from the names in the code: `take` acquires, `keep` extends,
`give` releases, `size` resizes a pool, and `errand` is the number of a request.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, TypedDict

import msgspec
from msgspec import Meta

from gaproute.shared.leases.client import LeaseClient
from gaproute.shared.leases.commands import MAX_LEASE_DURATION, MIN_LEASE_DURATION
from gaproute.shared.leases.requests import LeaseRequest, LeaseRequestError, LeaseState
from gaproute.shared.messages import MAX_COUNT, MAX_NAME_LENGTH
from gaproute.units import MILLI, SECOND

MAX_OPERATOR_REQUESTS = 1024  # at the same time: as many as the lease client accepts
# How long the operators' address shows a request that has ended, so that the requester can read the reason
ENDED_REQUEST_RETENTION = 60 * SECOND

Resource = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]

JSON_KEYS = {"acquire": "take", "extend": "keep", "release": "give", "resize": "size"}


class OperatorCommand(msgspec.Struct, forbid_unknown_fields=True, rename=JSON_KEYS):
    """A command with one action: `acquire` or `resize` (a resource), `extend` or `release` (a number).

    `span_ms`: the duration of the lease, which is the longest time for which the resource stays taken if this
    gateway dies. `for_ms`: the time after which the gateway releases a lease that is not extended; 0 means
    the duration.
    """

    acquire: Resource = ""
    extend: int = 0
    release: int = 0
    resize: Resource = ""
    amount: Annotated[int, Meta(ge=0, le=MAX_COUNT)] = 1
    span_ms: int = 30_000
    for_ms: int = 0


decode_operator_command: Callable[[bytes], OperatorCommand] = msgspec.json.Decoder(OperatorCommand).decode


class RequestStatus(TypedDict):
    """A request as JSON at the operators' address.

    `ms_left`: how long the requester may act under the lease, counted from when it asked for this status.
    """

    errand: int
    resource: str
    amount: int
    state: str
    why: str
    fence: int
    ms_left: int


class PoolStatus(TypedDict):
    """The answer to a resize of a pool, as JSON."""

    size: str
    amount: int


@dataclass
class OperatorRequest:
    """A lease request of a requester.

    `deadline`: when the gateway releases the lease, ns. `ended_at`: when `tick` found that the lease is no
    longer requested or held, ns.
    """

    request: LeaseRequest
    deadline: int
    ended_at: int | None = None


class OperatorRequests:
    """The lease requests of all requesters at the operators' address.

    `max_duration`: the longest duration of a lease by the configuration, ns. `last_request_number`: all
    request numbers of this run of the gateway are greater. It is drawn at each start, so that a requester of
    an earlier run does not mistake another's request for its own. `due` and `tick` work as in `LeaseClient`.
    """

    def __init__(
        self, client: LeaseClient, max_duration: int = MAX_LEASE_DURATION, last_request_number: int = 0
    ) -> None:
        self.client, self.max_duration = client, max_duration
        self.requests: dict[int, OperatorRequest] = {}  # by number
        self.last_request_number = last_request_number

    def execute(self, now: int, command: OperatorCommand) -> RequestStatus | PoolStatus:
        """Carries out the command. Errors: `LeaseRequestError`, with a text for the requester."""
        actions = [name for name in JSON_KEYS if getattr(command, name)]
        if len(actions) != 1:
            raise LeaseRequestError("expected exactly one of take, keep, give and size")
        if command.resize:
            self.client.resize_pool(now, command.resize, command.amount)
            return {"size": command.resize, "amount": command.amount}
        if command.acquire:
            return self._acquire(now, command)
        number = command.extend or command.release
        operator_request = self.requests.get(number)
        if operator_request is None:
            raise LeaseRequestError(f"no errand {number}: this gateway has no lease request of that number")
        if command.release:
            self.client.release(now, operator_request.request)
        elif operator_request.ended_at is None:
            time_to_deadline = _time_to_deadline(command, operator_request.request.duration)
            operator_request.deadline = max(operator_request.deadline, now + time_to_deadline)
        return self.status(now, number)

    def _acquire(self, now: int, command: OperatorCommand) -> RequestStatus:
        duration = _duration_from_ms(command.span_ms, self.max_duration)
        time_to_deadline = _time_to_deadline(command, duration)
        self.tick(now)
        if len(self.requests) >= MAX_OPERATOR_REQUESTS:
            raise LeaseRequestError(f"the limit of {MAX_OPERATOR_REQUESTS} errands is reached")
        self.last_request_number += 1
        request = self.client.acquire(now, command.acquire, duration, command.amount)
        self.requests[self.last_request_number] = OperatorRequest(request, now + time_to_deadline)
        return self.status(now, self.last_request_number)

    def status(self, now: int, number: int) -> RequestStatus:
        """The status of the lease request `number`, as the operators' address returns it."""
        operator_request = self.requests[number]
        request, time_left = operator_request.request, 0
        if request.is_valid_at(now) and request.expires_at is not None:
            time_left = min(request.expires_at, operator_request.deadline) - now
        state = request.state
        if state == LeaseState.HELD and time_left <= 0:
            state = LeaseState.EXPIRED
        return {
            "errand": number,
            "resource": request.resource,
            "amount": request.amount,
            "state": state.value,
            "why": request.reason,
            "fence": request.fencing_token,
            "ms_left": max(0, time_left) // MILLI,
        }

    def all_statuses(self, now: int) -> list[RequestStatus]:
        """The statuses of all lease requests, ordered by number, including requests that ended recently."""
        return [self.status(now, number) for number in sorted(self.requests)]

    @property
    def due(self) -> int | None:
        """The time of the next call of `tick`; None while there is no request."""
        return min(map(_due_time, self.requests.values()), default=None)

    def tick(self, now: int) -> None:
        """Releases leases whose deadline has passed, and removes requests that ended long ago."""
        for number, operator_request in list(self.requests.items()):
            if operator_request.ended_at is None and now >= operator_request.deadline:
                self.client.release(now, operator_request.request)
            if operator_request.ended_at is None and not operator_request.request.is_open:
                operator_request.ended_at = now
            if (
                operator_request.ended_at is not None
                and now >= operator_request.ended_at + ENDED_REQUEST_RETENTION
            ):
                del self.requests[number]


def _due_time(operator_request: OperatorRequest) -> int:
    return (
        operator_request.deadline
        if operator_request.ended_at is None
        else operator_request.ended_at + ENDED_REQUEST_RETENTION
    )


def _time_to_deadline(command: OperatorCommand, duration: int) -> int:
    """The time from a command to the deadline that it sets, ns. Errors: `LeaseRequestError`."""
    return _duration_from_ms(command.for_ms, MAX_LEASE_DURATION) if command.for_ms else duration


def _duration_from_ms(milliseconds: int, longest: int) -> int:
    """The duration in ns. Errors: `LeaseRequestError` if it is shorter or longer than allowed."""
    if not MIN_LEASE_DURATION <= milliseconds * MILLI <= longest:
        raise LeaseRequestError(
            f"a duration of {milliseconds} ms is out of bounds: "
            f"{MIN_LEASE_DURATION // MILLI} to {longest // MILLI} ms are possible"
        )
    return milliseconds * MILLI
