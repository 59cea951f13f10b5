"""Judges a played day by the five rules, from the traffic on the sockets of hosts and clients alone.

No module here imports anything that it judges. The taps, in which the processes of a day write down what
passed on their sockets, are the only evidence; nothing that a gateway says of itself counts.

| rule | module | what must hold |
| --- | --- | --- |
| 1 | `final_answers` | one final answer to each request before its deadline, nothing sent for it after |
| 2 | `retries` | what may have run is sent again, or rejected, only as its class allows |
| 3 | `drains` | nothing new for a host past the grace after it was listed as draining or gone |
| 4 | `slow_start` | all gateways together do not overload a host that is warming up |
| 5 | `load_order_rate` | the rate limit of load orders holds at each order |

`rules` applies all five, `terms` has the time spans and the types of violations, `tap_reading` turns
the taps into the records of `events`, `day` sorts them by subject. `leases` judges something else: who held a
lease when.
"""

from gaproute.judge.rules import judge
from gaproute.judge.terms import (
    TIME_INDEPENDENT,
    DayTerms,
    Deduplication,
    HostPlace,
    Idempotency,
    RequestClassTerms,
    Violation,
    ViolationKind,
    kill_after,
)

__all__ = [
    "TIME_INDEPENDENT",
    "DayTerms",
    "Deduplication",
    "HostPlace",
    "Idempotency",
    "RequestClassTerms",
    "Violation",
    "ViolationKind",
    "judge",
    "kill_after",
]
