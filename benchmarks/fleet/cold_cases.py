"""Named cases: what each changes in the days that seeds give (`cold_days.ColdDay`)."""

from __future__ import annotations

from typing import Any

Case = dict[str, Any]  # fields of a day

# Hosts gain nothing until they are warm, the least that the settings promise; all gateways get lists at once.
LEAST: Case = {"share": 0.17, "gain": "step", "uneven": False, "idle": False, "restart": False, "late": False}
STRONG: Case = {"pace": 60.0, "hosts": 12}
KILLED: Case = {"kind": "join", "restart": True, "clients_retry": True}
SIZES = (0.4, 1.0, 1.6)
HARD_DAYS: dict[str, Case] = {
    "small hosts among large ones": LEAST | STRONG | {"kind": "join", "sizes": SIZES, "busy": 0.9},
    "hosts crowded": LEAST | STRONG | {"kind": "join", "busy": 0.9},
    "weak hosts crowded": LEAST | {"kind": "join", "busy": 0.9, "hosts": 24},
    "all cold, a storm": LEAST | {"kind": "all", "busy": 2.0, "clients_retry": True, "hosts": 24},
    "all cold, strong, a storm": LEAST | STRONG | {"kind": "all", "busy": 1.5, "clients_retry": True},
    "answers stall": LEAST | STRONG | {"kind": "join", "busy": 0.6, "stall": True},
    "weak hosts, answers stall": LEAST | {"kind": "join", "busy": 0.6, "stall": True, "hosts": 24},
    "quiet, then a burst": LEAST | STRONG | {"kind": "join", "busy": 0.7, "surge": True},
    "all cold, they gain unlike": LEAST | STRONG | {"kind": "all", "busy": 0.8, "gain": "unlike"},
    "all replaced, they gain unlike": LEAST | STRONG | {"kind": "row", "busy": 0.6, "gain": "unlike"},
    "heavy functions": LEAST | STRONG | {"kind": "join", "busy": 0.6, "heavy_functions": True},
    "killed in slow start": LEAST | STRONG | KILLED | {"busy": 0.6},
    "cold twice": LEAST | STRONG | {"kind": "twice", "busy": 0.4},
}

HARD: dict[str, Case] = {
    f"{name}, in a fleet of {number}": case | {"gateways": number}
    for name, case in HARD_DAYS.items()
    for number in (1, 30, 230)
}

# What a case changes in the days that the seeds give.
CASES: dict[str, Case] = {
    **HARD,
    "as the seeds say": {},
    **{f"{number} gateways": {"gateways": number} for number in (1, 2, 3, 4, 6, 230)},
    "all cold, 1 gateway": {"kind": "all", "gateways": 1},
    "all cold, 6 gateways": {"kind": "all", "gateways": 6},
    "all cold, 230 gateways": {"kind": "all", "gateways": 230},
    "one of sixteen warm": {"kind": "most"},
    "cold twice": {"kind": "twice"},
    "cold twice, lists late": {"kind": "twice", "late": True},
    "seven in ten killed in slow start": {"restart": True, "clients_retry": True},
    "all cold, seven in ten killed": {"kind": "all", "restart": True, "clients_retry": True},
    "a tenth restarts at a time": {"rolling_restart": True, "clients_retry": True},
    "all cold, a tenth at a time": {"kind": "all", "rolling_restart": True, "clients_retry": True},
    "lists late": {"late": True},
    "clients ask again": {"clients_retry": True, "busy": 0.9},
    "all cold, clients ask again": {"kind": "all", "clients_retry": True, "busy": 0.9},
    "probes and orders": {"probes": True},
    "all cold, probes and orders": {"kind": "all", "probes": True},
    "230 gateways, free probes": {"gateways": 230, "probes": True, "free_probes": True},
    "quiet, then a burst": {"surge": True, "kind": "join"},
    "quiet, then a burst, 1 gateway": {"surge": True, "kind": "join", "gateways": 1},
    "quiet, then a burst, 230 gateways": {"surge": True, "kind": "join", "gateways": 230},
    "strong hosts": STRONG,
    "strong hosts, 1 gateway": {"pace": 60.0, "hosts": 12, "gateways": 1},
    "strong hosts, 230 gateways": {"pace": 60.0, "hosts": 12, "gateways": 230},
    "strong hosts, a burst, 1 gateway": {
        "pace": 60.0,
        "hosts": 12,
        "gateways": 1,
        "surge": True,
        "kind": "join",
    },
    "hosts of three sizes": {"sizes": (0.4, 1.0, 1.6)},
    "strong hosts of three sizes": {"sizes": (0.4, 1.0, 1.6), "pace": 60.0, "hosts": 12},
    "hosts of three sizes, not told": {"sizes": (0.7, 1.0, 1.3), "sizes_listed": False},
    "heavy functions": {"heavy_functions": True},
    "heavy functions, 1 gateway": {"heavy_functions": True, "gateways": 1},
    "hosts gain unlike, all cold": {"kind": "all", "gain": "unlike", "busy": 0.5},
    "hosts gain unlike, all cold, 1 gateway": {"kind": "all", "gain": "unlike", "gateways": 1, "busy": 0.5},
    "all replaced in a row": {"kind": "row"},
    "all replaced in a row, 1 gateway": {"kind": "row", "gateways": 1},
}
