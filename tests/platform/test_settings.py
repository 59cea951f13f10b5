"""The routing settings and the deployment settings, read from the platform's settings object."""

import pytest

from gaproute.interface import HostLoadReport, Idempotency, IdempotencyScope
from gaproute.settings import read_deployment, read_report, read_routing_settings

MILLI = 1_000_000
REQUEST_CLASS = {
    "name": "check",
    "effect": "guarded",
    "group": "zone",
    "aim": 1.0005,
    "deadline": 40,
    "worth": 2,
}


def test_the_times_of_a_request_class_are_in_nanoseconds():
    (request_class,) = read_routing_settings({"lanes": [REQUEST_CLASS]}).request_classes
    assert (request_class.idempotency, request_class.idempotency_scope) == (
        Idempotency.IDEMPOTENT_WITH_KEY,
        IdempotencyScope.ZONE,
    )
    assert (
        request_class.latency_objective,
        request_class.hard_limit,
        request_class.deduplication_window,
    ) == (
        1_000_000,
        40 * MILLI,
        0,
    )
    assert request_class.priority_weight == 2.0


def test_missing_or_null_settings_allow_nothing_and_get_the_defaults():
    routing_settings = read_routing_settings({"limits": None, "tenants": None})
    assert not any(
        (routing_settings.cancel_allowed, routing_settings.hedging_allowed, routing_settings.probes_allowed)
    )
    assert (
        routing_settings.attempt_limit,
        routing_settings.gateways,
        routing_settings.zone,
        routing_settings.keep_alive,
    ) == (1, 1, -1, 0)
    assert read_deployment({}).requests_per_connection == 1


def test_the_retry_after_limit_is_0_unless_retry_after_is_allowed():
    assert read_routing_settings({"limits": {"max_retry_after": 500}}).retry_after_limit == 0
    assert (
        read_routing_settings({"limits": {"max_retry_after": 500, "retry_after": True}}).retry_after_limit
        == 500 * MILLI
    )


def test_the_figures_of_a_load_report_are_found_under_any_of_their_names():
    assert read_report({"inflight": 3, "x0": 0.5, "odd": 1}) == HostLoadReport(in_hand=3, memory_busy=0.5)
    assert read_report({"odd": 1}) is None
    reported = read_routing_settings({"report": {"names": ["util", "queue"], "source": "pull"}})
    assert reported.reported_figures == ("waiting", "cpu_busy")
    assert reported.reports_by_probe


def test_an_unknown_effect_raises_key_error():
    with pytest.raises(KeyError):
        read_routing_settings({"lanes": [REQUEST_CLASS | {"effect": "odd"}]})
