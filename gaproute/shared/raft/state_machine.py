"""The interface of the state machine to which a node applies its log.

The state machine is deterministic: the same entries produce the same state at every node. Besides commands
it has deadlines. Only the leader measures them, by its own clock, and a deadline takes effect through a log
entry.
"""

from collections.abc import Sequence
from typing import NamedTuple, Protocol


class MachineDeadline(NamedTuple):
    """A deadline, identified by its token and by the index of the entry that last set the deadline."""

    token: int
    log_index: int


class DeadlineChange(NamedTuple):
    """A deadline that the entry at `log_index` has set or, if `wait` is None, removed.

    `wait` is the time from the application of the entry to the deadline, ns.
    """

    token: int
    log_index: int
    wait: int | None


class DeadlineTimers(Protocol):
    """The leader's timers, one per deadline."""

    @property
    def due(self) -> int | None:
        """The time of the earliest deadline, ns; None if there is no deadline."""

    def update(self, now: int, token: int, log_index: int, wait: int | None, /) -> None:
        """Sets a deadline to `wait` ns after `now`; a `wait` of None removes the deadline."""

    def pop_expired(self, now: int, limit: int, /) -> Sequence[MachineDeadline]:
        """Removes and returns the deadlines that have passed, at most `limit` of them."""


class StateMachine(Protocol):
    """The state machine to which commands are applied."""

    @property
    def last_token(self) -> int:
        """The last fencing token that the state machine issued; it only increases."""

    def raise_last_token(self, lowest: int, /) -> None:
        """Raises the last token to at least `lowest`, so that all later tokens are above it."""

    def check(self, sender: str, body: bytes, /) -> str:
        """The reason to reject this command before it is logged; '' if the leader may log the command."""

    def apply(self, index: int, body: bytes, owner: str = "", /) -> bytes:
        """Applies a command and returns its result.

        `owner` is the client that owns the session; it is empty for a command of the leader itself.
        """

    def pop_change(self) -> DeadlineChange | None:
        """Removes and returns the last deadline change that commands made since the previous call."""

    def start_timers(self, now: int, /) -> DeadlineTimers:
        """Creates a new leader's timers for all deadlines, with each wait counted from `now`."""

    def expire_command(self, token: int, log_index: int, /) -> bytes:
        """Encodes the command by which the leader records that a deadline has passed."""

    def pack(self) -> bytes:
        """Encodes the complete state."""

    def unpack(self, data: bytes, /) -> None:
        """Replaces the state by an encoded one. Errors: ValueError if `data` is not an encoded state."""
