"""The terms of a play's deployment, as the decisions of its gateways take them."""

from __future__ import annotations

from benchmarks.fleet.clock import MILLI, SECOND
from benchmarks.fleet.hosts import COLD_SHARE, COLD_TIME
from gaproute import interface as face

REQUEST_CLASSES = (
    face.RequestClass(face.Idempotency.IDEMPOTENT, face.Group.ALL, 0, 600 * MILLI, 2400 * MILLI, 3.0),
    face.RequestClass(face.Idempotency.NON_IDEMPOTENT, face.Group.ALL, 0, 600 * MILLI, 2000 * MILLI, 3.0),
)


def fleet_terms(gateways: int) -> face.Terms:
    """The terms of a fleet of so many gateways, which share load reports that probes bring."""
    return face.Terms(
        request_classes=REQUEST_CLASSES,
        tenant_shares=(),
        over_share_value=1.0,
        keep_alive=10 * SECOND,
        load_orders_allowed=True,
        load_orders_free=6,
        load_order_share=0.3,
        load_order_window=10 * SECOND,
        same_function_counted=True,
        warmth_reported=True,
        probes_allowed=True,
        reports_by_probe=True,
        reported_figures=("cpu_busy", "memory_busy"),
        probe_price=0.08,
        peer_price=0.01,
        peers_allowed=True,
        gateways=gateways,
        cancel_allowed=True,
        hedging_allowed=True,
        attempt_limit=6,
        retry_after_limit=SECOND,
        warm_up_share=COLD_SHARE,
        warm_up_time=COLD_TIME,
        host_list_polled=False,
        zone=-1,
        crossing_price=0.0,
    )
