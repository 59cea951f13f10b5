"""The old names of counters and events at the operators' address.

Operators' tools read them there, so they keep their first names although the code and the log have new ones.
No other module uses the old names; `docs/glossary.md` lists them.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from gaproute.appliance.json_object import JsonObject
from gaproute.interface import Result
from gaproute.telemetry.record import nested_counters

LEGACY_COUNTERS = {
    "attempts": "relay",
    "client_left": "left",
    "failed": "scrapped",
    "failed_attempts": "failed",
    "load_orders": "order",
    "received": "taken",
    "rejected": "declined",
}
LEGACY_RESULTS = {
    Result.CONNECT_FAILED.value: "connect failed",
    Result.NOT_LOADED.value: "miss",
    Result.NOT_SENT.value: "moot",
    Result.STREAM_STARTED.value: "begun",
    Result.CLIENT_LEFT.value: "departed",
}
COUNTERS_WITH_RESULTS = ("attempts", "failed_attempts")  # counters whose keys end with a result


class LegacyEvent(NamedTuple):
    """The old name of an event, and the old names of its fields by their new ones, where they differ."""

    name: str
    fields: Mapping[str, str] = MappingProxyType({})


LEGACY_ERROR_FIELD = {"error": "mistake"}
LEGACY_MESSAGE_FIELD = {"message": "text"}
LEGACY_OBSERVATION_FIELDS = {"observations": "facts", "hints_taken": "booked", "rejected": "refused"}
LEGACY_EVENTS = {
    "cell_host_rejected": LegacyEvent("cell host refused", LEGACY_ERROR_FIELD),
    "cell_source_lost": LegacyEvent("cell source lost", {"error": "fault"}),
    "cell_source_restored": LegacyEvent("cell source back"),
    "cell_table_adopted": LegacyEvent("cell table"),
    "cell_table_file_fault": LegacyEvent("cell table on disk", LEGACY_MESSAGE_FIELD),
    "cell_table_rejected": LegacyEvent("cell table refused", LEGACY_ERROR_FIELD),
    "host_changed": LegacyEvent("host", {"host": "name"}),
    "host_list_rejected": LegacyEvent("host list refused", LEGACY_ERROR_FIELD),
    "internal_error": LegacyEvent("fault", {"message": "text", "gateway_request_id": "task"}),
    "member_changed": LegacyEvent("gateway", {"member": "name"}),
    "observation_fetch_abandoned": LegacyEvent("peer dropped", {"observations": "facts"}),
    "observation_store_fault": LegacyEvent("observation store", LEGACY_MESSAGE_FIELD),
    "observation_store_unavailable": LegacyEvent("observation store unavailable", {"error": "text"}),
    "observations_fetched": LegacyEvent("learnt", LEGACY_OBSERVATION_FIELDS),
    "observations_restored": LegacyEvent("remembered", LEGACY_OBSERVATION_FIELDS),
    "peer_cell_table_rejected": LegacyEvent("cell table refused", {"error": "reason"}),
    "peer_list_rejected": LegacyEvent("peer list refused", LEGACY_ERROR_FIELD),
    "raft_invariant_violated": LegacyEvent("breach", {"violation": "text"}),
    "raft_log_discarded": LegacyEvent("raft disk set aside", {"reason": "why"}),
    "raft_log_file_fault": LegacyEvent("raft log", LEGACY_MESSAGE_FIELD),
    "raft_members_changed": LegacyEvent("members", {"members": "now"}),
    "raft_messages_rejected": LegacyEvent("raft rejected"),
    "raft_role_changed": LegacyEvent("raft role", {"role": "now"}),
    "raft_storage_failed": LegacyEvent("raft storage failed", {"error": "now"}),
    "raft_turn_slow": LegacyEvent("raft slow", {"took_ms": "ms"}),
}


def legacy_counts(counts: Mapping[tuple[str, ...], int]) -> JsonObject:
    """Converts counters to nested plain data with their old names."""
    return nested_counters({_legacy_key(key): count for key, count in counts.items()})


def legacy_event(event: str, fields: Mapping[str, object]) -> JsonObject:
    """Converts a recorded event to plain data with its old names."""
    name, old_fields = LEGACY_EVENTS.get(event, LegacyEvent(event))
    return {"what": name, **{old_fields.get(field, field): value for field, value in fields.items()}}


def _legacy_key(key: tuple[str, ...]) -> tuple[str, ...]:
    counter, *path = key
    if counter in COUNTERS_WITH_RESULTS:
        path[-1] = LEGACY_RESULTS.get(path[-1], path[-1])
    return (LEGACY_COUNTERS.get(counter, counter), *path)
