"""Parses and formats socket addresses: TCP and UDP over IPv4 and IPv6, and Unix sockets."""

import socket
from typing import NamedTuple

from gaproute.errors import GaprouteError

# A Unix socket's path, or an address tuple of the socket module.
SocketAddress = str | tuple[str, int] | tuple[str, int, int, int]

UNIX_PREFIX = "unix:"
MAX_UNIX_PATH_LENGTH = 107
MAX_PORT = 65535


class AddressError(GaprouteError, ValueError):
    """A text is not a socket address; the message states the expected form."""


class Address(NamedTuple):
    """A parsed socket address, to listen on or to connect to."""

    family: int
    target: SocketAddress


def parse_address(text: str) -> Address:
    """Parses `127.0.0.1:80`, `[::1]:80` or `unix:/path`. Errors: AddressError; OSError for malformed IPv6."""
    if text.startswith(UNIX_PREFIX):
        path = text.removeprefix(UNIX_PREFIX)
        if not 1 <= len(path) <= MAX_UNIX_PATH_LENGTH:
            raise AddressError(
                f"a Unix socket path has 1 to {MAX_UNIX_PATH_LENGTH} characters, not {len(path)}"
            )
        return Address(socket.AF_UNIX, path)
    host, _, port = text.rpartition(":")
    if not port.isdigit() or not 0 <= int(port) <= MAX_PORT or not host:
        raise AddressError(f"an address is HOST:PORT, [IPV6]:PORT or unix:PATH, not {text!r}")
    if host.startswith("[") and host.endswith("]"):
        socket.inet_pton(socket.AF_INET6, host[1:-1])
        return Address(socket.AF_INET6, (host[1:-1], int(port)))
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError as error:
        raise AddressError(f"the host of an address is an IPv4 address or [IPV6], not {host!r}") from error
    return Address(socket.AF_INET, (host, int(port)))


def bound_address(sock: socket.socket) -> str:
    """The address to which a socket is bound, as text. Errors: OSError."""
    if sock.family == socket.AF_UNIX:
        return f"{UNIX_PREFIX}{sock.getsockname()}"
    host, port = sock.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
