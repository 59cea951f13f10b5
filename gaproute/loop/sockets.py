"""Sets options of sockets and closes them; failures of these calls are harmless and ignored."""

import socket


def enable_option(sock: socket.socket, level: int, option: int) -> None:
    """Enables a socket option; a failure is ignored, as the connection works without the option."""
    try:  # noqa: SIM105 - runs for each connection; `suppress` takes as long as the call
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
    """Closes a socket; Linux frees the descriptor even if close(2) returns an error."""
    try:  # noqa: SIM105 - see `enable_option`
        sock.close()
    except OSError:
        pass
