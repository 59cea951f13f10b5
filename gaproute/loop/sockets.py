"""Options and closing of sockets, where what fails must not spoil the connection."""

import socket


def set_option(sock: socket.socket, level: int, option: int) -> None:
    """Switches on an option that a connection is better with and can be without."""
    try:  # noqa: SIM105 - for each connection, where `suppress` costs as much as the call
        sock.setsockopt(level, option, 1)
    except OSError:
        pass


def configure(sock: socket.socket) -> socket.socket:
    """Prepares a stream socket for the loop and returns it."""
    sock.setblocking(False)
    if sock.family != socket.AF_UNIX:
        set_option(sock, socket.IPPROTO_TCP, socket.TCP_NODELAY)
    return sock


def close_quietly(sock: socket.socket) -> None:
    """Closes a socket; Linux gives the descriptor back whatever error close(2) returns."""
    try:  # noqa: SIM105 - as above
        sock.close()
    except OSError:
        pass
