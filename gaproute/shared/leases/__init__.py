"""Permits: what keepers agree on, and the holder's side, sans-I/O.

Permits(quiet=True, longest=LONGEST)      the machine of a keeper; `quiet`: a founded log grants
                                          nothing for the longest span (all disks may have been
                                          lost); the same at all keepers
Holder(name, keepers, chance, now)        the side that wants permits
    .due, .tick(now), .hear(now, sender, message) -> [(to, message)]; as a keeper's
    .take(now, resource, span, amount=1)  -> Wish; `span` ns; kept up by renewals until given back
    .give(now, wish)                      from here on `wish.may` is false
    .leave(now)                           gives all back
    .size(now, resource, amount)          the pool's size (names without one: 1)
    wish.may(now)                         whether the permit holds by the holder's own clock
    wish.fence, .state ("asked", "held", "refused", "given", "over"), .why, .end
"""

from gaproute.shared.leases.holder import Holder, Wish
from gaproute.shared.leases.machine import Permits

__all__ = ["Holder", "Permits", "Wish"]
