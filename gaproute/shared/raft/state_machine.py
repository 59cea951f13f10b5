"""The interface of the state machine to which a node applies its log.

The machine is deterministic: the same entries give the same state at every node. Besides commands it has
deadlines, which only the leader counts, by its own clock; a deadline takes effect by an entry of the log.
"""

from collections.abc import Sequence
from typing import NamedTuple, Protocol


class MachineDeadline(NamedTuple):
    """A deadline, identified by its token and the index of the entry that last set it."""

    token: int
    log_index: int


class DeadlineChange(NamedTuple):
    """A deadline that the entry at `log_index` has set, or has removed (`wait` None).

    `wait`: ns from when the entry is applied.
    """

    token: int
    log_index: int
    wait: int | None


class DeadlineTimers(Protocol):
    """The leader's timers, one for each deadline."""

    @property
    def due(self) -> int | None:
        """The earliest deadline, ns; None while there is none."""

    def update(self, now: int, token: int, log_index: int, wait: int | None, /) -> None:
        """Sets a deadline to `wait` ns from now; None removes it."""

    def pop_expired(self, now: int, limit: int, /) -> Sequence[MachineDeadline]:
        """The deadlines that have passed, at most `limit`."""


class StateMachine(Protocol):
    """The state machine to which commands are applied."""

    @property
    def last_token(self) -> int:
        """The last fencing token that was given; it only increases."""

    def raise_last_token(self, lowest: int, /) -> None:
        """Has later tokens be above `lowest`."""

    def check(self, sender: str, body: bytes, /) -> str:
        """Why the leader rejects this command before logging it; '' if it does not."""

    def apply(self, index: int, body: bytes, owner: str = "", /) -> bytes:
        """Applies a command; returns its result. `owner`: of the session, empty for commands of the leader
        itself.
        """

    def pop_change(self) -> DeadlineChange | None:
        """The last change of a deadline by the commands since the last call."""

    def start_timers(self, now: int, /) -> DeadlineTimers:
        """Timers of a new leader for all deadlines, counted from now."""

    def expire_command(self, token: int, log_index: int, /) -> bytes:
        """The command by which the leader records that a deadline has passed."""

    def pack(self) -> bytes:
        """Encodes the complete state."""

    def unpack(self, data: bytes, /) -> None:
        """Takes over an encoded state. Errors: ValueError if `data` is none."""
