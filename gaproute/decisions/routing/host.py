"""What this gateway knows of one host."""

from collections import deque
from typing import NamedTuple

from gaproute.decisions.routing.parameters import NEVER, REPORT_LIFETIME, SAMPLES, SECOND
from gaproute.decisions.routing.samples import Sample
from gaproute.interface import ListedHost, Report, State

CREDIT_LIFETIME = 2 * SECOND  # over which unspent credit fades: about the time in which hosts that warm up
#                               fall over
LEAST_CAPACITY = 1e-3  # that a host counts with, whatever the list says

AttemptKey = tuple[str, int]  # id of the request, number of its attempt


class HostResult(NamedTuple):
    """How one attempt or probe at a host ended."""

    at: int  # ns
    request_class: int | None  # None: a probe
    harm: float  # 0: good, 1: unanswered


class Host:
    """What this gateway knows of one host; the classes beside it judge by it."""

    def __init__(self, row: ListedHost, warm_up_time: int) -> None:
        self.id = row.host
        self.warm_up_time = warm_up_time
        self.index = 0  # in the list of active hosts
        self.probed_at = -NEVER  # from this gateway
        self.restart(row, -1, {})

    def restart(self, row: ListedHost, instances_lost_at: int, in_flight: dict[AttemptKey, int]) -> None:
        """The host has started anew: nothing that was seen of it before counts."""
        self.started = row.started
        self.warm_at = -1 if row.started is None else row.started + self.warm_up_time  # does all its work
        self.instances_lost_at = instances_lost_at  # instances seen before it are no longer loaded
        self.in_flight = in_flight  # attempt: when it was sent
        self.answered_at: dict[int, int] = {}  # request class: when an answer of it last came
        self.overdue: dict[AttemptKey, bool] = {}  # overdue with no answer of its class since: whether
        #                                            it was counted as a failure
        self.results: list[HostResult] = []  # the last of each request class
        self.bad_results = 0  # of `results`
        self.paces: deque[Sample] = deque(maxlen=SAMPLES)  # answer time over the function's usual one
        self.slowdown, self.slowdown_until = 1.0, -1  # times slower than usual, at the last answer
        self.report: Report | None = None
        self.reported_at = -REPORT_LIFETIME
        self.memory_busy: float | None = None  # by the last report
        self.credit, self.credit_at = 0.0, 0  # chance of an attempt while it warms up; when last raised
        self.full_until: float = -1  # it rejected a request as full; nothing more until then
        self.renew(row)

    def renew(self, row: ListedHost) -> None:
        """Take what the host list says of the host, which has not started anew."""
        self.zone, self.cell = row.zone, row.cell
        self.capacity = max(row.capacity, LEAST_CAPACITY)
        self.active = row.state is State.ACTIVE

    def add_credit(self, now: int, share: float) -> None:
        """Credit for attempts while the host warms up.

        What is unspent fades, so that many gateways do not save up a burst.
        """
        left = max(0.0, 1 - (now - self.credit_at) / CREDIT_LIFETIME)
        self.credit = self.credit * left + share
        self.credit_at = now

    def spend_credit(self) -> None:
        """An attempt goes to the host."""
        self.credit = max(0.0, self.credit - 1)
