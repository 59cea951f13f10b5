"""Chooses the connections to end while the connections of all clients together use too much memory."""

from collections.abc import Iterator, Reversible

from gaproute.fronts.jsonrpc.connection import RpcConnection


def connections_over_limit(
    connections: Reversible[RpcConnection], max_bytes: int, now: int
) -> Iterator[RpcConnection]:
    """The connections to end, one after the other, until the others use no more than `max_bytes`.

    Connections that are owed no answer at the time `now` (ns) come first, and among these those that use the
    most memory.
    """
    excess = sum([connection.buffered_bytes() for connection in connections]) - max_bytes
    if excess <= 0:
        return
    heaviest_first = sorted(
        reversed(connections),
        key=lambda connection: (not connection.owes_answer(now), connection.buffered_bytes()),
        reverse=True,
    )
    for connection in heaviest_first:
        if excess <= 0:
            return
        excess -= connection.buffered_bytes()
        yield connection
