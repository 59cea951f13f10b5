"""The status line that the platform process periodically logs for operators."""

import os
from collections.abc import Callable
from typing import TypeVar

from gaproute.connections import AcceptedConnections
from gaproute.core.core import Core
from gaproute.decisions.admission.memory_shares import RETIRED_ID_BYTES
from gaproute.decisions.routing import Gateway
from gaproute.fronts.jsonrpc.front import JsonRpcFront
from gaproute.hosts.jsonlines.client import JsonLinesClient
from gaproute.loop import Loop
from gaproute.platform.host_list import HostList
from gaproute.platform.log import Log
from gaproute.units import MILLI, SECOND

MEBIBYTE = 1 << 20
STATUS_INTERVAL = 5 * SECOND

Value = TypeVar("Value")


class StatusLog:
    """Writes the status line at the first call of `write` and then every `STATUS_INTERVAL`.

    `docs/platform.md` describes its keys.
    """

    def __init__(
        self,
        loop: Loop,
        log: Log,
        *,
        core: Core,
        gateway: Gateway,
        front: JsonRpcFront,
        host_client: JsonLinesClient,
        host_list: HostList,
    ) -> None:
        self.loop, self.log, self.core, self.front = loop, log, core, front
        self.gateway, self.host_client, self.host_list = gateway, host_client, host_list

    def write(self) -> None:
        """Writes a status line and schedules the next one."""
        # The timer is set first, so that an error in this line does not end the status log.
        self.loop.call_later(STATUS_INTERVAL, self.write)
        self.log.info("status", **self._fields())

    def _fields(self) -> dict[str, object]:
        return {
            "requests_in_flight": len(self.core.in_flight),
            "counts": self.core.record.snapshot(),
            "host_connections": self._connections_in_use(),
            "host_estimates": self._host_estimates(),
            **self._client_fields(),
            **self._host_fields(),
            **self._process_fields(),
            "memory_bytes": self._memory_by_owner(),
            "functions": len(self.gateway.functions_by_name),
            "evicted_functions": self.gateway.functions.evicted_count,
            **self._host_list_fields(),
        }

    def _connections_in_use(self) -> dict[str, list[int]]:
        """By host: [connections, requests in flight on them], for hosts that have a connection."""
        return {
            name: [len(host.connections), sum(len(connection.pending) for connection in host.connections)]
            for name, host in self.host_client.hosts.items()
            if host.connections
        }

    def _host_estimates(self) -> dict[str, list[float]]:
        """By host: [queue, slowdown, own attempts in flight], for hosts that are in use or slow."""
        gateway, now = self.gateway, self.loop.now()
        return {
            host.id: [
                round(gateway.request_count(host, 1, now), 1),
                round(host.slowdown, 1),
                len(host.in_flight),
            ]
            for host in gateway.active_hosts
            if host.in_flight or host.slowdown > 1
        }

    def _client_fields(self) -> dict[str, int]:
        front, connections = self.front, AcceptedConnections.for_loop(self.loop)
        return {
            "client_connections": connections.client_count,
            "parked_connections": front.parked_count,
            "protocol_errors": front.protocol_errors,
            "rejected_connections": front.rejected_connections,
            "unresponsive_clients": front.unresponsive_clients,
            "freed_for_memory": front.memory.freed_count,
            "repeated_ids": front.admission.repeated_id_count,
            "evicted_idle": connections.evicted_count,
        }

    def _host_fields(self) -> dict[str, int]:
        hosts = self.host_client
        return {
            "host_connections_opened": hosts.connections_opened,
            "host_connections_reused": hosts.connections_reused,
            "host_connections_multiplexed": hosts.requests_multiplexed,
            "malformed_responses": hosts.malformed_replies,
            "unmatched_responses": hosts.unmatched_replies,
        }

    def _process_fields(self) -> dict[str, float | None]:
        return {
            "late_loop_turns": self.loop.late_turns,
            "open_descriptors": _value_if_readable(open_descriptors),
            "resident_memory_mb": _value_if_readable(resident_memory),
            "cpu_s": round(sum(os.times()[:2]), 2),
        }

    def _memory_by_owner(self) -> dict[str, int]:
        """The estimated memory of what is held for peers, by its owner; `started` has the limit of each."""
        return {
            "client_buffers": self.front.memory.bytes,
            "requests": self.core.request_memory.bytes,
            "functions": self.gateway.functions.bytes,
            "host_list": self.host_list.member_converter.memory.bytes,
            "host_lines": self.host_client.line_memory.bytes,
            "retired_ids": self.host_client.retired_id_count * RETIRED_ID_BYTES,
            "departed_ids": self.front.limits.departed_ids.bytes,
            "answered_ids": self.front.limits.answered_ids.bytes,
        }

    def _host_list_fields(self) -> dict[str, object]:
        watcher, rejected = self.host_list.watcher, self.host_list.member_converter.rejected_count
        if watcher is None:
            return {"rejected_members": rejected}
        return {
            "rejected_members": rejected,
            "change_log_connections": watcher.connection_count,
            "change_log_restarts": watcher.restart_count,
            "change_log_error": watcher.last_error,
            "change_log_seq": watcher.last_seq,
            "change_log_silent_ms": (self.loop.now() - watcher.last_message_at) // MILLI,
        }


def open_descriptors() -> int:
    """The number of open descriptors of this process. Errors: OSError if none is free for counting."""
    return len(os.listdir("/proc/self/fd"))


def resident_memory() -> float:
    """The resident memory of this process in MiB. Errors: OSError if no descriptor is free for reading it."""
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    return round(pages * os.sysconf("SC_PAGESIZE") / MEBIBYTE, 1)


def _value_if_readable(read: Callable[[], Value]) -> Value | None:
    try:
        return read()
    except OSError:
        return None
