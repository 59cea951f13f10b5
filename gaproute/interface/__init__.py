"""Types that the decisions take and yield; this package makes no decisions.

Every time is an int of nanoseconds, and every id is passed on unchanged.

The driver (the adapter of the simulator, or a gateway program) creates one `Gateway` of
`gaproute.decisions.routing`, calls its methods with host lists and with the ends of probes and load orders,
and drives its generators:

- `serve(now, request)`, one for each request, from acceptance to its one final answer;
- `housekeep(now)`, one for each gateway, as long as the gateway runs.

A generator yields an action (`actions.py`) and is resumed at once with None, except after `Attempt`, when it
is resumed with the number of the attempt, and after `Wait`, when it is resumed later with `(now, outcome)`;
the outcome is None if the time of the wait elapsed first. The generator of a request ends after `Reject` or
`Fail`, or after an outcome that ended the request. The driver passes each outcome to `Gateway.attempt_ended`
before it resumes the generator with the outcome, and also if the request no longer has a generator. It passes
on the outcomes that have arrived before it resumes waits that have elapsed, because a gateway that stalled
must not treat attempts as overdue that were answered in the meantime.
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
from gaproute.interface.inputs import (
    Idempotency,
    IdempotencyScope,
    ListedHost,
    ListedHostState,
    Request,
    RequestClass,
    RoutingSettings,
)
from gaproute.interface.outcomes import NEVER_RAN, HostLoadReport, InstanceStatus, Outcome, Result

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
