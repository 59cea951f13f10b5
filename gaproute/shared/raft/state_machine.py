"""What a node needs of the state machine that its log is applied to.

The machine is deterministic: the same entries give the same state at every node. Besides commands it has
deadlines, which only the leader counts, by its own clock; a deadline takes effect by an entry of the log.
"""

from collections.abc import Sequence
from typing import Protocol


class DeadlineTimers(Protocol):
    """The leader's timers. A deadline is known by its token and the index of the entry that last set it."""

    @property
    def due(self) -> int | None:
        """The earliest deadline, ns; None while there is none."""

    def update(self, now: int, token: int, log_index: int, wait: int | None, /) -> None:
        """Counts `wait` ns from now; None removes the deadline."""

    def pop_expired(self, now: int, limit: int, /) -> Sequence[tuple[int, int]]:
        """At most `limit` of (token, log index) that have passed."""


class StateMachine(Protocol):
    """What commands act on."""

    @property
    def last_token(self) -> int:
        """The last fencing token given; it only grows."""

    def raise_last_token(self, lowest: int, /) -> None:
        """Tokens given from here on are above `lowest`."""

    def check(self, sender: str, body: bytes, /) -> str:
        """Why the leader does not even log this command, or ''."""

    def apply(self, index: int, body: bytes, owner: str = "", /) -> bytes:
        """Applies a command; its result. `owner`: of the session, empty for the leader's own commands."""

    def pop_change(self) -> tuple[int, int, int | None] | None:
        """What the commands since the last call changed last: a deadline's (token, log index, wait in ns)."""

    def start_timers(self, now: int, /) -> DeadlineTimers:
        """Timers of a new leader for all deadlines, counted from now."""

    def expire_command(self, token: int, log_index: int, /) -> bytes:
        """The command by which the leader says that a deadline has passed."""

    def pack(self) -> bytes:
        """The whole state."""

    def unpack(self, data: bytes, /) -> None:
        """Takes on a packed state. Raises ValueError where `data` is none."""
