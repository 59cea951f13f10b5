"""The host list of the platform: applies change log events to the connections and the decision module."""

from collections.abc import Mapping

from gaproute.core.core import Core
from gaproute.decisions.chance import RandomGenerator
from gaproute.discovery.changelog import events
from gaproute.discovery.changelog.member_memory import max_event_bytes
from gaproute.discovery.changelog.members import MemberConverter
from gaproute.discovery.changelog.watcher import ChangeLogWatcher
from gaproute.hosts.jsonlines.client import JsonLinesClient
from gaproute.loop import Loop
from gaproute.platform.log import Log

MAX_LOGGED_HOSTS = 64  # limit of the hosts logged for one event


class HostList:
    """Applies the events in the configuration, then the events of the change log, in order."""

    def __init__(
        self,
        loop: Loop,
        log: Log,
        zones: tuple[str, ...],
        host_client: JsonLinesClient,
        core: Core,
        list_bytes: int,
    ) -> None:
        """`list_bytes`: memory for the host list."""
        self.max_event_bytes = max_event_bytes(list_bytes)
        self.loop, self.log, self.host_client, self.core = loop, log, host_client, core
        self.member_converter = MemberConverter(loop, zones, list_bytes=list_bytes)
        self.watcher: ChangeLogWatcher | None = (
            None  # None until `start` has applied the events in the configuration
        )

    def start(self, known: Mapping[str, object], change_log: str, chance: RandomGenerator) -> None:
        """Applies the events in the configuration (`known`), then follows the log at `change_log`."""
        last_seq, initial = events.decode_initial_events(known)
        for event in initial:
            self.apply(event)
        self.watcher = ChangeLogWatcher(
            self.loop, change_log, last_seq, self.apply, chance, initial, self.max_event_bytes
        )

    def apply(self, event: events.Event) -> None:
        """Applies one event, first to the connections, as the decision module may use a new host at once."""
        last_absent_at = self.watcher.current_at if self.watcher is not None else None
        endpoints = self.member_converter.endpoints(event.fleet, last_absent_at)
        complete = event.fleet.complete
        self.host_client.update(endpoints, complete=complete)
        self.core.update_hosts([endpoint.listed for endpoint in endpoints], complete=complete)
        self.log.info(
            "host_list_changed",
            seq=event.seq,
            complete=complete,
            hosts=[
                [endpoint.listed.host, endpoint.address, endpoint.listed.state.value]
                for endpoint in endpoints[:MAX_LOGGED_HOSTS]
            ],
        )

    def set_address(self, change_log: str) -> None:
        """Follows the change log at another address, continuing after the last sequence number."""
        if self.watcher is not None:
            self.watcher.set_address(change_log)

    def close(self) -> None:
        """Closes the connection to the change log."""
        if self.watcher is not None:
            self.watcher.close()
