"""What the decision module is given and what it yields: types only, no decisions.

Every time is an int of nanoseconds and every id is passed on as it came.

The caller (the bench's adapter, a gateway program) makes one `Gateway` of `gaproute.decisions.routing`, feeds
it lists, probe and order answers through its methods, and drives its generators:

- `serve(now, task)`, one for each task, from acceptance to its one final answer;
- `housekeep(now)`, one for each gateway, for as long as it lives.

A generator yields one of the wishes below and is resumed at once with None, except for
`Attempt`, resumed with the relay's number, and `Wait`, resumed later with `(now, outcome)`, where the outcome
is None when the time came first. A task's generator ends after `Reject` or `Fail`, or after an outcome that
ended the task. Before a generator sees an outcome, and also when none is left to see it, the caller hands it
to `Gateway.heard`. What came in at one moment is handed over before any wait whose time has come is resumed:
a gateway that stalled must not judge as overdue what has been answered meanwhile.
"""

from gaproute.interface.actions import Attempt, Cancel, Fail, Listen, Order, Probe, Reject, Wait
from gaproute.interface.outcomes import NEVER_RAN, Found, Outcome, Report, Result
from gaproute.interface.terms import Group, Idempotency, ListedHost, RequestClass, State, Task, Terms

__all__ = [
    "NEVER_RAN",
    "Attempt",
    "Cancel",
    "Fail",
    "Found",
    "Group",
    "Idempotency",
    "ListedHost",
    "Listen",
    "Order",
    "Outcome",
    "Probe",
    "Reject",
    "Report",
    "RequestClass",
    "Result",
    "State",
    "Task",
    "Terms",
    "Wait",
]
