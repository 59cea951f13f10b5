"""What benchmarks ask of a gateway that runs as a child process: its start, and its status."""

from __future__ import annotations

import json
import socket
import subprocess
from pathlib import Path
from typing import Any

from gaproute.errors import GaprouteError

READ_SIZE = 65536  # bytes
LOG_TAIL = 5  # lines that an error shows


class GatewayStartError(GaprouteError, RuntimeError):
    """A gateway ended before it served; the text has the last lines of its log."""


def wait_started(process: subprocess.Popen[bytes]) -> list[str]:
    """Read the log on standard error until the gateway serves; the addresses at which it listens.

    Errors: GatewayStartError.
    """
    lines: list[bytes] = []
    assert process.stderr is not None
    for line in process.stderr:
        if b'"event": "started"' in line:
            addresses: list[str] = json.loads(line)["listen_addresses"]
            return addresses
        lines.append(line)
    raise GatewayStartError(f"a gateway ended as it started: {b''.join(lines[-LOG_TAIL:]).decode()}")


def read_status(operator_path: str | Path) -> dict[str, Any]:
    """The status that the gateway gives at its operators' address, a Unix socket. Errors: OSError."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(str(operator_path))
        sock.sendall(b"GET /status HTTP/1.1\r\nHost: g\r\nConnection: close\r\n\r\n")
        answer = b"".join(iter(lambda: sock.recv(READ_SIZE), b""))
    status: dict[str, Any] = json.loads(answer.partition(b"\r\n\r\n")[2])
    return status
