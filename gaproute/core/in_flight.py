"""Defines requests in flight, their attempts, and the results that the hosts report of attempts."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from gaproute import interface
from gaproute.interface.call import Answer, Call, FinalAnswer
from gaproute.loop.timers import Timer


class AttemptResult(NamedTuple):
    """The end of an attempt, in the types of the decision module."""

    result: interface.Result
    answer: Answer | None  # None unless the result is OK
    found: interface.InstanceStatus = interface.InstanceStatus.UNKNOWN
    same_function_requests: int | None = None
    report: interface.HostLoadReport | None = None


class AttemptHandle(Protocol):
    """A handle of an attempt that has not ended."""

    @property
    def started(self) -> bool:
        """Whether the host may have received any byte of the request."""

    @property
    def cancellable(self) -> bool:
        """Whether a started attempt can still be withdrawn, as the host cannot run it yet.

        Valid only if `started` is true.
        """

    def cancel(self) -> None:
        """Ends the attempt; its result is no longer reported."""


class AttemptInFlight(NamedTuple):
    """An attempt that has not ended."""

    host: str
    sent_at: int  # ns
    handle: AttemptHandle


class RequestInFlight:
    """A request that lacks its final answer or has attempts in flight. Times are ns of the loop's clock."""

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
        self.request_class = request_class  # index in the routing settings
        self.on_final: Callable[[FinalAnswer], None] | None = (
            on_final  # None: answered, or the client has left
        )
        self.first_byte_at = first_byte_at
        self.deadline = deadline
        self.deadline_timer = deadline_timer
        self.attempts: dict[int, AttemptInFlight] = {}  # by attempt number
        self.attempt_count = 0  # number of started attempts
        self.may_have_run = False  # whether an attempt that has ended may have run
        self.cell_unknown = False  # whether the request was rejected with `CellUnknown`
        self.found = interface.InstanceStatus.UNKNOWN  # instance status, reported with the final answer
        self.log_step: Callable[..., None] | None = None  # None: not traced
