"""A client's lease requests and the commands that are sent for them."""

from dataclasses import dataclass
from enum import StrEnum

from gaproute.errors import GaprouteError
from gaproute.shared.leases.commands import ClientCommand, CommandResult, decode_result
from gaproute.shared.raft.messages import Reply

REASON_LENGTH = 64  # characters of a rejection's reason that are kept


class LeaseRequestError(GaprouteError, ValueError):
    """What no member of the group would grant, or what the client has no place for."""


class LeaseState(StrEnum):
    """Of a lease request. The values are shown at the operators' address."""

    REQUESTED = "asked"
    HELD = "held"
    REJECTED = "refused"
    RELEASED = "given"
    EXPIRED = "over"


OPEN_STATES = (LeaseState.REQUESTED, LeaseState.HELD)


@dataclass(eq=False)
class LeaseRequest:
    """A lease that is requested, held, or over. `reason`: why it was rejected or expired."""

    resource: str
    amount: int
    duration: int
    state: LeaseState = LeaseState.REQUESTED
    reason: str = ""
    fencing_token: int = 0
    expires_at: int | None = None
    renew_at: int | None = None  # None while a renewal is under way

    def valid_at(self, now: int) -> bool:
        """Whether the lease is held and has not expired by the client's clock."""
        return self.state == LeaseState.HELD and self.expires_at is not None and now < self.expires_at

    @property
    def open(self) -> bool:
        """Whether it is requested or held."""
        return self.state in OPEN_STATES


@dataclass
class QueuedCommand:
    """A command that waits for its turn, and the lease request that it is for."""

    command: ClientCommand
    request: LeaseRequest | None = None


@dataclass
class OutstandingCommand:
    """The command that is sent until it is answered. `command` None opens the session."""

    command: ClientCommand | None
    request: LeaseRequest | None
    session: int
    nonce: int
    body: bytes
    first_sent: int


def result_of(reply: Reply) -> CommandResult:
    """What a final reply says of the command; a reply without a result is an error."""
    if reply.state == "done":
        try:
            return decode_result(reply.body)
        except ValueError:
            return CommandResult("answer not understood")
    return CommandResult(reply.body.decode("utf-8", "replace")[:REASON_LENGTH] or reply.state)
