"""What this gateway knows of one host."""

from collections import deque
from typing import NamedTuple

from gaproute.decisions.routing.parameters import MAX_SAMPLES, NEVER, REPORT_LIFETIME
from gaproute.decisions.routing.samples import Sample
from gaproute.interface import HostLoadReport, ListedHost, ListedHostState
from gaproute.units import SECOND

# Unspent credit fades over this time, about that in which an overloaded host that warms up fails.
CREDIT_LIFETIME = 2 * SECOND
MIN_CAPACITY = 1e-3  # a host counts with at least this capacity, whatever the host list says

AttemptKey = tuple[str, int]  # id of the request, number of its attempt


class HostResult(NamedTuple):
    """How one attempt or probe at a host ended."""

    at: int  # ns
    request_class: int | None  # None: a probe
    failure_weight: float  # 0: good, 1: unanswered


class Host:
    """What this gateway knows of one host; the other classes of the package decide by it."""

    def __init__(self, row: ListedHost, warm_up_time: int) -> None:
        self.id = row.host
        self.warm_up_time = warm_up_time
        self.index = 0  # in the list of active hosts
        self.probed_at = -NEVER  # from this gateway
        self.reset(row, -1, {})

    def reset(self, row: ListedHost, instances_lost_at: int, in_flight: dict[AttemptKey, int]) -> None:
        """Reset what is known of a host that has restarted."""
        self.started = row.started
        self.warm_at = -1 if row.started is None else row.started + self.warm_up_time  # end of the warm-up
        self.instances_lost_at = instances_lost_at  # instances seen before then are no longer loaded
        self.in_flight = in_flight  # by attempt: when it was sent
        self.answered_at: dict[int, int] = {}  # by request class: when the host last answered one
        # Overdue attempts without an answer of their class since: whether each was counted as a failure.
        self.overdue: dict[AttemptKey, bool] = {}
        self.results: list[HostResult] = []  # the last of each request class
        self.bad_results = 0  # of `results`
        self.relative_answer_times: deque[Sample] = deque(
            maxlen=MAX_SAMPLES
        )  # answer time divided by the function's usual one
        self.slowdown, self.slowdown_until = 1.0, -1  # times slower than usual at the last answer, until when
        self.report: HostLoadReport | None = None
        self.reported_at = -REPORT_LIFETIME
        self.memory_busy: float | None = None  # by the last report
        self.credit, self.credit_at = 0.0, 0  # attempts that a warming host may get; when last raised
        self.full_until: float = -1  # the host rejected a request as full and gets none until then
        self.update_listing(row)

    def update_listing(self, row: ListedHost) -> None:
        """Take over what the host list says of the host, which has not restarted."""
        self.zone, self.cell = row.zone, row.cell
        self.capacity = max(row.capacity, MIN_CAPACITY)
        self.active = row.state is ListedHostState.ACTIVE

    def add_credit(self, now: int, share: float) -> None:
        """Raise the number of attempts that the host may get while it warms up.

        Unspent credit fades, so that many gateways do not save it up and spend it at once.
        """
        left = max(0.0, 1 - (now - self.credit_at) / CREDIT_LIFETIME)
        self.credit = self.credit * left + share
        self.credit_at = now

    def spend_credit(self) -> None:
        """Deduct an attempt that goes to the host."""
        self.credit = max(0.0, self.credit - 1)
