"""What fronts and hosts exchange through the core: types only; nothing of a protocol, no decisions."""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from gaproute.interface.outcomes import InstanceStatus


def assume_client_present() -> bool:
    """The `client_present` of requests for which the gateway cannot see whether the client has left."""
    return True


class Call(NamedTuple):
    """The content of a request. The body and the fields pass through as they came."""

    model: str
    version: str  # "" where the client named none
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes
    request_id: str = ""  # the client's own id of the request, where hosts are to see it
    request_class: str = ""  # the name of the request class, where hosts get it
    idempotency_key: str = ""  # by which hosts know a repeat, where clients send one
    tenant: bytes = b""  # as the client named it, where other gateways get it
    origin: str = ""  # the id that the first gateway gave the request, where another gateway forwarded it
    # (cell, hops) as `decisions.cells` has it, where another gateway forwarded the request
    forwarded: tuple[str, int] | None = None
    client_present: Callable[[], bool] = (
        assume_client_present  # whether the client still waits; asked as attempts begin
    )

    @property
    def function(self) -> str:
        """The name by which the decisions know the model and its version."""
        return f"{self.model}/{self.version}" if self.version else self.model


class Answer(NamedTuple):
    """A host's full answer, as it came."""

    status: int
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes


class FinalResult(Enum):
    """How a request ended; the values are those of counters and log lines."""

    DELIVERED = "delivered"
    REJECTED = "rejected"  # a retry is safe
    FAILED = "failed"  # the request may have run


class FinalAnswer(NamedTuple):
    """The one final answer of a request."""

    result: FinalResult
    answer: Answer | None  # with DELIVERED
    retry_after: int  # with REJECTED: how long the client should wait, ns; 0: not said
    request_id: str  # the gateway's id for the request
    attempt_count: int  # how many were started for it
    reason: str  # a short text for a person
    never_ran: bool = False  # every attempt that was started provably did not run
    cell_unknown: bool = False  # with REJECTED: the call was forwarded here for a cell not known here
    found: InstanceStatus = InstanceStatus.UNKNOWN  # with DELIVERED: what the attempt found at the host
