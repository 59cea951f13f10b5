"""Leases: what a Raft group agrees on, and the holder's side, without I/O.

LeaseTable(initial_wait=True, max_duration=MAX_DURATION)
                                          the state machine of a member of the group; `initial_wait`: a log
                                          that began anew grants nothing for the longest duration (all disks
                                          may have been lost); the same at all members
Holder(name, keepers, chance, now)        the side that wants leases
    .due, .tick(now), .hear(now, sender, message) -> [(to, message)]; as a keeper's
    .take(now, resource, span, amount=1)  -> Wish; `span` ns; kept up by renewals until given back
    .give(now, wish)                      from here on `wish.may` is false
    .leave(now)                           gives all back
    .size(now, resource, amount)          the pool's size (names without one: 1)
    wish.may(now)                         whether the lease holds by the holder's own clock
    wish.fence, .state ("asked", "held", "refused", "given", "over"), .why, .end
"""

from gaproute.shared.leases.holder import Holder, Wish
from gaproute.shared.leases.table import LeaseTable

__all__ = ["Holder", "LeaseTable", "Wish"]
