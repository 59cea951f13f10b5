"""Routing settings of a deployment from which the benchmarks' gateways start."""

from gaproute import interface as face

SECOND = 1_000_000_000

SINGLE_GATEWAY_ROUTING_SETTINGS = face.RoutingSettings(
    request_classes=(
        face.RequestClass(face.Idempotency.IDEMPOTENT, face.IdempotencyScope.ALL, 0, SECOND, 4 * SECOND, 1.0),
    ),
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
    reports_by_probe=False,
    reported_figures=(),
    probe_price=0.0,
    peer_price=0.0,
    peers_allowed=False,
    gateways=1,
    cancel_allowed=True,
    hedging_allowed=True,
    attempt_limit=4,
    retry_after_limit=SECOND,
    warm_up_share=0.2,
    warm_up_time=10 * SECOND,
    host_list_polled=False,
    zone=-1,
    crossing_price=0.0,
)
