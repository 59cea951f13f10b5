"""Divides the memory limit of a process between everything that it holds for its peers; performs no I/O.

What peers send has no limit of its own, so each owner of state gets a share of the memory and refuses, evicts
or closes past it. The shares together stay below the limit, so that no combination of peers exceeds it.
"""

from typing import NamedTuple

from gaproute.decisions.connections.descriptor_shares import PROCESS_DESCRIPTORS

MEGABYTE = 1_000_000  # `memory_mb` is taken as the smaller of the two units of that name

# Of the interpreter, the program and what one turn of the event loop needs for a moment.
PROCESS_BYTES = 23 * MEGABYTE
# Share of the rest that is divided. Allocators keep freed memory, and sizes are estimates.
DIVIDED_SHARE = 0.75
MIN_DIVIDED_BYTES = 3 * MEGABYTE  # below this the process cannot serve

CONNECTION_BYTES = 2_500  # of one connection of a client or to a host, without its buffers
MAX_CONNECTIONS_SHARE = 0.35  # of the divided memory

# Shares of what connections leave.
CLIENT_BUFFERS_SHARE = 0.14
REQUESTS_SHARE = 0.2
FUNCTIONS_SHARE = 0.12
LOAD_ORDERS_SHARE = 0.03
HOST_LINES_SHARE = 0.04
RETIRED_IDS_SHARE = 0.02
RETIRED_ID_BYTES = 110  # of one id of an ended request that a connection to a host remembers
HOST_LIST_SHARE = 0.35
DEPARTED_IDS_SHARE = 0.06
ANSWERED_IDS_SHARE = 0.04


class MemoryShares(NamedTuple):
    """The memory of each owner, in bytes, and the descriptors that the memory allows."""

    descriptors: int
    client_buffers: int  # incomplete messages, unhandled messages and unsent answers of clients
    requests: int  # requests in flight with their bodies
    functions: int
    load_orders: int  # open load orders, and the deliveries that allow them
    host_lines: int  # incomplete lines from hosts
    host_list: int
    departed_ids: int  # ids of requests that may have run and whose clients have left
    answered_ids: int  # ids of other requests that may have run
    retired_ids: int  # ids that connections to hosts remember


def split_memory(memory_mb: float, descriptors: int) -> MemoryShares:
    """Divides the limit `memory_mb` of a process that may hold `descriptors`."""
    divided = max(MIN_DIVIDED_BYTES, DIVIDED_SHARE * (memory_mb * MEGABYTE - PROCESS_BYTES))
    connections = min(descriptors, int(MAX_CONNECTIONS_SHARE * divided / CONNECTION_BYTES))
    rest = divided - connections * CONNECTION_BYTES
    return MemoryShares(
        min(descriptors, connections + PROCESS_DESCRIPTORS),
        int(CLIENT_BUFFERS_SHARE * rest),
        int(REQUESTS_SHARE * rest),
        int(FUNCTIONS_SHARE * rest),
        int(LOAD_ORDERS_SHARE * rest),
        int(HOST_LINES_SHARE * rest),
        int(HOST_LIST_SHARE * rest),
        int(DEPARTED_IDS_SHARE * rest),
        int(ANSWERED_IDS_SHARE * rest),
        int(RETIRED_IDS_SHARE * rest),
    )
