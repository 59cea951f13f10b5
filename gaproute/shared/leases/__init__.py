"""Leases that a Raft group grants, and the client that holds them; without I/O.

`LeaseTable` is the state machine to which every member of the group applies its log. `LeaseClient` acquires
leases for a gateway, renews them until they are released, and decides by its own clock which leases are
valid. Every action under a lease carries the fencing token of the lease.
"""

from gaproute.shared.leases.client import LeaseClient
from gaproute.shared.leases.requests import LeaseRequest, LeaseRequestError, LeaseState
from gaproute.shared.leases.table import LeaseTable

__all__ = ["LeaseClient", "LeaseRequest", "LeaseRequestError", "LeaseState", "LeaseTable"]
