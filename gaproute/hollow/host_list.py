"""The host list as a part: the watched file, and the decisions' state that is fed with it."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from typing import cast

from gaproute.config.directives.fleet import HostLine
from gaproute.config.errors import Mistake
from gaproute.decisions.routing.housekeeping import CLEANUP_INTERVAL
from gaproute.discovery.file_watch import FileWatch
from gaproute.discovery.host_lines import HostLineConverter
from gaproute.hollow.environment import GatewayEnvironment
from gaproute.hollow.parts import ControlPart, Parts
from gaproute.interface import ListedHost
from gaproute.loop import Loop

HostListListener = Callable[[Mapping[str, int | None]], object]  # takes the start of each host by its name


class HostListPart(ControlPart):
    """The host list and `decisions`, a gateway's (`gaproute.decisions.routing`) that serves no requests.

    `rows`: the listed hosts by name. `listeners` are called with each new list.
    """

    def __init__(self, environment: GatewayEnvironment, parts: Parts) -> None:
        self._configuration = environment.configuration
        self._loop = cast(Loop, environment.loop)  # the converter and the watch use what a `PartLoop` has
        self._converter = HostLineConverter(
            self._loop, environment.wall_clock, use_capacities=self._configuration.capacities_reported
        )
        now = self._loop.now()
        self.decisions = self._configuration.decisions(
            environment.seed, self._configuration.routing_settings, now
        )
        self.next_tick = now + CLEANUP_INTERVAL
        self.rows: dict[str, ListedHost] = {}
        self.listeners: list[HostListListener] = []
        self._watch: FileWatch | None = None
        self._lists_read = self._mistakes = 0

    def start(self) -> None:
        """Read the list and watch it."""
        source = self._configuration.hosts_file
        assert source is not None
        self._watch = FileWatch(self._loop, source.path, source.look, self._changed, self._rejected)

    def tick(self, now: int) -> None:
        """Forget hosts that left the list, as the decisions' own housekeeping does."""
        self.next_tick = now + CLEANUP_INTERVAL
        self.decisions.forget_departed_hosts()

    def counters(self) -> dict[str, int]:
        """`entries`: hosts of the list, and hosts that the decisions still hold."""
        return {
            "entries": len(self.rows) + len(self.decisions.hosts_by_id),
            "lists": self._lists_read,
            "refused": self._mistakes,
        }

    def close(self) -> None:
        """Watch the list no more."""
        if self._watch is not None:
            self._watch.close()

    def _changed(self, lines: Collection[HostLine]) -> None:
        absent_at = self._watch.current_at if self._watch is not None else None
        listed = [endpoint.listed for endpoint in self._converter.endpoints(lines, absent_at)]
        self.rows = {host.host: host for host in listed}
        self.decisions.update_hosts(self._loop.now(), listed, complete=True)
        self._lists_read += 1
        for listener in self.listeners:
            listener({name: host.started for name, host in self.rows.items()})

    def _rejected(self, mistakes: list[Mistake]) -> None:
        self._mistakes += len(mistakes)
