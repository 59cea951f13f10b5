"""How the descriptors of a process are divided between connections of clients and connections to hosts."""

from typing import NamedTuple

# Of the descriptors. Clients use about a third, and open new connections before their former ones are closed;
# connections to hosts were measured to need a quarter at most.
CLIENT_SHARE = 0.5
PROCESS_DESCRIPTORS = 24  # for the log, the epolls, the listener, signals and some spare ones


class DescriptorShares(NamedTuple):
    """How many connections of each kind the descriptors allow."""

    clients: int
    hosts: int


def split_descriptors(descriptors: int) -> DescriptorShares:
    """Divides that many descriptors."""
    clients = int(CLIENT_SHARE * descriptors)
    return DescriptorShares(clients, max(1, descriptors - clients - PROCESS_DESCRIPTORS))
