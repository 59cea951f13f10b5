"""A parent process that starts, restarts, reloads and stops several gateway processes at the same addresses.

The parent opens the listening sockets for clients and passes them to each child, so that all children accept
from one queue (`listening_sockets.py`). Each child is a separate gateway with its own decisions, counts, load
order limit, operators' address and peers' address.
"""

import signal
from pathlib import Path

from gaproute.appliance.child_processes import ChildProcesses, ServeCommand
from gaproute.appliance.listening_sockets import ListeningSockets
from gaproute.appliance.rolling_reload import RollingReload
from gaproute.config.configuration import Configuration
from gaproute.loop import Loop
from gaproute.telemetry.logs import logger
from gaproute.telemetry.record import Log


class Parent:
    """`process_count` gateways of one configuration, which a reload reads again from `configuration_file`."""

    def __init__(
        self,
        configuration_file: str | Path,
        configuration: Configuration,
        process_count: int,
        seed: int | None = None,
        loop: Loop | None = None,
        log: Log | None = None,
    ) -> None:
        self.process_count = process_count
        self.loop = loop or Loop()
        name = f"{configuration.name}, parent"
        self.log: Log = log or logger(level=configuration.log_level).bind(gateway=name)
        self.listeners = ListeningSockets()
        command = ServeCommand(str(configuration_file), process_count, seed)
        self.children = ChildProcesses(
            self.loop, self.log, command, configuration, self.listeners, self.loop.stop
        )
        self.reloads = RollingReload(
            self.loop, self.log, str(configuration_file), self.children, self.listeners
        )

    @property
    def stopping(self) -> bool:
        """Whether all children were asked to stop."""
        return self.children.stopping

    def start(self) -> None:
        """Opens the listening sockets and starts all children.

        Errors: OSError if an address cannot be listened on or a child cannot be started. The call may be
        repeated then.
        """
        self.listeners.open(self.children.configuration)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.on_signal(number, self.stop)
        self.loop.on_signal(signal.SIGHUP, self.reloads.reload)
        self.children.start_missing()
        self.log.info(
            "parent_started",
            processes=self.process_count,
            listen_addresses=self.listeners.displayed_addresses(),
        )

    def stop(self) -> None:
        """Asks all children to stop; the loop ends after the last child."""
        if self.stopping:
            return
        self.log.info("stopping", processes=len(self.children.by_slot))
        self.listeners.close()
        self.children.stop()

    def run(self) -> None:
        """Runs the loop until all children have ended."""
        self.loop.run()
        self.children.kill()
        self.listeners.close()
        self.listeners.unlink_paths()
        self.log.info("parent_stopped")
