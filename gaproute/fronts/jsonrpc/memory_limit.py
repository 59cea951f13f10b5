"""Chooses the connections to end while all connections together use too much memory."""

from collections.abc import Iterator, Reversible

from gaproute.fronts.jsonrpc.connection import RpcConnection


def connections_to_end(
    connections: Reversible[RpcConnection], max_bytes: int, now: int
) -> Iterator[RpcConnection]:
    """The connections to end so that the others use at most `max_bytes`, in the order in which to end them.

    Connections that are owed no answer at the time `now` (ns) come before those that are; among each of
    these, those that use the most memory come first.
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
