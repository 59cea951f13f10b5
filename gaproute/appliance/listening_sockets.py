"""The listening sockets for clients, which a parent opens and on which all its children accept.

The alternative, SO_REUSEPORT with one queue per child, has two faults: a stalled child would keep the new
clients in its queue waiting, and a child that ends would reset the clients in its queue. With a single queue,
the other children accept these clients. `benchmarks/processes.py` measures both designs.
"""

import os
import socket

from gaproute.config.configuration import Configuration
from gaproute.loop.addresses import parse_address
from gaproute.loop.listening import open_listening_socket

# Protocols of `listen` lines; the children of a parent share the addresses for clients only
CLIENT_PROTOCOL = "kserve"
PEER_PROTOCOL = "peers"


class ListeningSockets:
    """Open listening sockets, `by_address` as the configuration writes the address."""

    def __init__(self) -> None:
        self.by_address: dict[str, socket.socket] = {}

    def open(self, configuration: Configuration) -> dict[str, socket.socket]:
        """Opens the sockets of the configuration that are not open yet; returns all its sockets by address.

        Errors: OSError if an address cannot be listened on; no socket was opened then.
        """
        wanted = _client_addresses(configuration)
        opened: dict[str, socket.socket] = {}
        try:
            for address in wanted:
                if address not in self.by_address:
                    opened[address] = open_listening_socket(parse_address(address))
        except OSError:
            for sock in opened.values():
                sock.close()
            raise
        self.by_address |= opened
        return {address: self.by_address[address] for address in wanted}

    def close_unused(self, configuration: Configuration) -> None:
        """Closes the sockets whose addresses the configuration does not name."""
        for address in self.by_address.keys() - set(_client_addresses(configuration)):
            self.by_address.pop(address).close()

    def close(self) -> None:
        """Closes all sockets in this process; the children's inherited sockets stay open."""
        for sock in self.by_address.values():
            sock.close()

    def unlink_paths(self) -> None:
        """Removes the socket files of Unix addresses."""
        for address in self.by_address:
            family, target = parse_address(address)
            if family == socket.AF_UNIX and isinstance(target, str) and os.path.exists(target):
                os.unlink(target)

    def displayed_addresses(self) -> list[str]:
        """The bound addresses in the form shown to operators."""
        return [_displayed_address(sock) for sock in self.by_address.values()]


def _client_addresses(configuration: Configuration) -> list[str]:
    return [address for kind, address in configuration.listen_addresses if kind == CLIENT_PROTOCOL]


def _displayed_address(sock: socket.socket) -> str:
    name = sock.getsockname()
    return f"unix:{name}" if sock.family == socket.AF_UNIX else f"{name[0]}:{name[1]}"
