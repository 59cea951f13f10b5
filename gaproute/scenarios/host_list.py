"""The host list of a day: one file that all gateways watch, late on command."""

import os
from pathlib import Path
from typing import Protocol

from gaproute.loop import Loop
from gaproute.scenarios.hosts import DayHost, DayHosts, ListedState
from gaproute.scenarios.processes import Routine
from gaproute.standins.tap import Tap


class HostListPublisher(Protocol):
    """What notifies gateways of the hosts. `delay`: by how much it is late now, ns; drains are never late."""

    delay: int

    def publish(self) -> None:
        """Notifies them of all hosts as they are now."""

    def publish_state(self, host: DayHost, state: str, delay: int) -> Routine:
        """A coroutine: notifies them of the host's new state in `delay` ns, later still while it is late."""
        ...


class HostListFile:
    """One file for all gateways, replaced whole and at once."""

    def __init__(self, loop: Loop, tap: Tap, hosts: DayHosts, path: Path) -> None:
        self.loop, self.tap, self.hosts, self.path = loop, tap, hosts, path
        self.delay = 0
        self.published: dict[str, str] = {}  # by host: its state as the list said last

    def publish(self) -> None:
        """Writes the list, and notes which states are new in it."""
        hosts = self.hosts.by_name.values()
        lines = [host.list_line() for host in hosts if host.state != ListedState.ABSENT]
        new_file = self.path.with_suffix(".new")
        new_file.write_text("\n".join(lines) + "\n")
        os.replace(new_file, self.path)
        for host in hosts:
            self._note_state(host)
        self.tap.flush()

    def _note_state(self, host: DayHost) -> None:
        state = ListedState.GONE if host.state == ListedState.ABSENT else host.state
        if self.published.get(host.name) != state:
            self.published[host.name] = state
            self.tap.note("told", host=host.name, state=str(state))

    def publish_state(self, host: DayHost, state: str, delay: int) -> Routine:
        """A coroutine: the list says the host's new state after `delay` ns, later still while it is late."""
        yield self.loop.sleep(delay + self.delay)
        host.state = state
        self.publish()
