"""The routing settings of a play's deployment, and its classes of calls."""

from __future__ import annotations

from benchmarks.fleet.clock import SECOND
from benchmarks.terms import SINGLE_GATEWAY_ROUTING_SETTINGS
from gaproute import interface as face

CALL_TIME = 8 * SECOND  # that a client waits
IDEMPOTENT, NON_IDEMPOTENT = 0, 1  # indexes of the request classes
REQUEST_CLASSES = (
    face.RequestClass(face.Idempotency.IDEMPOTENT, face.IdempotencyScope.ALL, 0, 2 * SECOND, CALL_TIME, 1.0),
    face.RequestClass(
        face.Idempotency.NON_IDEMPOTENT, face.IdempotencyScope.ALL, 0, 2 * SECOND, CALL_TIME, 1.0
    ),
)


def cell_routing_settings(gateways: int, keep_alive: int) -> face.RoutingSettings:
    """The routing settings of a fleet of so many gateways, without load orders and probes."""
    return SINGLE_GATEWAY_ROUTING_SETTINGS._replace(
        request_classes=REQUEST_CLASSES,
        keep_alive=keep_alive,
        load_orders_allowed=False,
        load_orders_free=0,
        load_order_share=0.0,
        load_order_window=0,
        probes_allowed=False,
        gateways=gateways,
        hedging_allowed=False,
        attempt_limit=6,
    )
