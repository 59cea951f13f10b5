"""The settings object of the platform, read for the decisions and for the sockets."""

import pytest

from gaproute.interface import HostLoadReport, Idempotency, IdempotencyScope
from gaproute.settings import read_deployment, read_report, read_terms

MILLI = 1_000_000
LANE = {"name": "check", "effect": "guarded", "group": "zone", "aim": 1.0005, "deadline": 40, "worth": 2}


def test_a_request_class_has_its_times_in_nanoseconds():
    (each,) = read_terms({"lanes": [LANE]}).request_classes
    assert (each.idempotency, each.idempotency_scope) == (
        Idempotency.IDEMPOTENT_WITH_KEY,
        IdempotencyScope.ZONE,
    )
    assert (each.latency_objective, each.hard_limit, each.deduplication_window) == (1_000_000, 40 * MILLI, 0)
    assert each.priority_weight == 2.0


def test_what_is_missing_or_null_is_not_allowed_and_limits_nothing():
    terms = read_terms({"limits": None, "tenants": None})
    assert not any((terms.cancel_allowed, terms.hedging_allowed, terms.probes_allowed))
    assert (terms.attempt_limit, terms.gateways, terms.zone, terms.keep_alive) == (1, 1, -1, 0)
    assert read_deployment({}).requests_per_connection == 1


def test_clients_learn_when_to_retry_only_where_that_is_allowed():
    assert read_terms({"limits": {"max_retry_after": 500}}).retry_after_limit == 0
    assert (
        read_terms({"limits": {"max_retry_after": 500, "retry_after": True}}).retry_after_limit == 500 * MILLI
    )


def test_figures_of_a_load_report_have_one_of_their_names():
    assert read_report({"inflight": 3, "x0": 0.5, "odd": 1}) == HostLoadReport(in_hand=3, memory_busy=0.5)
    assert read_report({"odd": 1}) is None
    reported = read_terms({"report": {"names": ["util", "queue"], "source": "pull"}})
    assert reported.reported_figures == ("waiting", "cpu_busy")
    assert reported.reports_by_probe


def test_an_unknown_effect_is_an_error():
    with pytest.raises(KeyError):
        read_terms({"lanes": [LANE | {"effect": "odd"}]})
