"""Leases: what a Raft group agrees on, and the side that holds them, without I/O.

`LeaseTable` is the state machine that every member of the group applies its log to. `LeaseClient` acquires
leases for a gateway, renews them until they are released, and knows by its own clock which are valid. What is
done under a lease carries its fencing token.
"""

from gaproute.shared.leases.client import LeaseClient
from gaproute.shared.leases.requests import LeaseRequest, LeaseRequestError, LeaseState
from gaproute.shared.leases.table import LeaseTable

__all__ = ["LeaseClient", "LeaseRequest", "LeaseRequestError", "LeaseState", "LeaseTable"]
