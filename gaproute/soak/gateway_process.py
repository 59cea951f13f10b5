"""The gateway of a soak as a process: its start, signals, memory and descriptors."""

from __future__ import annotations

import os
import resource
import signal
import socket
import subprocess
import time
from collections.abc import Mapping
from pathlib import Path

from gaproute.errors import GaprouteError
from gaproute.standins.platform.gateway_configuration import GatewayConfiguration

READY_TIMEOUT_S = 10.0
CONNECT_RETRY_S = 0.05
KIBIBYTE = 1024
MEGABYTE = 1_000_000
# Descriptors that the operating system allows the process beyond `sockets`, so that going over the limit is
# seen as such and not only as failing system calls.
EXTRA_DESCRIPTORS = 64


class GatewayNotReadyError(GaprouteError):
    """The gateway process has ended, or does not accept connections in time."""


class GatewayProcess:
    """Starts the gateway with a configuration; `start` may be called again after its end."""

    def __init__(self, configuration: GatewayConfiguration, folder: Path) -> None:
        self.configuration, self.folder = configuration, folder
        self.process: subprocess.Popen[bytes] | None = None
        self.exits_expected = False  # whether a signal that ends the process was sent
        self.peak_memory_mb = 0.0  # of all lives, by the kernel's count of resident memory
        self.most_descriptors = 0
        self.start_count = 0

    def start(self) -> None:
        """Starts the process and waits until it accepts connections. Errors: GatewayNotReadyError."""
        command, environment = self.configuration.write(self.folder)
        self.start_count += 1
        self.exits_expected = False
        with (self.folder / f"gateway-{self.start_count}.log").open("wb") as log:
            self.process = subprocess.Popen(
                command, env=_with(environment), stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        descriptors = int(self.configuration.limits["sockets"]) + EXTRA_DESCRIPTORS
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))
        self._await_ready()

    def _await_ready(self) -> None:
        host, _, port = self.configuration.listen.rpartition(":")
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < give_up_at and self.is_running():
            try:
                socket.create_connection((host, int(port)), CONNECT_RETRY_S).close()
                return
            except OSError:
                time.sleep(CONNECT_RETRY_S)
        raise GatewayNotReadyError(f"the gateway does not accept connections at {self.configuration.listen}")

    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self.process is None or not self.is_running():
            return
        self.exits_expected |= number in (signal.SIGTERM, signal.SIGKILL)
        self.process.send_signal(number)

    def measure(self) -> None:
        """Updates the peak figures; does nothing if the process has ended."""
        if self.process is None:
            return
        folder = Path(f"/proc/{self.process.pid}")
        try:
            status = (folder / "status").read_text()
            descriptors = len(os.listdir(folder / "fd"))
        except OSError:
            return
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                peak = int(line.split()[1]) * KIBIBYTE / MEGABYTE
                self.peak_memory_mb = max(self.peak_memory_mb, peak)
        self.most_descriptors = max(self.most_descriptors, descriptors)

    def kill(self) -> None:
        """Ends the process at once and waits for its end."""
        if self.process is not None:
            self.measure()
            self.send_signal(signal.SIGKILL)
            self.process.wait()


def _with(environment: Mapping[str, str]) -> dict[str, str]:
    return {**os.environ, **environment}
