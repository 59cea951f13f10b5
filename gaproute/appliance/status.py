"""The tables of a running gateway for operators, as plain data for JSON.

The JSON keys are older than the names in the code and do not change; `legacy_names.py` maps the keys of
counters and events.
"""

from collections.abc import Iterator

from gaproute.appliance.json_object import JsonObject
from gaproute.appliance.legacy_names import legacy_counts, legacy_event
from gaproute.appliance.peer_services import PeerServices
from gaproute.appliance.running_gateway import RunningGateway
from gaproute.connections.descriptors import descriptor_limit
from gaproute.decisions.routing.functions import Function
from gaproute.units import MILLI


def status(appliance: RunningGateway) -> JsonObject:
    """The state and the counts of the whole gateway."""
    peer_services, hosts = appliance.peers, appliance.hosts
    membership_transport, gossip = peer_services.membership_transport, peer_services.gossip
    return {
        "name": appliance.configuration.name,
        "stopping": appliance.stopping,
        "ready": appliance.ready(),
        "up_ms": (appliance.loop.now() - appliance.started_at) // MILLI,
        "held": len(appliance.core.in_flight),
        "late_turns": appliance.loop.late_turns,
        "counts": legacy_counts(appliance.record.all_counts()),
        "clients": _client_connections(appliance),
        "connections": {
            "opened": hosts.connections_opened,
            "reused": hosts.connections_reused,
            "raced": hosts.reuse_races,
        },
        "gateways": membership_transport and membership_transport.membership.live_count(),
        "cells": appliance.cells and appliance.cells.status(),
        "weak_word": gossip and gossip.node.status(appliance.loop.now()),
        "learnt": _received_observations(appliance),
        "telling": _sent_observations(peer_services),
        "memory": _observation_store_status(peer_services),
    }


def host_table(appliance: RunningGateway) -> list[JsonObject]:
    """The known hosts, ordered by name."""
    attempts = legacy_counts(appliance.record.all_counts()).get("relay", {})
    table = []
    for name, endpoint in sorted(appliance.endpoints.items()):
        host = appliance.hosts.hosts.get(name)
        table.append(
            {
                "name": name,
                "address": endpoint.address,
                "state": endpoint.listed.state.value,
                "capacity": endpoint.listed.capacity,
                "connections": len(host.open_connections) if host else 0,
                "relays": attempts.get(name, {}),
            }
        )
    return table


def warm_instances(appliance: RunningGateway) -> list[JsonObject]:
    """The warm instances that the decisions expect, the most recently used first.

    `by` is the evidence for an instance: an answer, a request sent there, or the gateway that reported it.
    `tried`: whether this gateway has used the instance.
    """
    rows = [
        row
        for gateway in appliance.decisions
        for name, function in gateway.functions_by_name.items()
        for row in _function_instances(appliance, name, function)
    ]
    return sorted(rows, key=lambda row: int(row["age_ms"]))


def peer_table(appliance: RunningGateway) -> list[JsonObject]:
    """The known gateways: their state in the membership, and the progress of fetching their observations."""
    observation_client = appliance.peers.observation_client
    progress = observation_client.state_by_peer if observation_client else {}
    membership_transport = appliance.peers.membership_transport
    rows: list[JsonObject] = [{"name": name, "state": None} for name in progress]
    if membership_transport is not None:
        rows = membership_transport.member_rows()
    return [row | {"learnt": progress.get(row["name"])} for row in rows]


def lease_table(appliance: RunningGateway) -> JsonObject | None:
    """The leases of this gateway, and its node of the Raft group; None if it has no leases."""
    leases = appliance.peers.leases
    return None if leases is None else leases.table()


def event_table(appliance: RunningGateway) -> list[JsonObject]:
    """The most recent log events."""
    return [legacy_event(event, fields) for event, fields in appliance.record.events]


def _client_connections(appliance: RunningGateway) -> JsonObject:
    connections = appliance.connections
    return {
        "connections": connections.client_count,
        "most": connections.admission.max_connections,
        "parked": connections.parked_count,
        "displaced": connections.evicted_count,
        "turned_away": connections.rejected_count,
        "idle_ended": connections.expired_count,
        "descriptors": descriptor_limit(),
        "kept_back": connections.admission.reserved_descriptors,
    }


def _received_observations(appliance: RunningGateway) -> JsonObject:
    """Counts of observations from other gateways and the last run, and of hints proven right or wrong."""
    observations = appliance.peers.observations
    client = appliance.peers.observation_client
    return {
        "facts": len(observations.by_subject),
        "refused": observations.rejection_counts(),
        "peers": client.state_by_peer if client else {},
        "booked": client.hints_taken if client else 0,
        "right": sum(gateway.hints.right_count for gateway in appliance.decisions),
        "wrong": sum(gateway.hints.wrong_count for gateway in appliance.decisions),
    }


def _sent_observations(peer_services: PeerServices) -> JsonObject | None:
    """Counts and CPU time of observations sent to other gateways on request."""
    server = peer_services.peer_server
    if server is None:
        return None
    return {
        "facts": server.transfers.encoded_observations,
        "put_off": server.postponed_requests,
        "cpu_ms": server.spent / MILLI,
    }


def _observation_store_status(peer_services: PeerServices) -> JsonObject | None:
    writer = peer_services.observation_writer
    if writer is None:
        return None
    return {
        "written": writer.store.written,
        "failed": writer.store.failed,
        "cpu_ms": writer.spent / MILLI,
        "longest_ms": writer.longest_slice / MILLI,
    }


def _function_instances(appliance: RunningGateway, name: str, function: Function) -> Iterator[JsonObject]:
    """Yields the instances of a function: first those of own attempts, then those that others reported."""
    now = appliance.loop.now()
    for tried, last_used in ((True, function.last_used), (False, function.hinted_at)):
        for host, used_at in last_used.items():
            yield {
                "worker": host,
                "function": name,
                "age_ms": (now - used_at) // MILLI,
                "tried": tried,
                "by": _evidence(appliance, host, name, function),
            }


def _evidence(appliance: RunningGateway, host: str, name: str, function: Function) -> str:
    if host in function.proven_at:
        return "an answer"
    observation = appliance.peers.observations.by_subject.get(("warm", host, name))
    return observation.origin if observation else "a task sent"
