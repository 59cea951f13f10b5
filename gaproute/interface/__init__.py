"""What the decisions are given and what they yield: types only, no decisions.

Every time is an int of nanoseconds and every id is passed on as it came.

The caller (the bench's adapter, a gateway program) makes one `Gateway` of `gaproute.decisions.routing`, feeds
it host lists and answers to probes and load orders through its methods, and drives its generators:

- `serve(now, request)`, one for each request, from acceptance to its one final answer;
- `housekeep(now)`, one for each gateway, for as long as the gateway runs.

A generator yields one of the actions of `actions.py` and is resumed at once with None, except for
`Attempt`, resumed with the attempt's number, and `Wait`, resumed later with `(now, outcome)`, where the
outcome is None when the time came first. A request's generator ends after `Reject` or `Fail`, or after an
outcome that ended the request.Before the caller resumes a generator with an outcome, and also where the
request has no generator any more, it hands the outcome to `Gateway.attempt_ended`. Outcomes that have arrived
are handed over before waits whose time has come are resumed: a gateway that stalled must not treat as overdue
what was answered meanwhile.
"""

from gaproute.interface.actions import (
    Action,
    Attempt,
    Cancel,
    Fail,
    LoadOrder,
    PollHostList,
    Probe,
    Reject,
    RejectReason,
    Wait,
)
from gaproute.interface.outcomes import NEVER_RAN, HostLoadReport, InstanceStatus, Outcome, Result
from gaproute.interface.terms import (
    Idempotency,
    IdempotencyScope,
    ListedHost,
    ListedHostState,
    Request,
    RequestClass,
    RoutingSettings,
)

__all__ = [
    "NEVER_RAN",
    "Action",
    "Attempt",
    "Cancel",
    "Fail",
    "InstanceStatus",
    "IdempotencyScope",
    "Idempotency",
    "ListedHost",
    "LoadOrder",
    "Outcome",
    "PollHostList",
    "Probe",
    "Reject",
    "RejectReason",
    "HostLoadReport",
    "Request",
    "RequestClass",
    "Result",
    "ListedHostState",
    "RoutingSettings",
    "Wait",
]
