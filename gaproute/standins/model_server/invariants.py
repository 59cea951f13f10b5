"""What must hold of a stand-in host at any time.

A host that breaks one of these cannot exist, and gateways must not be judged by it. Each check gives its
violations as text; its name stands in taps.
"""

from __future__ import annotations

from collections.abc import Iterator

from gaproute.standins.invariant_violation import InvariantViolation
from gaproute.standins.model_server.server_state import ServerState


def lanes(server: ServerState) -> Iterator[str]:
    """No instance runs more requests than it has lanes."""
    for name, instances in server.pool.instances.items():
        available = instances.loaded * server.models[name].lanes
        if instances.busy_lanes > available:
            yield f"{name}: {instances.busy_lanes} requests run on {available} lanes"


def tasks_at_work(server: ServerState) -> Iterator[str]:
    """Each running request takes one lane, and none waits while a lane is free."""
    busy = sum(instances.busy_lanes for instances in server.pool.instances.values())
    running = len(server.processor.running)
    if busy != running and not server.stopped:
        yield f"{running} running requests take {busy} lanes"
    for name, instances in server.pool.instances.items():
        if instances.waiting and instances.has_free_lane(server.models[name].lanes):
            yield (
                f"{name}: {len(instances.waiting)} requests wait, {instances.busy_lanes} run on"
                f" {instances.loaded} instances"
            )


def memory(server: ServerState) -> Iterator[str]:
    """Instances that are loaded or loading fit into the memory."""
    count = server.pool.instance_count()
    if count > server.profile.copies:
        yield f"{count} instances, {server.profile.copies} fit into the memory"


def loads(server: ServerState) -> Iterator[str]:
    """Each load counted for a model is active or queued, and no more are active than allowed."""
    pool = server.pool
    counted = sum(instances.loading for instances in pool.instances.values())
    if counted != pool.active_loads + len(pool.queued_loads):
        yield f"{counted} loads counted, {pool.active_loads} active, {len(pool.queued_loads)} queued"
    if not 0 <= pool.active_loads <= server.profile.loads:
        yield f"{pool.active_loads} loads active, {server.profile.loads} allowed"


def bounded(server: ServerState) -> Iterator[str]:
    """No model's queue is longer than the host allows."""
    for name, instances in server.pool.instances.items():
        if len(instances.waiting) > server.profile.queue:
            yield f"{name}: {len(instances.waiting)} requests wait, {server.profile.queue} allowed"


CHECKS = (lanes, tasks_at_work, memory, loads, bounded)


def find_violations(server: ServerState) -> list[InvariantViolation]:
    """All violations at this moment."""
    return [InvariantViolation(check.__name__, text) for check in CHECKS for text in check(server)]
