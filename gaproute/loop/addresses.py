"""Parses and formats addresses of sockets: TCP and UDP over IPv4 and IPv6, and Unix sockets."""

import socket
from typing import NamedTuple

from gaproute.errors import GaprouteError

SocketAddress = str | tuple[str, int] | tuple[str, int, int, int]  # a path, or a tuple of the socket module

UNIX_PREFIX = "unix:"
MAX_UNIX_PATH_LENGTH = 107
MAX_PORT = 65535


class AddressError(GaprouteError, ValueError):
    """A text is no address of a socket; the message says what is expected."""


class Address(NamedTuple):
    """A parsed address, which can be listened on or connected to."""

    family: int
    target: SocketAddress


def parse_address(text: str) -> Address:
    """Parses `127.0.0.1:80`, `[::1]:80` or `unix:/path`. Errors: AddressError."""
    if text.startswith(UNIX_PREFIX):
        path = text.removeprefix(UNIX_PREFIX)
        if not 1 <= len(path) <= MAX_UNIX_PATH_LENGTH:
            raise AddressError(f"a Unix socket path has 1 to {MAX_UNIX_PATH_LENGTH} characters")
        return Address(socket.AF_UNIX, path)
    host, _, port = text.rpartition(":")
    if not port.isdigit() or not 0 <= int(port) <= MAX_PORT or not host:
        raise AddressError("an address is HOST:PORT, [IPV6]:PORT or unix:PATH")
    if host.startswith("[") and host.endswith("]"):
        socket.inet_pton(socket.AF_INET6, host[1:-1])
        return Address(socket.AF_INET6, (host[1:-1], int(port)))
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError as error:
        raise AddressError(f"{host!r} is no IPv4 address") from error
    return Address(socket.AF_INET, (host, int(port)))


def bound_address(sock: socket.socket) -> str:
    """The address at which a socket is bound, as text. Errors: OSError."""
    if sock.family == socket.AF_UNIX:
        return f"{UNIX_PREFIX}{sock.getsockname()}"
    host, port = sock.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
