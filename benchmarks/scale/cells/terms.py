"""The terms of a play's deployment, and its classes of calls."""

from __future__ import annotations

from benchmarks.fleet.clock import SECOND
from gaproute import interface as face

CALL_TIME = 8 * SECOND  # that a client waits
IDEMPOTENT, NON_IDEMPOTENT = 0, 1  # indexes of the request classes
REQUEST_CLASSES = (
    face.RequestClass(face.Idempotency.IDEMPOTENT, face.Group.ALL, 0, 2 * SECOND, CALL_TIME, 1.0),
    face.RequestClass(face.Idempotency.NON_IDEMPOTENT, face.Group.ALL, 0, 2 * SECOND, CALL_TIME, 1.0),
)


def cell_terms(gateways: int, keep_alive: int) -> face.Terms:
    """The terms of a fleet of so many gateways, without load orders and probes."""
    return face.Terms(
        request_classes=REQUEST_CLASSES,
        tenant_shares=(),
        over_share_value=1.0,
        keep_alive=keep_alive,
        load_orders_allowed=False,
        load_orders_free=0,
        load_order_share=0.0,
        load_order_window=0,
        same_function_counted=True,
        warmth_reported=True,
        probes_allowed=False,
        reports_by_probe=False,
        reported_figures=(),
        probe_price=0.0,
        peer_price=0.0,
        peers_allowed=False,
        gateways=gateways,
        cancel_allowed=True,
        hedging_allowed=False,
        attempt_limit=6,
        retry_after_limit=SECOND,
        warm_up_share=0.2,
        warm_up_time=10 * SECOND,
        host_list_polled=False,
        zone=-1,
        crossing_price=0.0,
    )
