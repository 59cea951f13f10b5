"""Divides the descriptors of a process between connections of clients and connections to hosts."""

from typing import NamedTuple

# Share of the descriptors for connections of clients. Clients use about a third, and open new connections
# before their previous ones are closed. In measurements, connections to hosts needed a quarter at most.
CLIENT_SHARE = 0.5
PROCESS_DESCRIPTORS = 24  # descriptors for the log, the epolls, the listener and signals, with some to spare


class DescriptorShares(NamedTuple):
    """The numbers of connections of clients and of connections to hosts that the descriptors allow."""

    clients: int
    hosts: int


def split_descriptors(descriptors: int) -> DescriptorShares:
    """Divides `descriptors`, the number of descriptors that the process may open."""
    clients = int(CLIENT_SHARE * descriptors)
    return DescriptorShares(clients, max(1, descriptors - clients - PROCESS_DESCRIPTORS))
