"""The lease requests of a client and the commands that the client sends for them."""

from dataclasses import dataclass
from enum import StrEnum

from gaproute.errors import GaprouteError
from gaproute.shared.leases.commands import AcquireLease, ClientCommand, CommandResult, decode_result
from gaproute.shared.raft.messages import Reply, ReplyStatus

MAX_REASON_LENGTH = 64  # characters that are stored of the reason for a rejection


class LeaseRequestError(GaprouteError, ValueError):
    """A request that no member of the group would grant, or that exceeds a limit of the client."""


class LeaseState(StrEnum):
    """The state of a lease request. The operators' address shows the values."""

    REQUESTED = "asked"
    HELD = "held"
    REJECTED = "refused"
    RELEASED = "given"
    EXPIRED = "over"


OPEN_STATES = (LeaseState.REQUESTED, LeaseState.HELD)


@dataclass(eq=False)
class LeaseRequest:
    """A lease that is or was requested or held. `reason`: why it was rejected or has expired."""

    resource: str
    amount: int
    duration: int
    state: LeaseState = LeaseState.REQUESTED
    reason: str = ""
    fencing_token: int = 0
    expires_at: int | None = None
    renew_at: int | None = None  # None while there is nothing to renew, or a renewal is in progress

    def is_valid_at(self, now: int) -> bool:
        """Whether the lease is held and has not expired at `now`, ns of the client's clock."""
        return self.state == LeaseState.HELD and self.expires_at is not None and now < self.expires_at

    @property
    def is_open(self) -> bool:
        """Whether the lease is requested or held."""
        return self.state in OPEN_STATES

    def extend(self, first_sent_at: int) -> None:
        """Extends the lease, counted from when the command that granted or renewed it was first sent, ns."""
        self.expires_at = first_sent_at + self.duration
        self.renew_at = first_sent_at + self.duration // 2


@dataclass
class QueuedCommand:
    """A command that is not sent yet, and its lease request, if any."""

    command: ClientCommand
    request: LeaseRequest | None = None

    @property
    def is_outdated(self) -> bool:
        """Whether the command is no longer needed, as the state of the lease request has changed."""
        if self.request is None:
            return False
        expected = LeaseState.REQUESTED if isinstance(self.command, AcquireLease) else LeaseState.HELD
        return self.request.state != expected


@dataclass
class OutstandingCommand:
    """The command that waits for its answer. `command`: None for the request that opens a session."""

    command: ClientCommand | None
    request: LeaseRequest | None
    session: int
    nonce: int
    body: bytes
    first_sent_at: int


def decode_command_result(reply: Reply) -> CommandResult:
    """The command result in a final reply; a reply without a valid result gives a result with an error."""
    if reply.state == ReplyStatus.DONE:
        try:
            return decode_result(reply.body)
        except ValueError:
            return CommandResult("answer not understood")
    return CommandResult(reply.body.decode("utf-8", "replace")[:MAX_REASON_LENGTH] or reply.state)
