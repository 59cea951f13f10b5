"""The hosts that a gateway knows, as listed in a file or in the configuration."""

from collections.abc import Callable, Iterable, Sequence

from gaproute.config.configuration import Configuration
from gaproute.config.directives.fleet import HostLine
from gaproute.config.errors import Mistake
from gaproute.discovery.file_watch import FileWatch
from gaproute.discovery.host_lines import HostLineConverter
from gaproute.hosts.endpoints import Endpoint
from gaproute.loop import Loop
from gaproute.telemetry.record import GatewayRecord

UNKNOWN_START_TIME = 0  # ns since 1970; for a host whose list line has no start time


class HostList:
    """All known hosts: `endpoints` by name. `watch` follows the file of hosts, if there is one.

    In a fleet of cells `CellServices` follows the lists and passes the hosts of all known cells to
    `replace_endpoints`.
    """

    def __init__(self, loop: Loop, configuration: Configuration, record: GatewayRecord) -> None:
        self.loop, self.configuration, self.record = loop, configuration, record
        self.converter = HostLineConverter(loop, use_capacities=configuration.capacities_reported)
        self.endpoints: dict[str, Endpoint] = {}
        self.watch: FileWatch | None = None

    def follow(self, on_list: Callable[[Sequence[Endpoint]], None]) -> None:
        """Calls `on_list` with the complete list, now and after each change of its file."""

        def convert(lines: Sequence[HostLine]) -> None:
            current_at = self.watch.current_at if self.watch is not None else None
            on_list(self.converter.endpoints(lines, current_at))

        source = self.configuration.hosts_file
        if source is None:
            convert(self.configuration.hosts)
        else:
            self.watch = FileWatch(self.loop, source.path, source.look, convert, self.log_rejected_list)

    def replace_endpoints(self, endpoints: Iterable[Endpoint]) -> None:
        """Replaces all known hosts, and logs each host that changed or is gone."""
        previous, self.endpoints = self.endpoints, {endpoint.listed.host: endpoint for endpoint in endpoints}
        changed = [name for name, endpoint in self.endpoints.items() if previous.get(name) != endpoint]
        gone = [name for name in previous if name not in self.endpoints]
        for name in sorted(changed + gone):
            endpoint = self.endpoints.get(name)
            self.record.event(
                "info", "host_changed", host=name, state=endpoint.listed.state.value if endpoint else "gone"
            )

    def states_and_start_times(self) -> dict[str, tuple[str, int]]:
        """By host: its state, and its listed start time in ns since 1970 or `UNKNOWN_START_TIME`."""
        start_times = self.converter.start_times
        return {
            name: (endpoint.listed.state.value, start_times.reported_start(name) or UNKNOWN_START_TIME)
            for name, endpoint in self.endpoints.items()
        }

    def log_rejected_list(self, mistakes: Iterable[Mistake]) -> None:
        """Logs why the list last read is not used."""
        for mistake in mistakes:
            self.record.event("error", "host_list_rejected", error=str(mistake))

    def reload(self) -> None:
        """Reads the file now, if there is one."""
        if self.watch is not None:
            self.watch.read()

    def close(self) -> None:
        """Stops following the file."""
        if self.watch is not None:
            self.watch.close()
