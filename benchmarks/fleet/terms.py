"""The routing settings of a play's deployment, as the decisions of its gateways take them."""

from __future__ import annotations

from benchmarks.fleet.clock import MILLI
from benchmarks.fleet.hosts import COLD_SHARE, COLD_TIME
from benchmarks.terms import SINGLE_GATEWAY_ROUTING_SETTINGS
from gaproute import interface as face

REQUEST_CLASSES = (
    face.RequestClass(
        face.Idempotency.IDEMPOTENT, face.IdempotencyScope.ALL, 0, 600 * MILLI, 2400 * MILLI, 3.0
    ),
    face.RequestClass(
        face.Idempotency.NON_IDEMPOTENT, face.IdempotencyScope.ALL, 0, 600 * MILLI, 2000 * MILLI, 3.0
    ),
)


def fleet_routing_settings(gateways: int) -> face.RoutingSettings:
    """The routing settings of a fleet of so many gateways, which share load reports that probes bring."""
    return SINGLE_GATEWAY_ROUTING_SETTINGS._replace(
        request_classes=REQUEST_CLASSES,
        reports_by_probe=True,
        reported_figures=("cpu_busy", "memory_busy"),
        probe_price=0.08,
        peer_price=0.01,
        peers_allowed=True,
        gateways=gateways,
        attempt_limit=6,
        warm_up_share=COLD_SHARE,
        warm_up_time=COLD_TIME,
    )
