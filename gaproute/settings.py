"""Reads the platform's settings object, for the bench adapter and for a gateway that serves sockets.

The platform defines the keys of the object; no other module uses them. Unknown keys are ignored, and a value
that is missing or null counts as 0, false or empty. `read_routing_settings` and `read_deployment` raise
KeyError, ValueError, TypeError, AttributeError or OverflowError for invalid settings.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

from gaproute import interface
from gaproute.units import MICRO

MICROS_PER_MILLI = 1_000
IDEMPOTENCY_BY_EFFECT = {
    "free": interface.Idempotency.IDEMPOTENT,
    "guarded": interface.Idempotency.IDEMPOTENT_WITH_KEY,
    "single_shot": interface.Idempotency.NON_IDEMPOTENT,
}
# By field of a load report: the names under which a host may report it.
FIGURE_NAMES_BY_FIELD = {
    "in_hand": ("busy_reqs", "inflight"),
    "waiting": ("pending", "queue"),
    "cpu_busy": ("cpu_share", "util"),
    "memory_busy": ("x0",),
}
REPORT_SOURCE_PROBE = "pull"
MEMBERSHIP_MODE_POLLED = "on_request"


class DeploymentSettings(NamedTuple):
    """The settings that a gateway serving sockets needs beside the routing settings; times are in ns."""

    class_names: tuple[str, ...]  # names of the request classes, ordered as in the routing settings
    zones: tuple[str, ...]
    report_names: tuple[str, ...]  # names of the figures in a load report
    connect_time: int
    idle_time: int  # time after which hosts close an idle connection
    order_time: int
    requests_per_connection: int  # limit of the requests in flight on a connection to a host
    same_function_counted: bool
    cancel_allowed: bool = True  # whether hosts may be notified of a cancelled request


def read_routing_settings(settings: Mapping[str, Any]) -> interface.RoutingSettings:
    """Reads the settings of the routing decisions."""
    family, limits = _section(settings, "family_info"), _section(settings, "limits")
    rules, prices = _section(settings, "rules"), _section(settings, "prices")
    report = _section(settings, "report")
    report_names = set(report.get("names") or ())
    return interface.RoutingSettings(
        request_classes=tuple(_request_class(fields) for fields in settings.get("lanes") or ()),
        tenant_shares=tuple(float(tenant.get("share") or 0.0) for tenant in settings.get("tenants") or ()),
        over_share_value=float(settings.get("over_share_worth", 1.0)),
        keep_alive=_duration(family, "idle_life"),
        load_orders_allowed=bool(family.get("placement_calls")),
        load_orders_free=float(family.get("loads_anyway") or 0),
        load_order_share=float(family.get("load_part") or 0),
        load_order_window=_duration(family, "loads_within"),
        same_function_counted=bool(family.get("counts_alike")),
        warmth_reported=bool(family.get("warm_notes")),
        probes_allowed=bool(limits.get("probes")),
        reports_by_probe=report.get("source") == REPORT_SOURCE_PROBE,
        reported_figures=tuple(
            field for field, names in FIGURE_NAMES_BY_FIELD.items() if report_names & set(names)
        ),
        probe_price=float(prices.get("probe") or 0),
        peer_price=float(prices.get("peer") or 0),
        peers_allowed=bool(limits.get("peers")),
        gateways=int(settings.get("balancers") or 1),
        cancel_allowed=bool(limits.get("cancel")),
        hedging_allowed=bool(limits.get("may_duplicate")),
        attempt_limit=int(limits.get("send_cap") or 1),
        retry_after_limit=_duration(limits, "max_retry_after") if limits.get("retry_after") else 0,
        warm_up_share=float(rules.get("cold_from") or 0),
        warm_up_time=_duration(rules, "cold"),
        warm_up_overload=float(
            rules.get("fall_multiple") or interface.RoutingSettings._field_defaults["warm_up_overload"]
        ),
        host_list_polled=settings.get("membership_mode") == MEMBERSHIP_MODE_POLLED,
        zone=settings["az"] if isinstance(settings.get("az"), int) else -1,
        crossing_price=float(prices.get("cross_zone") or 0),
    )


def read_deployment(settings: Mapping[str, Any]) -> DeploymentSettings:
    """Reads the settings that a gateway serving sockets needs in addition to the routing settings."""
    family, limits = _section(settings, "family_info"), _section(settings, "limits")
    return DeploymentSettings(
        class_names=tuple(fields["name"] for fields in settings.get("lanes") or ()),
        zones=tuple(settings.get("zones") or ()),
        report_names=tuple(_section(settings, "report").get("names") or ()),
        connect_time=_duration(limits, "connect_timeout"),
        idle_time=_duration(limits, "conn_idle"),
        order_time=_duration(family, "order_limit"),
        requests_per_connection=int(limits.get("multiplex") or 1),
        same_function_counted=bool(family.get("counts_alike")),
        cancel_allowed=bool(limits.get("cancel")),
    )


def read_report(figures: Mapping[str, float | None]) -> interface.HostLoadReport | None:
    """Builds a load report from figures by name; None if no name is known."""
    fields = [
        next((figures[name] for name in names if name in figures), None)
        for names in FIGURE_NAMES_BY_FIELD.values()
    ]
    return interface.HostLoadReport(*fields) if any(field is not None for field in fields) else None


def _section(settings: Mapping[str, Any], key: str) -> Mapping[str, Any]:
    """The object under a key of the settings; an empty one if it is missing or null."""
    section: Mapping[str, Any] = settings.get(key) or {}
    return section


def _request_class(fields: Mapping[str, Any]) -> interface.RequestClass:
    return interface.RequestClass(
        idempotency=IDEMPOTENCY_BY_EFFECT[fields["effect"]],
        idempotency_scope=interface.IdempotencyScope(fields.get("group") or "all"),
        deduplication_window=_duration(fields, "dedup_window"),
        latency_objective=_duration(fields, "aim"),
        hard_limit=_duration(fields, "deadline"),
        priority_weight=float(fields.get("worth") or 1.0),
    )


def _duration(section: Mapping[str, Any], key: str) -> int:
    """A duration in ns, from milliseconds that are rounded to whole microseconds; 0 if missing or null."""
    return round(float(section.get(key) or 0) * MICROS_PER_MILLI) * MICRO
