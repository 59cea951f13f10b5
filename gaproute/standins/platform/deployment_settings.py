"""The settings object that the platform gives a gateway: sane rules for tests, scripted days and benchmarks.

Its keys and words are the platform's; times in it are ms.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from gaproute.standins.json_objects import JsonObject
from gaproute.standins.model_server import HostProfile
from gaproute.units import MILLI, SECOND

# The platform's words, by those of scripts:
EFFECTS = {"pure": "free", "receipted": "guarded", "effectful": "single_shot"}
GROUPS = {"all": "all", "zone": "zone", "rack": "cell"}

Settings = JsonObject

SAMPLE_PROFILE = HostProfile(
    "sample", keep=9_800 * MILLI, cold_share=0.17, cold_time=18 * SECOND, idle_close=15 * SECOND
)


class RequestClassSettings(NamedTuple):
    """The rules for the requests of one class. Times are ns."""

    name: str
    effect: str = "pure"  # pure (idempotent), receipted (idempotent with a key), effectful (neither)
    group: str = "all"  # of hosts that know an idempotency key: all, zone, rack
    latency_objective: int = 1200 * MILLI
    limit: int = 5 * SECOND
    priority_weight: float = 1.0
    repeat_window: int = 5 * SECOND  # how long a key is known

    def as_json(self) -> Settings:
        """As an entry of the settings' `lanes`."""
        return {
            "name": self.name,
            "effect": EFFECTS[self.effect],
            "group": GROUPS[self.group],
            "aim": _milliseconds(self.latency_objective),
            "deadline": _milliseconds(self.limit),
            "worth": self.priority_weight,
            "dedup_window": _milliseconds(self.repeat_window),
        }


def deployment_settings(
    classes: Iterable[RequestClassSettings],
    *,
    gateways: int = 1,
    zones: Sequence[str] = ("hall-a",),
    profile: HostProfile | None = None,
    **overrides: object,
) -> Settings:
    """The settings of a deployment of so many gateways.

    `profile`: of the hosts, whose times gateways are to know; by default that of a `HostProfile`.
    `overrides`: whole entries in place of these, or objects whose fields are set.
    """
    lanes = [each.as_json() for each in classes]
    settings = _common_settings(lanes, profile or HostProfile("default"), zones)
    settings["limits"]["peers"] = True
    settings |= {"balancers": gateways, "prices": {"probe": 0.025, "peer": 0.01, "cross_zone": 0.0}}
    for name, value in overrides.items():
        merged = isinstance(value, dict) and name in settings
        settings[name] = settings[name] | value if merged else value
    return settings


def sample_settings(lanes: list[Settings], **limits: object) -> Settings:
    """The settings of one gateway alone, with these entries of `lanes`, and `limits` beside or in place of
    the usual ones."""
    settings = _common_settings(lanes, SAMPLE_PROFILE, ("hall-a",))
    settings["limits"] |= limits
    return settings


def _common_settings(lanes: list[Settings], profile: HostProfile, zones: Sequence[str]) -> Settings:
    return {
        "lanes": lanes,
        "limits": {
            "cancel": True,
            "probes": True,
            "send_cap": 6,
            "retry_after": True,
            "max_retry_after": 1000.0,
            "conn_idle": _milliseconds(profile.idle_close),
            "connect_timeout": 250.0,
            "multiplex": 100,
            "may_duplicate": True,
        },
        "family_info": {
            "counts_alike": True,
            "idle_life": _milliseconds(profile.keep),
            "warm_notes": True,
            "placement_calls": True,
            "loads_anyway": 6,
            "load_part": 0.3,
            "loads_within": 10000.0,
            "order_limit": 10000.0,
        },
        "report": {"names": ["cpu_share", "x0"], "source": "pull"},
        "rules": {"cold": _milliseconds(profile.cold_time), "cold_from": profile.cold_share},
        "zones": list(zones),
        "membership_mode": "pushed",
    }


def _milliseconds(span: int) -> float:
    return span / MILLI
