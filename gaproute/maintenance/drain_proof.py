"""Why nobody still sends to a host, and nothing runs there, when `out` is given.

Two proofs, the first that holds is taken:
- `host`: the host was told to drain and says itself, in one answer that it was asked for afterwards, that it
  takes no new task and has none in hand. A gateway that heard nothing may go on sending: each such task gets
  a published 'not ready' (it never ran and goes on elsewhere). Needs no clock and no gateway's hearing.
- `list`: a host that cannot refuse by itself is drained by the host list alone. A gateway that hears the list
  has it within POLL; one that does not hear it drops hosts whose entry it could not renew within `life`,
  which the platform has to promise (0: it does not; then this proof never holds). What was sent until then
  has ended after the hard limit. The bound, by a clock that may be wrong by BOUND on both sides:
  (max(poll, life) + hard limit) * (1 + 3 * BOUND). In hand must be none after it, as the host says.
A permit's end proves nothing here: it bounds how long `out` may be begun, not who sends.
"""

import msgspec

SECOND = 1_000_000_000
BOUND = 10  # per mille by which a clock may be wrong, as permits have it


class DrainBounds(msgspec.Struct, frozen=True):
    """ns: `poll` between two looks at the list, `life` of an entry not renewed, `hard` limit of a task."""

    poll: int = 2 * SECOND
    life: int = 0
    hard: int = 30 * SECOND


def bound(bounds):
    """ns from the mark in the list until nothing sent by it can run any more; None: never proved."""
    if not bounds.life:
        return None
    span = max(bounds.poll, bounds.life) + bounds.hard
    return span + -(-span * 3 * BOUND // 1000)


def proof(now, shown, marked, bounds):
    """ "host", "list" or "" (not yet). `marked`: when draining was begun; `shown`: its last HostReport
    or None."""
    if shown is None or shown.hands:
        return ""
    if shown.draining and shown.asked > marked:
        return "host"
    longest = bound(bounds)
    return "list" if longest is not None and shown.asked >= marked + longest else ""
