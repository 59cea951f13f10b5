"""Options and closing of sockets; failures of these calls do not matter and are ignored."""

import socket


def enable_option(sock: socket.socket, level: int, option: int) -> None:
    """Switches on an option of a socket; a failure is ignored, as the connection works without it."""
    try:  # noqa: SIM105 - for each connection, where `suppress` costs as much as the call
        sock.setsockopt(level, option, 1)
    except OSError:
        pass


def configure(sock: socket.socket) -> socket.socket:
    """Makes a stream socket non-blocking and disables Nagle's algorithm for TCP; returns the socket."""
    sock.setblocking(False)
    if sock.family != socket.AF_UNIX:
        enable_option(sock, socket.IPPROTO_TCP, socket.TCP_NODELAY)
    return sock


def close_quietly(sock: socket.socket) -> None:
    """Closes a socket; Linux gives the descriptor back whatever error close(2) returns."""
    try:  # noqa: SIM105 - as above
        sock.close()
    except OSError:
        pass
