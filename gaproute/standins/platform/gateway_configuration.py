"""What a gateway of the platform is told at its start: a settings object with sane rules, its JSON file, its
environment. No sockets; a harness writes the file and starts the command."""

import json
import sys
from pathlib import Path
from typing import NamedTuple

MILLI, SECOND = 1_000_000, 1_000_000_000
EFFECTS = {"pure": "free", "receipted": "guarded", "effectful": "single_shot"}  # the platform's words
GROUPS = {"all": "all", "zone": "zone", "rack": "cell"}


class RequestClassSettings(NamedTuple):
    name: str
    effect: str = "pure"  # pure, receipted, effectful
    group: str = "all"  # of hosts that know a receipt: all, zone, rack
    latency_objective: int = 1200 * MILLI
    limit: int = 5 * SECOND
    priority_weight: float = 1.0
    repeat_window: int = 5 * SECOND  # how long a receipt is known


def deployment_settings(
    tracks,
    gateways=1,
    zones=("hall-a",),
    keep=10 * SECOND,
    cold_share=0.2,
    cold_time=15 * SECOND,
    idle_close=60 * SECOND,
    **told,
):
    """The settings object; times and shares as hosts are made by default (`HostProfile`).

    `told`: whole entries in place of these, or objects whose fields are set.
    """

    def ms(span):
        return span / MILLI

    made = {
        "lanes": [
            {
                "name": track.name,
                "effect": EFFECTS[track.effect],
                "group": GROUPS[track.group],
                "aim": ms(track.latency_objective),
                "deadline": ms(track.limit),
                "worth": track.priority_weight,
                "dedup_window": ms(track.repeat_window),
            }
            for track in tracks
        ],
        "balancers": gateways,
        "zones": list(zones),
        "limits": {
            "cancel": True,
            "probes": True,
            "send_cap": 6,
            "retry_after": True,
            "max_retry_after": 1000.0,
            "conn_idle": ms(idle_close),
            "connect_timeout": 250.0,
            "multiplex": 100,
            "may_duplicate": True,
            "peers": True,
        },
        "family_info": {
            "counts_alike": True,
            "idle_life": ms(keep),
            "warm_notes": True,
            "placement_calls": True,
            "loads_anyway": 6,
            "load_part": 0.3,
            "loads_within": 10000.0,
            "order_limit": 10000.0,
        },
        "report": {"names": ["cpu_share", "x0"], "source": "pull"},
        "rules": {"cold": ms(cold_time), "cold_from": cold_share},
        "prices": {"probe": 0.025, "peer": 0.01, "cross_zone": 0.0},
        "membership_mode": "pushed",
    }
    for name, value in told.items():
        made[name] = made[name] | value if isinstance(value, dict) and name in made else value
    return made


def make_configuration(
    name, listen, changelog, known, rules, seed=1, peers=(), peer_listen="", peers_all="", limits=None
):
    """The file's object. `known`: `VersionedHostList.snapshot()`; `rules`: `deployment_settings(...)`."""
    told = {
        "name": name,
        "listen": listen,
        "seed": f"{seed:x}",
        "changelog": changelog,
        "known": known,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | (limits or {}),
        "settings": rules,
    }
    if peer_listen:
        told |= {"peer_listen": peer_listen, "peers": list(peers), "peers_all": peers_all}
    return told


def write_configuration(folder, told):
    """(command, environment to add) of the gateway; its file is written anew, whole: at a restart, or before
    a SIGHUP that tells where the change log has moved."""
    path = Path(folder) / f"{told['name']}.json"
    fresh = path.with_suffix(".new")
    fresh.write_text(json.dumps(told))
    fresh.replace(path)
    return [sys.executable, "-m", "gaproute.platform"], {
        "EDGE_NAME": told["name"],
        "EDGE_LISTEN": told["listen"],
        "EDGE_CONFIG": str(path),
    }
