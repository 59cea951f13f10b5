"""The deployment that a soak plays: request classes, hosts and the configuration of the gateway."""

from __future__ import annotations

from collections.abc import Iterator

from gaproute.standins.json_objects import JsonObject
from gaproute.standins.platform.deployment_settings import RequestClassSettings, deployment_settings
from gaproute.standins.platform.host_list import ListedMember
from gaproute.units import MILLI

IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS = "fault-check", "repair-order"
DEADLINE_MS = {IDEMPOTENT_CLASS: 2500, NON_IDEMPOTENT_CLASS: 2000}  # by class
HOST_PHASE = "Ready"
ZONE = "hall-a"


def soak_settings() -> JsonObject:
    """The platform's settings object of the deployment."""
    return deployment_settings(
        [
            RequestClassSettings(
                IDEMPOTENT_CLASS,
                latency_objective=1200 * MILLI,
                limit=DEADLINE_MS[IDEMPOTENT_CLASS] * MILLI,
                priority_weight=3.0,
            ),
            RequestClassSettings(
                NON_IDEMPOTENT_CLASS,
                effect="effectful",
                latency_objective=600 * MILLI,
                limit=DEADLINE_MS[NON_IDEMPOTENT_CLASS] * MILLI,
            ),
        ],
        limits={"peers": False},
    )


def member(name: str, address: str, *, zone: str = ZONE) -> ListedMember:
    """The entry of a host in the host list."""
    return {
        "id": name,
        "host_port": address,
        "locality": zone,
        "flavor": "std",
        "cell": 2,
        "phase": HOST_PHASE,
        "size": 4,
        "up_since_ms": 0,
    }


def member_names() -> Iterator[str]:
    """Names of hosts, each of them new."""
    number = 0
    while True:
        number += 1
        yield f"s-{number:08x}"
