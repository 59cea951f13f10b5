"""The start object as the module's terms: one reading of it for the simulator's wire and for a gateway on
sockets. Its words stop here."""

from typing import NamedTuple

from gaproute import interface as face

MICRO = 1_000
EFFECTS = {
    "free": face.Idempotency.IDEMPOTENT,
    "guarded": face.Idempotency.IDEMPOTENT_WITH_KEY,
    "single_shot": face.Idempotency.NON_IDEMPOTENT,
}
FIGURES = {
    "in_hand": ("busy_reqs", "inflight"),
    "waiting": ("pending", "queue"),
    "cpu_busy": ("cpu_share", "util"),
    "memory_busy": ("x0",),
}  # a report's part: its names


class Site(NamedTuple):
    """What a gateway on sockets is told beside the terms."""

    tracks: tuple[str, ...]  # names, in the order of the terms
    zones: tuple[str, ...]
    reported: tuple[str, ...]  # names of the figures in a load report
    connect_time: int
    idle_time: int  # after which hosts close an idle connection
    order_time: int
    shared: int  # relays on one connection at most
    same_function_counted: bool
    halts: bool = True  # hosts may be told that a relay is given up


def span(table, key):
    """Milliseconds, counted in microseconds, as whole nanoseconds; absent is 0."""
    return round(float(table.get(key) or 0) * 1000) * MICRO


def terms(told):
    """Unknown keys are passed over. Errors: KeyError, ValueError, TypeError, AttributeError,
    OverflowError."""
    info, limits, rules, prices = (
        told.get(key) or {} for key in ("family_info", "limits", "rules", "prices")
    )
    tracks = tuple(
        face.RequestClass(
            EFFECTS[lane["effect"]],
            face.Group(lane.get("group") or "all"),
            span(lane, "dedup_window"),
            span(lane, "aim"),
            span(lane, "deadline"),
            float(lane.get("worth") or 1.0),
        )
        for lane in told.get("lanes") or ()
    )
    source = (told.get("report") or {}).get("source")
    return face.Terms(
        request_classes=tracks,
        tenant_shares=tuple(float(tenant.get("share") or 0.0) for tenant in told.get("tenants") or ()),
        over_share_value=float(told.get("over_share_worth", 1.0)),
        keep_alive=span(info, "idle_life"),
        load_orders_allowed=bool(info.get("placement_calls")),
        load_orders_free=float(info.get("loads_anyway") or 0),
        load_order_share=float(info.get("load_part") or 0),
        load_order_window=span(info, "loads_within"),
        same_function_counted=bool(info.get("counts_alike")),
        warmth_reported=bool(info.get("warm_notes")),
        probes_allowed=bool(limits.get("probes")),
        reports_by_probe=source == "pull",
        reported_figures=tuple(
            part
            for part, names in FIGURES.items()
            if set(names) & set((told.get("report") or {}).get("names") or ())
        ),
        probe_price=float(prices.get("probe") or 0),
        peer_price=float(prices.get("peer") or 0),
        peers_allowed=bool(limits.get("peers")),
        gateways=int(told.get("balancers") or 1),
        cancel_allowed=bool(limits.get("cancel")),
        hedging_allowed=bool(limits.get("may_duplicate")),
        attempt_limit=int(limits.get("send_cap") or 1),
        retry_after_limit=span(limits, "max_retry_after") if limits.get("retry_after") else 0,
        warm_up_share=float(rules.get("cold_from") or 0),
        warm_up_time=span(rules, "cold"),
        warm_up_overload=float(rules.get("fall_multiple") or face.Terms._field_defaults["warm_up_overload"]),
        host_list_polled=told.get("membership_mode") == "on_request",
        zone=told["az"] if isinstance(told.get("az"), int) else -1,
        crossing_price=float(prices.get("cross_zone") or 0),
    )


def site(told):
    """Errors: as `terms`."""
    limits, info = (told.get(key) or {} for key in ("limits", "family_info"))
    return Site(
        tuple(lane["name"] for lane in told.get("lanes") or ()),
        tuple(told.get("zones") or ()),
        tuple((told.get("report") or {}).get("names") or ()),
        span(limits, "connect_timeout"),
        span(limits, "conn_idle"),
        span(info, "order_limit"),
        int(limits.get("multiplex") or 1),
        bool(info.get("counts_alike")),
        bool(limits.get("cancel")),
    )


def report(figures):
    """A load report's figures by name, as the module's; None where none of them is known."""
    parts = [next((figures[name] for name in names if name in figures), None) for names in FIGURES.values()]
    return face.Report(*parts) if any(part is not None for part in parts) else None
