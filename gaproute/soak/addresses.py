"""Loopback addresses of the processes of one soak, which no other process uses at the same time."""

from __future__ import annotations

import itertools
import os
from collections.abc import Iterator

PORT = 5050  # below the ports that the kernel gives to outgoing connections
FIRST_NETWORK, NETWORKS, HOSTS_PER_NETWORK = 16, 200, 250

Address = tuple[str, int]

_numbers = itertools.count(1)  # of the addresses that this process has handed out


def new_addresses() -> Iterator[Address]:
    """Addresses in 127.0.0.0/8 that depend on the id of this process."""
    network, subnet = divmod(os.getpid(), HOSTS_PER_NETWORK)
    for number in _numbers:
        host = 1 + number % HOSTS_PER_NETWORK
        yield f"127.{FIRST_NETWORK + network % NETWORKS}.{subnet}.{host}", PORT
