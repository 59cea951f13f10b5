"""A request in flight, its attempts, and what the hosts report of each attempt."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from gaproute import interface
from gaproute.interface.call import Answer, Call, FinalAnswer
from gaproute.loop.timers import Timer


class AttemptResult(NamedTuple):
    """How an attempt ended, in the terms of the decision module."""

    result: interface.Result
    answer: Answer | None  # with Result.OK
    found: interface.InstanceStatus = interface.InstanceStatus.UNKNOWN
    same_function_requests: int | None = None
    report: interface.HostLoadReport | None = None


class AttemptHandle(Protocol):
    """The hosts' handle of an attempt that has not ended."""

    @property
    def started(self) -> bool:
        """Whether the host may have received any byte of the request."""

    @property
    def cancellable(self) -> bool:
        """Whether a started attempt may still be withdrawn, as the host cannot run it yet.

        It is read only once `started` is true.
        """

    def cancel(self) -> None:
        """Ends the attempt; its result is not reported any more."""


class AttemptInFlight(NamedTuple):
    """An attempt that has not ended."""

    host: str
    sent_at: int  # ns
    handle: AttemptHandle


class RequestInFlight:
    """A request until it has its final answer and its last attempt has ended; times are ns of the loop."""

    __slots__ = (
        "attempt_count",
        "attempts",
        "call",
        "cell_unknown",
        "deadline",
        "deadline_timer",
        "first_byte_at",
        "found",
        "id",
        "log_step",
        "may_have_run",
        "on_final",
        "request_class",
    )

    def __init__(
        self,
        request_id: str,
        call: Call,
        request_class: int,
        on_final: Callable[[FinalAnswer], None],
        first_byte_at: int,
        deadline: int,
        deadline_timer: Timer,
    ) -> None:
        self.id = request_id
        self.call = call
        self.request_class = request_class  # its index in the terms
        self.on_final: Callable[[FinalAnswer], None] | None = (
            on_final  # None: answered, or its client has left
        )
        self.first_byte_at = first_byte_at
        self.deadline = deadline
        self.deadline_timer = deadline_timer
        self.attempts: dict[int, AttemptInFlight] = {}  # by number
        self.attempt_count = 0  # started so far
        self.may_have_run = False  # by an attempt that has ended
        self.cell_unknown = False  # rejected because this gateway does not know its cell
        self.found = interface.InstanceStatus.UNKNOWN  # by the attempt that delivered the answer
        self.log_step: Callable[..., None] | None = None  # where its steps are logged
