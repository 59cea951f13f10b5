"""The names at the operators' address that are older than those of the code and of the log.

Operators' tools read the counters and events there, so these have the names that they had at first. No other
module uses the old names; `docs/glossary.md` lists them.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from gaproute.appliance.json_object import JsonObject
from gaproute.interface import Result
from gaproute.telemetry.record import nested_counters

COUNTERS = {
    "attempts": "relay",
    "client_left": "left",
    "failed": "scrapped",
    "failed_attempts": "failed",
    "load_orders": "order",
    "received": "taken",
    "rejected": "declined",
}
RESULTS = {
    Result.CONNECT_FAILED.value: "connect failed",
    Result.NOT_LOADED.value: "miss",
    Result.NOT_SENT.value: "moot",
    Result.STREAM_STARTED.value: "begun",
    Result.CLIENT_LEFT.value: "departed",
}
COUNTERS_BY_RESULT = ("attempts", "failed_attempts")  # the last part of their keys is a result


class LegacyEvent(NamedTuple):
    """The old name of an event, and those of its fields that had another name."""

    name: str
    fields: Mapping[str, str] = MappingProxyType({})


ERROR_WAS_MISTAKE = {"error": "mistake"}
MESSAGE_WAS_TEXT = {"message": "text"}
OBSERVATION_COUNTS = {"observations": "facts", "hints_taken": "booked", "rejected": "refused"}
EVENTS = {
    "cell_host_rejected": LegacyEvent("cell host refused", ERROR_WAS_MISTAKE),
    "cell_source_lost": LegacyEvent("cell source lost", {"error": "fault"}),
    "cell_source_restored": LegacyEvent("cell source back"),
    "cell_table_adopted": LegacyEvent("cell table"),
    "cell_table_file_fault": LegacyEvent("cell table on disk", MESSAGE_WAS_TEXT),
    "cell_table_rejected": LegacyEvent("cell table refused", ERROR_WAS_MISTAKE),
    "host_changed": LegacyEvent("host", {"host": "name"}),
    "host_list_rejected": LegacyEvent("host list refused", ERROR_WAS_MISTAKE),
    "internal_error": LegacyEvent("fault", {"message": "text", "gateway_request_id": "task"}),
    "member_changed": LegacyEvent("gateway", {"member": "name"}),
    "observation_fetch_abandoned": LegacyEvent("peer dropped", {"observations": "facts"}),
    "observation_store_fault": LegacyEvent("observation store", MESSAGE_WAS_TEXT),
    "observation_store_unavailable": LegacyEvent("observation store unavailable", {"error": "text"}),
    "observations_fetched": LegacyEvent("learnt", OBSERVATION_COUNTS),
    "observations_restored": LegacyEvent("remembered", OBSERVATION_COUNTS),
    "peer_cell_table_rejected": LegacyEvent("cell table refused", {"error": "reason"}),
    "peer_list_rejected": LegacyEvent("peer list refused", ERROR_WAS_MISTAKE),
    "raft_invariant_violated": LegacyEvent("breach", {"violation": "text"}),
    "raft_log_discarded": LegacyEvent("raft disk set aside", {"reason": "why"}),
    "raft_log_file_fault": LegacyEvent("raft log", MESSAGE_WAS_TEXT),
    "raft_members_changed": LegacyEvent("members", {"members": "now"}),
    "raft_messages_rejected": LegacyEvent("raft rejected"),
    "raft_role_changed": LegacyEvent("raft role", {"role": "now"}),
    "raft_storage_failed": LegacyEvent("raft storage failed", {"error": "now"}),
    "raft_turn_slow": LegacyEvent("raft slow", {"took_ms": "ms"}),
}


def legacy_counts(counts: Mapping[tuple[str, ...], int]) -> JsonObject:
    """Counters as nested plain data, by their old names."""
    return nested_counters({_legacy_key(key): count for key, count in counts.items()})


def legacy_event(event: str, fields: Mapping[str, object]) -> JsonObject:
    """An event that was recorded, as plain data by its old names."""
    name, old_fields = EVENTS.get(event, LegacyEvent(event))
    return {"what": name, **{old_fields.get(field, field): value for field, value in fields.items()}}


def _legacy_key(key: tuple[str, ...]) -> tuple[str, ...]:
    counter, *path = key
    if counter in COUNTERS_BY_RESULT:
        path[-1] = RESULTS.get(path[-1], path[-1])
    return (COUNTERS.get(counter, counter), *path)
