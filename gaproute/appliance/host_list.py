"""The hosts that a gateway knows, and the file or configuration that lists them."""

from collections.abc import Callable, Iterable, Sequence

from gaproute.config.configuration import Configuration
from gaproute.config.directives.fleet import HostLine
from gaproute.config.errors import Mistake
from gaproute.discovery.file_watch import FileWatch
from gaproute.discovery.host_lines import HostLineConverter
from gaproute.hosts.endpoints import Endpoint
from gaproute.loop import Loop
from gaproute.telemetry.record import GatewayRecord

NO_START = 0  # ns since 1970, for a host whose start the list does not give


class HostList:
    """All known hosts: `rows` by name. `watch` follows the file of hosts, if there is one.

    In a fleet of cells `CellServices` follows the lists, and `replace` is given the hosts of all known cells.
    """

    def __init__(self, loop: Loop, configuration: Configuration, record: GatewayRecord) -> None:
        self.loop, self.configuration, self.record = loop, configuration, record
        self.converter = HostLineConverter(loop, use_capacities=configuration.capacities_reported)
        self.rows: dict[str, Endpoint] = {}
        self.watch: FileWatch | None = None

    def follow(self, on_list: Callable[[Sequence[Endpoint]], None]) -> None:
        """Calls `on_list` with the complete list, now and each time that its file has changed."""

        def convert(lines: Sequence[HostLine]) -> None:
            current_at = self.watch.current_at if self.watch is not None else None
            on_list(self.converter.endpoints(lines, current_at))

        source = self.configuration.hosts_file
        if source is None:
            convert(self.configuration.hosts)
        else:
            self.watch = FileWatch(self.loop, source.path, source.look, convert, self.log_rejected)

    def replace(self, rows: Iterable[Endpoint]) -> None:
        """Takes over all hosts that are known now, and logs the changes."""
        before, self.rows = self.rows, {row.listed.host: row for row in rows}
        changed = [name for name, row in self.rows.items() if before.get(name) != row]
        gone = [name for name in before if name not in self.rows]
        for name in sorted(changed + gone):
            row = self.rows.get(name)
            self.record.event(
                "info", "host_changed", host=name, state=row.listed.state.value if row else "gone"
            )

    def states(self) -> dict[str, tuple[str, int]]:
        """By host: its state, and its start by the list, in ns since 1970 or `NO_START`."""
        start_times = self.converter.start_times
        return {
            name: (row.listed.state.value, start_times.reported_start(name) or NO_START)
            for name, row in self.rows.items()
        }

    def log_rejected(self, mistakes: Iterable[Mistake]) -> None:
        """Logs why the list that was read last is not used."""
        for mistake in mistakes:
            self.record.event("error", "host_list_rejected", error=str(mistake))

    def reload(self) -> None:
        """Reads the file now, if there is one."""
        if self.watch is not None:
            self.watch.read()

    def close(self) -> None:
        """Ends following the file."""
        if self.watch is not None:
            self.watch.close()
