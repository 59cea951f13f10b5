"""The settings object of a small deployment, for tests and fault plays; times are ms, as on the wire."""

from typing import Any


def sample_settings(lanes: list[dict[str, Any]], **limits: Any) -> dict[str, Any]:
    """Settings with these request classes, and `limits` beside or in place of the usual ones."""
    return {
        "lanes": lanes,
        "limits": {
            "cancel": True,
            "probes": True,
            "send_cap": 6,
            "retry_after": True,
            "max_retry_after": 1000.0,
            "conn_idle": 15000.0,
            "connect_timeout": 250.0,
            "multiplex": 100,
            "may_duplicate": True,
            **limits,
        },
        "family_info": {
            "counts_alike": True,
            "idle_life": 9800.0,
            "warm_notes": True,
            "placement_calls": True,
            "loads_anyway": 6,
            "load_part": 0.3,
            "loads_within": 10000.0,
            "order_limit": 10000.0,
        },
        "report": {"names": ["cpu_share", "x0"], "source": "pull"},
        "rules": {"cold": 18000.0, "cold_from": 0.17},
        "zones": ["hall-a"],
        "membership_mode": "pushed",
    }
