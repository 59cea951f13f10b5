"""Types that fronts and hosts exchange through the core, independent of protocols and decisions."""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from gaproute.interface.outcomes import InstanceStatus


def assume_client_present() -> bool:
    """The `client_present` of requests for which the gateway cannot detect that the client has left."""
    return True


class Call(NamedTuple):
    """The content of a request. The body and the header fields are passed on unchanged."""

    model: str
    version: str  # "" if the client specified none
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes
    request_id: str = ""  # id that the client gave the request, if hosts receive it
    request_class: str = ""  # name of the request class, if hosts receive it
    idempotency_key: str = ""  # by which hosts recognize a retry, if clients send one
    tenant: bytes = b""  # as specified by the client, if other gateways receive it
    origin: str = ""  # id of the request at the gateway that received it first, if it was forwarded
    # (cell, hops) as in `decisions.cells`, if another gateway forwarded the request.
    forwarded: tuple[str, int] | None = None
    # Whether the client still waits; called when an attempt starts.
    client_present: Callable[[], bool] = assume_client_present

    @property
    def function(self) -> str:
        """Returns the function name that the decisions use for the model and its version."""
        return f"{self.model}/{self.version}" if self.version else self.model


class Answer(NamedTuple):
    """The complete answer of a host, unchanged."""

    status: int
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes


class FinalResult(Enum):
    """How a request ended. The values appear in counters and log lines."""

    DELIVERED = "delivered"
    REJECTED = "rejected"  # the client may safely retry
    FAILED = "failed"  # the request may have run


class FinalAnswer(NamedTuple):
    """The one final answer to a request."""

    result: FinalResult
    answer: Answer | None  # answer of the host; None unless the result is DELIVERED
    retry_after: int  # after REJECTED: how long the client should wait, ns; 0 if not specified
    request_id: str  # id that the gateway gave the request
    attempt_count: int  # attempts started for the request
    reason: str  # short text for people
    never_ran: bool = False  # whether the request provably did not run at any host
    cell_unknown: bool = False  # whether it was rejected because it was forwarded for an unknown cell
    # After DELIVERED: the state in which the attempt found the instance at the host.
    found: InstanceStatus = InstanceStatus.UNKNOWN
