"""Hosts that answer at once, in a child process of a benchmark: what the child runs, and what starts it."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from types import TracebackType

from gaproute.http1 import Limits, Request, Server
from gaproute.http1.limits import LIMITS
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address


def serve_hosts(count: int, handle: Callable[[Request], object], limits: Limits = LIMITS) -> None:
    """Listen as `count` hosts and print their addresses as a line of JSON; it never ends by itself.

    `handle` answers each request.
    """
    loop = Loop()
    servers = [Server(loop, parse_address("127.0.0.1:0"), handle, limits) for _ in range(count)]
    print(json.dumps([server.address for server in servers]), flush=True)
    loop.run()


class HostsProcess:
    """A program that runs `serve_hosts`, as a child process. A context manager that ends it.

    `addresses`: where its hosts listen.
    """

    def __init__(self, program: Path, *arguments: object) -> None:
        """Start the program and wait until its hosts listen."""
        command = [sys.executable, str(program), *map(str, arguments)]
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE)
        assert self._process.stdout is not None
        self.addresses: list[str] = json.loads(self._process.stdout.readline())

    def __enter__(self) -> HostsProcess:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait()
        assert self._process.stdout is not None
        self._process.stdout.close()
