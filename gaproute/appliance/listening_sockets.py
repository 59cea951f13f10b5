"""The listening sockets for clients that a parent opens and from which all its children accept.

The alternative, SO_REUSEPORT with a queue for each child, has two faults: a child that stands still would
keep its part of the new clients, and one that ends would reset the clients in its queue. With one queue the
other children accept them. `benchmarks/processes.py` measures both.
"""

import os
import socket

from gaproute.config.configuration import Configuration
from gaproute.loop.addresses import parse_address
from gaproute.loop.listening import open_listening_socket

# Kinds of `listen` lines; the children of a parent share the addresses of the first kind
CLIENT_PROTOCOL = "kserve"
PEER_PROTOCOL = "peers"


class ListeningSockets:
    """Open listening sockets, `by_address` as the configuration names it."""

    def __init__(self) -> None:
        self.by_address: dict[str, socket.socket] = {}

    def open(self, configuration: Configuration) -> dict[str, socket.socket]:
        """Opens the sockets of a configuration; those that are open already stay. Returns them by address.

        Errors: OSError where an address cannot be listened on; then nothing has changed.
        """
        wanted = _client_addresses(configuration)
        opened: dict[str, socket.socket] = {}
        try:
            for where in wanted:
                if where not in self.by_address:
                    opened[where] = open_listening_socket(parse_address(where))
        except OSError:
            for sock in opened.values():
                sock.close()
            raise
        self.by_address |= opened
        return {where: self.by_address[where] for where in wanted}

    def close_unused(self, configuration: Configuration) -> None:
        """Closes the sockets that the configuration does not name."""
        for where in self.by_address.keys() - set(_client_addresses(configuration)):
            self.by_address.pop(where).close()

    def close(self) -> None:
        """Closes all sockets of this process; those that children have inherited stay open there."""
        for sock in self.by_address.values():
            sock.close()

    def unlink_paths(self) -> None:
        """Removes the files of Unix sockets."""
        for where in self.by_address:
            family, target = parse_address(where)
            if family == socket.AF_UNIX and isinstance(target, str) and os.path.exists(target):
                os.unlink(target)

    def displayed_addresses(self) -> list[str]:
        """The addresses that are bound, as an operator reads them."""
        return [_displayed_address(sock) for sock in self.by_address.values()]


def _client_addresses(configuration: Configuration) -> list[str]:
    return [where for kind, where in configuration.listen_addresses if kind == CLIENT_PROTOCOL]


def _displayed_address(sock: socket.socket) -> str:
    name = sock.getsockname()
    return f"unix:{name}" if sock.family == socket.AF_UNIX else f"{name[0]}:{name[1]}"
