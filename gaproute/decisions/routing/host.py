"""What this gateway knows of one host."""

from typing import NamedTuple

from gaproute.decisions.routing.parameters import NEVER, REPORT_LIFETIME
from gaproute.decisions.routing.samples import RecentSamples, Sample
from gaproute.interface import HostLoadReport, ListedHost, ListedHostState
from gaproute.units import SECOND

# Unspent credit decays over this time, about the time in which an overloaded host that warms up fails.
CREDIT_LIFETIME = 2 * SECOND
MIN_CAPACITY = 1e-3  # a smaller capacity in the host list, even 0 or less, is replaced by this one

AttemptKey = tuple[str, int]  # (id of the request, number of its attempt)


class HostResult(NamedTuple):
    """The result of one attempt or probe at a host."""

    at: int  # ns
    request_class: int | None  # None for a probe
    failure_weight: float  # from 0 (a good result) to 1 (no answer)


class Host:
    """What this gateway knows of one host; the decisions of this package are based on it."""

    __slots__ = (
        "id",
        "warm_up_time",
        "index",
        "probed_at",
        "returned_at",
        "started",
        "warm_at",
        "instances_lost_at",
        "in_flight",
        "answered_at",
        "overdue",
        "results",
        "bad_results",
        "relative_answer_times",
        "slowdown",
        "slowdown_until",
        "report",
        "reported_at",
        "memory_busy",
        "credit",
        "credit_at",
        "full_until",
        "zone",
        "cell",
        "capacity",
        "active",
        "__weakref__",
    )

    def __init__(self, row: ListedHost, warm_up_time: int) -> None:
        self.id = row.host
        self.warm_up_time = warm_up_time
        self.index = 0  # position in the list of active hosts
        self.probed_at = -NEVER  # time of this gateway's last probe
        self.returned_at = -1  # when it was listed again, if a host with its id had been removed
        self.reset(row, -1, {})

    def reset(self, row: ListedHost, instances_lost_at: int, in_flight: dict[AttemptKey, int]) -> None:
        """Resets what is known of a host that has restarted."""
        self.started = row.started
        self.warm_at = -1 if row.started is None else row.started + self.warm_up_time  # end of the warm-up
        self.instances_lost_at = instances_lost_at  # instances seen before then are no longer loaded
        self.in_flight = in_flight  # time of sending, by attempt
        self.answered_at: dict[int, int] = {}  # time of the host's last answer, by request class
        # Overdue attempts with no later answer of their class, and whether each was counted as a failure.
        self.overdue: dict[AttemptKey, bool] = {}
        self.results: list[HostResult] = []  # the last results of each request class
        self.bad_results = 0  # number of failures in `results`
        # Answer times divided by the usual answer time of the function.
        self.relative_answer_times: RecentSamples[Sample] = RecentSamples()
        # How many times slower than usual the host is, by its last answer, and until when that figure holds.
        self.slowdown, self.slowdown_until = 1.0, -1
        self.report: HostLoadReport | None = None
        self.reported_at = -REPORT_LIFETIME
        self.memory_busy: float | None = None  # share of memory, from the last report
        # Attempts that a host that warms up may get, and when that number was last raised.
        self.credit, self.credit_at = 0.0, 0
        self.full_until: float = -1  # until then a host that rejected a request as full gets no other
        self.update_listing(row)

    def update_listing(self, row: ListedHost) -> None:
        """Applies the entry of the host list for a host that has not restarted."""
        self.zone, self.cell = row.zone, row.cell
        self.capacity = max(row.capacity, MIN_CAPACITY)
        self.active = row.state is ListedHostState.ACTIVE

    def add_credit(self, now: int, amount: float) -> None:
        """Raises the number of attempts that the host may get while it warms up.

        Unspent credit decays, so that many gateways do not accumulate it and spend it at one moment.
        """
        left = max(0.0, 1 - (now - self.credit_at) / CREDIT_LIFETIME)
        self.credit = self.credit * left + amount
        self.credit_at = now

    def spend_credit(self) -> None:
        """Deducts an attempt that goes to the host."""
        self.credit = max(0.0, self.credit - 1)
